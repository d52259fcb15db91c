/**
 * The logger of the process and its rate limit. Used by all packages of the proxy, on any thread.
 */
package loadbalancer.proxy.logging;
