/**
 * Reads the configuration file of the proxy and reports errors in it.
 *
 * <p>The file is read at start and at each reload, on the thread that starts or reloads the proxy;
 * the results are immutable. {@link loadbalancer.settings.SettingsParser} parses the policy
 * settings in the file.
 */
package loadbalancer.proxy.config;
