/**
 * Parses the policy settings that the deployment platform supplies into {@link
 * loadbalancer.model.PolicySettings}, for both the proxy and the simulation. No other package knows
 * the platform's names of these settings.
 */
package loadbalancer.settings;
