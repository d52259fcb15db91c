/**
 * The configuration file of the proxy and its errors.
 *
 * <p>Read at start and at each reload, on the thread that does so; the results are immutable. The
 * settings within the file are read by {@link loadbalancer.settings.SettingsParser}.
 */
package loadbalancer.proxy.config;
