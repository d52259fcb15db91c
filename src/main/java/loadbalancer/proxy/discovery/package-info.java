/**
 * The client of service discovery, which watches and fetches the endpoint list.
 *
 * <p>{@link loadbalancer.proxy.discovery.DiscoveryClient} is the entry point; it passes updates and
 * failures to its listener. Classes are used on the event loop thread only and are not thread-safe,
 * except for the parser and the records, which are immutable. When to watch again after a failure
 * is the policy's decision, not that of this package.
 */
package loadbalancer.proxy.discovery;
