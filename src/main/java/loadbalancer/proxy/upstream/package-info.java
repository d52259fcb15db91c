/**
 * Attempts and health checks on endpoints over pooled HTTP/1.1 connections.
 *
 * <p>{@link loadbalancer.proxy.upstream.UpstreamClient} is the entry and is called by the proxy's
 * main package only. Every class here is confined to the one event loop; nothing is synchronized.
 * Points in time are milliseconds since 1970 on the monotonic {@link
 * loadbalancer.proxy.eventloop.Clock}.
 */
package loadbalancer.proxy.upstream;
