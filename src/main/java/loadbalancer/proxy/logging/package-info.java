/**
 * The one logger of the process and the limit on its rate. Called by all packages of the proxy on
 * any thread.
 */
package loadbalancer.proxy.logging;
