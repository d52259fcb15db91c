/**
 * All decisions of the load balancer: admission, endpoint selection, retries, hedged requests,
 * queueing and the refresh of the endpoint list.
 *
 * <p>{@link loadbalancer.policy.LoadBalancingPolicy} is the interface to the host, which calls it
 * on one thread. {@link loadbalancer.policy.LatencyWeightedPolicy} implements it and delegates each
 * kind of decision to a class of its own. The {@code Statistics} classes hold what is known about
 * endpoints, machine types and request classes. All times are in milliseconds, and {@code now} is
 * the time of the event that is being handled. There is no clock, thread or socket here: the same
 * events, settings and seed give the same actions.
 */
package loadbalancer.policy;
