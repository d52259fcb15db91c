/**
 * The utilities that all code on the event loop shares: the clock, the lateness monitor, the event
 * queue and the budget of file descriptors. Does not depend on requests, endpoints or the policy.
 *
 * <p>Used on the event loop thread only, except for {@link loadbalancer.proxy.eventloop.Clock},
 * which any thread may read. Called by the other packages of the proxy and by the benchmark.
 */
package loadbalancer.proxy.eventloop;
