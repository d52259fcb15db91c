/**
 * The load balancer process: command line, start, reload on SIGHUP, graceful shutdown on SIGTERM,
 * and the event queue between the sockets and the policy.
 *
 * <p>{@link loadbalancer.proxy.Main} creates one {@link loadbalancer.proxy.ProxyServer}, which owns
 * the event loop thread and the objects of the subpackages. All of them, and the policy, run on
 * that one thread, so nothing is locked.
 */
package loadbalancer.proxy;
