package loadbalancer.proxy.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.FileInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.model.PolicySettings;
import loadbalancer.proxy.discovery.DiscoverySettings;
import loadbalancer.proxy.discovery.EndpointListParser;
import loadbalancer.proxy.discovery.EndpointListUpdate;
import loadbalancer.proxy.json.JsonReader;
import loadbalancer.settings.MalformedInputException;
import loadbalancer.settings.SettingsParser;

/**
 * The configuration of one instance. It is read from the file whose path is in the environment
 * variable {@code PROXY_CONFIG}.
 *
 * @param name the name of the instance in its log
 * @param listen the address at which the instance accepts clients
 * @param discovery the address of the discovery service
 * @param seed the seed of the random decisions of the policy and of the discovery client
 * @param maxDescriptors the maximum number of file descriptors that the process may hold
 * @param memoryLimitBytes how much memory the process may hold; {@link Long#MAX_VALUE} if the file
 *     does not say
 * @param settings the settings of the policy
 * @param zones the names of the zones, by the index that the policy uses
 * @param machineTypes the names of the machine types, by the index that the policy uses
 * @param requestClasses the names of the request classes, by the index that the policy uses
 * @param tenants the names of the tenants, by the index that the policy uses
 * @param knownEndpoints the endpoint list that the instance starts with; it may be out of date
 */
public record ProxyConfig(
    String name,
    InetSocketAddress listen,
    InetSocketAddress discovery,
    long seed,
    int maxDescriptors,
    long memoryLimitBytes,
    PolicySettings settings,
    List<String> zones,
    List<String> machineTypes,
    List<String> requestClasses,
    List<String> tenants,
    EndpointListUpdate knownEndpoints) {

  private static final int DEFAULT_MAX_DESCRIPTORS = 1_024;
  private static final int SEED_RADIX = 16;
  private static final int BYTES_PER_MEGABYTE = 1_024 * 1_024;

  /**
   * Reads a configuration file.
   *
   * @throws ConfigurationException if the path is null or empty, or the file cannot be read or is
   *     malformed; the message names the file
   */
  public static ProxyConfig read(String path) throws ConfigurationException {
    if (path == null || path.isEmpty()) {
      throw new ConfigurationException(
          "PROXY_CONFIG is not set or empty; expected the path of the configuration file");
    }
    try (InputStream file = new FileInputStream(path)) {
      return parse(JsonReader.read(file));
    } catch (IOException e) {
      String reason = e.getMessage().lines().findFirst().orElse("");
      throw new ConfigurationException("cannot read " + path + ": " + reason, e);
    } catch (IllegalArgumentException | MalformedInputException e) {
      throw new ConfigurationException(path + ": " + e.getMessage(), e);
    }
  }

  /**
   * Reads the JSON form of a configuration.
   *
   * @throws IllegalArgumentException if an address, the seed or the endpoint list is malformed
   * @throws MalformedInputException if a setting of the policy is missing or malformed
   */
  public static ProxyConfig parse(JsonNode root) {
    JsonNode settingsNode = root.path("settings");
    PolicySettings settings = SettingsParser.parse(SettingsFlattener.flatten(settingsNode));
    List<String> zones = names(settingsNode.path("zones"));
    List<String> machineTypes = names(settingsNode.path("machineTypes"));
    return new ProxyConfig(
        root.path("name").asText("balancer"),
        parseAddress(root, "listen"),
        parseAddress(root, "discovery"),
        parseSeed(root),
        root.path("limits").path("sockets").asInt(DEFAULT_MAX_DESCRIPTORS),
        parseMemoryLimit(root.path("limits").path("memory_mb")),
        settings,
        zones,
        machineTypes,
        names(settingsNode.path("services")),
        names(settingsNode.path("tenants")),
        new EndpointListParser(zones, machineTypes).parse(root.path("known")));
  }

  /** The settings of the discovery client, which are part of this configuration. */
  public DiscoverySettings discoverySettings() {
    return new DiscoverySettings(
        discovery, settings.explicitWatch(), zones, machineTypes, seed, knownEndpoints.version());
  }

  private static InetSocketAddress parseAddress(JsonNode root, String key) {
    try {
      return EndpointListParser.parseAddress(root.path(key).asText(""));
    } catch (IllegalArgumentException e) {
      throw new InvalidConfigurationValueException(key, e.getMessage(), e);
    }
  }

  private static long parseMemoryLimit(JsonNode megabytes) {
    return megabytes.isNumber()
        ? (long) (megabytes.asDouble() * BYTES_PER_MEGABYTE)
        : Long.MAX_VALUE;
  }

  private static long parseSeed(JsonNode root) {
    String text = root.path("seed").asText("");
    try {
      return Long.parseUnsignedLong(text, SEED_RADIX);
    } catch (NumberFormatException e) {
      throw new InvalidConfigurationValueException(
          "seed", "'" + text + "' is not a hexadecimal number of at most 64 bits", e);
    }
  }

  /** The names in a list whose items are names, or objects with a {@code name}. */
  private static List<String> names(JsonNode list) {
    List<String> names = new ArrayList<>();
    list.forEach(item -> names.add(item.isObject() ? item.path("name").asText() : item.asText()));
    return List.copyOf(names);
  }
}
