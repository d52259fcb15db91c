/**
 * Reads the platform's settings into {@link loadbalancer.model.PolicySettings}, for the proxy and
 * the simulation alike. No other package knows the platform's setting names.
 */
package loadbalancer.settings;
