/**
 * The names of the platform's HTTP header fields and the formats of their values. Holds only
 * constants and pure functions, which may be used on any thread.
 */
package loadbalancer.proxy.protocol;
