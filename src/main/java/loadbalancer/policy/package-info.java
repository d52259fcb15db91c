/**
 * Every decision of the load balancer: admission, choice of endpoint, retries, hedges, queues and
 * the refresh of the endpoint list.
 *
 * <p>{@link loadbalancer.policy.LoadBalancingPolicy} is the interface to the host, which calls it
 * on one thread; {@link loadbalancer.policy.LatencyWeightedPolicy} asks the rules in turn. Each
 * rule is a class with its inputs, units and constants; the {@code Statistics} classes hold the
 * evidence. No clock, thread or socket: the same events and seed give the same actions.
 */
package loadbalancer.policy;
