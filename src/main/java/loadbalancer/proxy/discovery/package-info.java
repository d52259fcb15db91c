/**
 * Watches and polls the endpoint list of service discovery.
 *
 * <p>{@link loadbalancer.proxy.discovery.DiscoveryClient} is called by the proxy and reports to its
 * listener. Everything here runs on the proxy's event loop, and nothing is thread-safe; only the
 * parser and the records may be used on any thread. When to watch again after a failure is a
 * decision of the policy, not of this package.
 */
package loadbalancer.proxy.discovery;
