/**
 * Sends attempts and health checks to endpoints over pooled HTTP/1.1 connections.
 *
 * <p>{@link loadbalancer.proxy.upstream.UpstreamClient} is the entry point; only the package {@code
 * loadbalancer.proxy} calls it. All classes that hold state are used on the one event loop thread
 * only, without synchronization. Points in time are milliseconds since 1970 on the monotonic {@link
 * loadbalancer.proxy.eventloop.Clock}.
 */
package loadbalancer.proxy.upstream;
