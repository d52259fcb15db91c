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

/** Reads discovery's JSON form of the endpoint list. Immutable, for any thread. */
public final class EndpointListParser {

  private final List<String> zones;
  private final List<String> machineTypes;

  /** Takes the names of the zones and machine types, by the index that the policy uses. */
  public EndpointListParser(List<String> zones, List<String> machineTypes) {
    this.zones = List.copyOf(zones);
    this.machineTypes = List.copyOf(machineTypes);
  }

  /**
   * Reads a full list or an incremental update.
   *
   * @throws InvalidEndpointListException if any part of it is malformed, since half a list would
   *     drop healthy endpoints
   */
  public EndpointListUpdate parse(JsonNode list) {
    JsonNode servers = list.get("servers");
    if (servers == null || !servers.isArray()) {
      throw new InvalidEndpointListException("endpoint list: 'servers' must be an array");
    }
    JsonNode version = list.path("version");
    if (!version.isIntegralNumber()) {
      throw new InvalidEndpointListException("endpoint list: 'version' must be an integer");
    }
    List<EndpointListUpdate.Entry> entries = new ArrayList<>(servers.size());
    for (JsonNode server : servers) {
      entries.add(parseEntry(server, entries.size()));
    }
    return new EndpointListUpdate(version.longValue(), list.path("full").asBoolean(), entries);
  }

  private EndpointListUpdate.Entry parseEntry(JsonNode server, int position) {
    String id = server.path("id").asText("");
    if (id.isEmpty()) {
      throw new InvalidEndpointListException("endpoint list: entry " + position + " has no 'id'");
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
    boolean addressNeeded = state != EndpointState.REMOVED || !address.isEmpty();
    return new EndpointListUpdate.Entry(endpoint, addressNeeded ? parseAddress(address) : null);
  }

  private static EndpointState parseState(String state, String id) {
    return switch (state) {
      case "up" -> EndpointState.READY;
      case "draining" -> EndpointState.DRAINING;
      case "removed" -> EndpointState.REMOVED;
      default ->
          throw new InvalidEndpointListException(
              "endpoint " + id + ": state '" + state + "' is none of up, draining, removed");
    };
  }

  /** Maps an ID to the same number on every instance, since the policy's subsets depend on it. */
  private static long numericId(String id) {
    CRC32C checksum = new CRC32C();
    checksum.update(id.getBytes(StandardCharsets.UTF_8));
    return (long) id.hashCode() << Integer.SIZE | checksum.getValue();
  }

  /** The index of a name; all names that the settings lack share the first index after theirs. */
  private static int indexOf(String name, List<String> names) {
    int index = names.indexOf(name);
    return index < 0 ? names.size() : index;
  }

  /**
   * Reads a numeric IP address with its port; host names are not resolved.
   *
   * @throws InvalidEndpointListException if the text is anything else
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
    return "'" + text + "' is no address with a port";
  }
}
