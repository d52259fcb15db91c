package loadbalancer.benchmark;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * A synthetic deployment: the endpoint list in discovery's form and the configuration of a balancer
 * in front of these endpoints.
 */
final class Fleet {

  /** An endpoint as discovery lists it; its number gives its id and machine type. */
  record Entry(int number, int zone, String state, long startedMillis, String address) {

    /** An endpoint at an address that its number gives, where nothing need listen. */
    Entry(int number, int zone, String state, long startedMillis) {
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

    Entry with(String newState, long newStart) {
      return new Entry(number, zone, newState, newStart, address);
    }
  }

  private static final int MACHINE_TYPES = 2;

  /** Endpoints that share the idempotency keys that they have seen. */
  private static final int ENDPOINTS_PER_DEDUPLICATION_GROUP = 4;

  private Fleet() {}

  /** A list that distributes endpoints over zones in turn. */
  static List<Entry> entries(int count, int zones) {
    List<Entry> entries = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      entries.add(new Entry(i, i % zones, "up", 0));
    }
    return entries;
  }

  static String list(long version, boolean full, Iterable<Entry> entries) {
    List<String> parts = new ArrayList<>();
    entries.forEach(entry -> parts.add(entry.json()));
    return "{\"version\":%d,\"full\":%b,\"servers\":[%s]}"
        .formatted(version, full, String.join(",", parts));
  }

  /**
   * A balancer's configuration. It knows no endpoint, so the first list comes from discovery; lists
   * are pushed.
   */
  static String config(
      InetSocketAddress listen,
      InetSocketAddress discovery,
      long seed,
      int instances,
      int tier,
      int zones) {
    String zoneNames =
        IntStream.range(0, zones)
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
        .formatted(text(listen), text(discovery), seed, instances, tier, zoneNames);
  }

  private static String zoneName(int zone) {
    return "z" + zone;
  }

  private static String text(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }
}
