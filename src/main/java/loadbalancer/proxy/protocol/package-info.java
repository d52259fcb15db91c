/**
 * The names of the platform's header fields and the formats of their values: constants and pure
 * functions. Called by the frontend, upstream and proxy packages on any thread.
 */
package loadbalancer.proxy.protocol;
