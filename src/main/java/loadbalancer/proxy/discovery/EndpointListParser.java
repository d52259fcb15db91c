package loadbalancer.proxy.discovery;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;
import loadbalancer.model.Endpoint;
import loadbalancer.model.EndpointState;

/** Parses the endpoint list in discovery's JSON format. Immutable; may be used on any thread. */
public final class EndpointListParser {

  private final List<String> zones;
  private final List<String> machineTypes;

  /**
   * Creates a parser.
   *
   * @param zones the names of the zones, at the index that the policy uses for each
   * @param machineTypes the names of the machine types, at the index that the policy uses for each
   */
  public EndpointListParser(List<String> zones, List<String> machineTypes) {
    this.zones = List.copyOf(zones);
    this.machineTypes = List.copyOf(machineTypes);
  }

  /**
   * Parses a full list or an incremental update. If any part of it is malformed, all of it is
   * rejected: applying the rest as a full list would remove healthy endpoints.
   *
   * @throws InvalidEndpointListException if any part of it is malformed
   */
  public EndpointListUpdate parse(JsonNode list) {
    JsonNode servers = list.get("servers");
    if (servers == null || !servers.isArray()) {
      throw new InvalidEndpointListException("endpoint list: 'servers' must be an array");
    }
    JsonNode version = list.path("version");
    if (!version.isIntegralNumber()) {
      throw new InvalidEndpointListException(
          "endpoint list: 'version' must be a JSON integer, but its text is '"
              + version.asText()
              + "' (empty if it is missing)");
    }
    List<EndpointListUpdate.Entry> entries = new ArrayList<>(servers.size());
    for (JsonNode server : servers) {
      entries.add(parseEntry(server, entries.size()));
    }
    return new EndpointListUpdate(version.longValue(), list.path("full").asBoolean(), entries);
  }

  private EndpointListUpdate.Entry parseEntry(JsonNode server, int entryIndex) {
    String id = server.path("id").asText("");
    if (id.isEmpty()) {
      throw new InvalidEndpointListException(
          "endpoint list: servers[" + entryIndex + "] has no 'id' or an empty one");
    }
    EndpointState state = parseState(server.path("state").asText(""), id);
    Endpoint endpoint =
        new Endpoint(
            numericId(id),
            indexOf(server.path("zone").asText(""), zones),
            indexOf(server.path("kind").asText(""), machineTypes),
            server.path("cell").asInt(0),
            state,
            server.path("weight").asDouble(1),
            server.path("started_ms").asDouble(0));
    String address = server.path("addr").asText("");
    boolean parsesAddress = state != EndpointState.REMOVED || !address.isEmpty();
    return new EndpointListUpdate.Entry(endpoint, parsesAddress ? parseAddress(address) : null);
  }

  private static EndpointState parseState(String state, String id) {
    return switch (state) {
      case "up" -> EndpointState.READY;
      case "draining" -> EndpointState.DRAINING;
      case "removed" -> EndpointState.REMOVED;
      default ->
          throw new InvalidEndpointListException(
              "endpoint " + id + ": state '" + state + "' is not one of up, draining, removed");
    };
  }

  /**
   * Maps an endpoint's ID to a number. It must be the same on every instance, since the policy
   * derives the subsets of endpoints from it.
   */
  private static long numericId(String id) {
    CRC32C checksum = new CRC32C();
    checksum.update(id.getBytes(StandardCharsets.UTF_8));
    return (long) id.hashCode() << Integer.SIZE | checksum.getValue();
  }

  /** The index of a name; all unknown names share the index after the last known one. */
  private static int indexOf(String name, List<String> names) {
    int index = names.indexOf(name);
    return index < 0 ? names.size() : index;
  }

  /**
   * Parses a numeric IP address with a port, such as {@code 127.0.0.1:8080}. Host names are not
   * resolved but rejected.
   *
   * @throws InvalidEndpointListException if the text is malformed
   */
  public static InetSocketAddress parseAddress(String text) {
    int colon = text.lastIndexOf(':');
    byte[] ip =
        NetUtil.createByteArrayFromIpAddressString(colon < 0 ? text : text.substring(0, colon));
    if (ip == null) {
      throw new InvalidEndpointListException(invalidAddress(text));
    }
    try {
      return new InetSocketAddress(
          InetAddress.getByAddress(ip), Integer.parseInt(text.substring(colon + 1)));
    } catch (UnknownHostException | IllegalArgumentException e) {
      throw new InvalidEndpointListException(invalidAddress(text), e);
    }
  }

  private static String invalidAddress(String text) {
    return "'" + text + "' is not a numeric IP address with a port";
  }
}
