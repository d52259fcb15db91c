package loadbalancer.benchmark;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Generates a synthetic deployment: an endpoint list, its JSON form as discovery sends it, and the
 * configuration of a balancer in front of these endpoints.
 */
final class SyntheticDeployment {

  /**
   * An endpoint as discovery lists it. Its ID, machine type and deduplication group are derived
   * from its number.
   */
  record EndpointEntry(int number, int zone, String state, long startedMillis, String address) {

    /** Creates an endpoint with an address derived from its number, at which nothing listens. */
    EndpointEntry(int number, int zone, String state, long startedMillis) {
      this(
          number,
          zone,
          state,
          startedMillis,
          "127.%d.%d.%d:8081".formatted(100 + (number >> 16), number >> 8 & 0xff, number & 0xff));
    }

    String json() {
      return ("{\"id\":\"s-%08x\",\"addr\":\"%s\",\"zone\":\"%s\",\"kind\":\"m%d\","
              + "\"cell\":%d,\"state\":\"%s\",\"weight\":1.0,\"started_ms\":%d}")
          .formatted(
              number * 0x9e3779b1,
              address,
              zoneName(zone),
              number % MACHINE_TYPES,
              number / ENDPOINTS_PER_DEDUPLICATION_GROUP,
              state,
              startedMillis);
    }

    /** Returns a copy with another state and start time. */
    EndpointEntry withState(String newState, long newStartedMillis) {
      return new EndpointEntry(number, zone, newState, newStartedMillis, address);
    }
  }

  private static final int MACHINE_TYPES = 2;

  /** How many endpoints share a record of the idempotency keys that they have received. */
  private static final int ENDPOINTS_PER_DEDUPLICATION_GROUP = 4;

  private SyntheticDeployment() {}

  /** Creates endpoints that are distributed over the zones in turn. */
  static List<EndpointEntry> entries(int endpointCount, int zoneCount) {
    List<EndpointEntry> entries = new ArrayList<>(endpointCount);
    for (int i = 0; i < endpointCount; i++) {
      entries.add(new EndpointEntry(i, i % zoneCount, "up", 0));
    }
    return entries;
  }

  /** Returns a full list or a delta in JSON, as discovery sends it. */
  static String listJson(long version, boolean full, Iterable<EndpointEntry> entries) {
    List<String> entriesJson = new ArrayList<>();
    entries.forEach(entry -> entriesJson.add(entry.json()));
    return "{\"version\":%d,\"full\":%b,\"servers\":[%s]}"
        .formatted(version, full, String.join(",", entriesJson));
  }

  /**
   * Returns a balancer's configuration in JSON. It contains no endpoints, so that the balancer has
   * to get its first list from discovery. With {@code registryMode} automatic, discovery notifies
   * every balancer of changes, and the balancer watches it from its start.
   */
  static String configJson(
      InetSocketAddress listenAddress,
      InetSocketAddress discoveryAddress,
      long seed,
      int instanceCount,
      int tier,
      int zoneCount) {
    String zoneNames =
        IntStream.range(0, zoneCount)
            .mapToObj(zone -> "\"" + zoneName(zone) + "\"")
            .collect(Collectors.joining(","));
    return """
                {"name":"n0","listen":"%s","discovery":"%s","seed":"%x",
                 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
                 "known":{"version":0,"full":true,"servers":[]},
                 "settings":{"position":0,"siblings":%d,"tier":%d,"stages":["first","second"],"zone":0,
                 "zones":[%s],"machineTypes":["m0","m1"],"registryMode":"automatic",
                 "familyInfo":{"passesDeadline":true},"callers":{"marksRetry":false},"worthBy":"request",
                 "overShareWorth":0.1,"weightKind":"silent","stats":{"how":"silent","fields":[]},"tenants":[],
                 "services":[
                 {"name":"read","aim":200.0,"deadline":1000.0,"worth":1.0,"lateValue":0.5,
                  "idempotency":"idempotent","streamed":false},
                 {"name":"write","aim":400.0,"deadline":2000.0,"worth":4.0,"lateValue":0.5,
                  "idempotency":"deduplicated","group":"all","memorySpan":4000.0,"streamed":false}],
                 "limits":{"attemptsCap":3,"maxOpen":20000,"cancel":true,"parallelTries":true,"probes":false,
                  "peers":false,"retryAfter":true,"maxRetryAfter":2000.0,"connectTimeout":300,
                  "connIdle":30000.0,"streamsPerConn":1},
                 "rules":{"graceToAnswer":20.0,"drainGrace":2000,"askEvery":10000,"startCapacity":0.2,
                  "warmUp":20000.0,"fallMultiple":3.0,"tipAfter":1500.0},
                 "goal":{"whole":0.6,"worstWindow":0.2,"worstClass":0.2,"worstTenant":0.0},
                 "prices":{"crossZone":0.1,"probe":0.01,"waste":0.02,"lateFail":0.03,"connection":0.0,
                  "handshake":0.0,"peer":0.0,"registryMode":0.0}}}
                """
        .formatted(
            format(listenAddress), format(discoveryAddress), seed, instanceCount, tier, zoneNames);
  }

  private static String zoneName(int zone) {
    return "z" + zone;
  }

  private static String format(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }
}
