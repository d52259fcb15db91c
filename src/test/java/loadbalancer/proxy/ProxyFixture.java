package loadbalancer.proxy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import java.util.function.UnaryOperator;
import loadbalancer.policy.LoadBalancingPolicy;
import loadbalancer.policy.PolicyActions;
import loadbalancer.proxy.config.ProxyConfig;

/**
 * A load balancer on a loopback address; the test plays its upstreams and its discovery service.
 */
public final class ProxyFixture implements AutoCloseable {

  public final ScriptedPolicy policy = new ScriptedPolicy();
  public final ScriptedListener discovery = new ScriptedListener();
  public final List<ScriptedListener> upstreams = new ArrayList<>();
  private final List<HttpPeer> clients = new ArrayList<>();

  // Settings that a test may change before it starts the load balancer.
  public int maxDescriptors = 1_024;

  public int connectTimeoutMillis = 3_000;
  public int drainGraceMillis = 2_000;

  /**
   * How many upstreams, counted from the first, are in the load balancer's own zone. The others are
   * in another zone and have another machine type.
   */
  int endpointsInOwnZone = Integer.MAX_VALUE;

  /** How many upstreams, counted from the first, are in the configured endpoint list. */
  public int configuredEndpoints = Integer.MAX_VALUE;

  public int pollIntervalMillis = 1_000;
  public int maxAttempts = 4;

  /** The tier of the load balancer; clients connect to tier 0. */
  int tier;

  /** The registry mode; with "subscribe" the policy has to ask for endpoint list updates. */
  public String registryMode = "subscribe";

  /** How long the start waits for the first endpoint list before clients are accepted. */
  public long firstEndpointListTimeoutMillis = ProxyServer.FIRST_ENDPOINT_LIST_TIMEOUT_MILLIS;

  /** For how long after a response an upstream connection is not reused; 0 allows reuse at once. */
  public double reuseDelayMillis;

  /** Changes the text of the configuration file before the start. */
  public UnaryOperator<String> configEdit = config -> config;

  /** The seed of the policy, in hexadecimal. */
  public String seed = "8c1f30d27a5be964";

  /** The latency objective of the at-most-once class, as a member of the JSON configuration. */
  String latencyObjectiveMember = "\"aim\":1500.0";

  public ProxyServer server;

  public ProxyFixture() throws IOException {
    this(1);
  }

  public ProxyFixture(int upstreamCount) throws IOException {
    for (int i = 0; i < upstreamCount; i++) {
      upstreams.add(new ScriptedListener());
    }
  }

  /** Starts the load balancer with {@link #policy}. */
  public ProxyFixture start() throws Exception {
    return start(policy::attach);
  }

  public ProxyFixture start(Function<PolicyActions, LoadBalancingPolicy> policyFactory)
      throws Exception {
    Path file = Files.createTempFile("proxy", ".json");
    try {
      Files.writeString(file, configEdit.apply(config()));
      server =
          ProxyServer.prepare(
              ProxyConfig.read(file.toString()), policyFactory, firstEndpointListTimeoutMillis);
      server.onLoop(
          (frontend, upstreams) -> {
            upstreams.useOptions(upstreams.options().withReuseDelayMillis(reuseDelayMillis));
            return null;
          });
      server.serve();
    } finally {
      Files.delete(file);
    }
    return this;
  }

  public static String endpointEntry(int number, String address, String state) {
    return """
                {"id":"s-%08x","addr":"%s","zone":"dakar-a","kind":"front-mid","cell":%d,"state":"%s",
                 "weight":1.0,"started_ms":0}"""
        .formatted(number, address, number, state);
  }

  public static String endpointList(long version, boolean full, String... entries) {
    return "{\"version\":%d,\"full\":%b,\"servers\":[%s]}"
        .formatted(version, full, String.join(",", entries));
  }

  public String config() {
    String[] entries = new String[Math.min(configuredEndpoints, upstreams.size())];
    for (int i = 0; i < entries.length; i++) {
      entries[i] = endpointEntry(i, upstreams.get(i).address(), "up");
      if (i >= endpointsInOwnZone) {
        entries[i] = entries[i].replace("dakar-a", "thies-b").replace("front-mid", "front-slow");
      }
    }
    return """
                {"name":"n0","listen":"127.0.0.1:0","discovery":"%s","seed":"%s",
                 "limits":{"cores":1.0,"memory_mb":192,"sockets":%d},"known":%s,
                 "settings":{"position":0,"siblings":1,"tier":%d,"stages":["front"],"zone":0,
                 "zones":["dakar-a","thies-b"],"machineTypes":["front-mid","front-slow"],
                 "registryMode":"%s",
                 "familyInfo":{"passesDeadline":true},"callers":{"marksRetry":false},"worthBy":"request",
                 "overShareWorth":0.1,"weightKind":"silent",
                 "stats":{"how":"pull","fields":["queue","eps","latency_ms"]},"tenants":[],
                 "services":[
                 {"name":"look-up","aim":1000.0,"deadline":20000.0,"worth":1.0,"lateValue":0.5,
                  "idempotency":"idempotent","streamed":false},
                 {"name":"tile-order","aim":1000.0,"deadline":2500.0,"worth":8.0,"lateValue":0.5,
                  "idempotency":"deduplicated","group":"cell","memorySpan":4000.0,"streamed":false},
                 {"name":"credit-spend","aim":1500.0,"deadline":20000.0,"worth":2.0,"lateValue":0.3,
                  "idempotency":"at_most_once","streamed":false}],
                 "limits":{"attemptsCap":%d,"maxOpen":20000,"cancel":true,"parallelTries":true,"probes":true,
                  "peers":false,"retryAfter":true,"maxRetryAfter":2000.0,"connectTimeout":%d,
                  "connIdle":30000.0,"streamsPerConn":1},
                 "rules":{"graceToAnswer":20.0,"drainGrace":%d,"askEvery":%d,"startCapacity":0.13,
                  "warmUp":24000.0,"fallMultiple":3.0,"tipAfter":1500.0},
                 "goal":{"whole":0.55,"worstWindow":0.15,"worstClass":0.3,"worstTenant":0.0},
                 "prices":{"crossZone":0.22,"probe":0.01,"waste":0.2,"lateFail":0.03,"connection":0.0,
                  "handshake":0.0,"peer":0.0,"registryMode":0.0}}}
                """
        .formatted(
            discovery.address(),
            seed,
            maxDescriptors,
            endpointList(41, true, entries),
            tier,
            registryMode,
            maxAttempts,
            connectTimeoutMillis,
            drainGraceMillis,
            pollIntervalMillis)
        .replace("\"aim\":1500.0", latencyObjectiveMember);
  }

  /** Opens a client connection, which the fixture closes. */
  public HttpPeer connectClient() throws IOException {
    HttpPeer client = HttpPeer.connect(server.address());
    clients.add(client);
    return client;
  }

  /** A request of the idempotent class; {@code remainingSeconds} is its remaining time. */
  public static String idempotentRequest(String id, String remainingSeconds) {
    return "GET /look-up/7?z=3 HTTP/1.1\r\nHost: app.svc\r\nX-Txn: "
        + id
        + "\r\nX-Lane: look-up\r\nX-Remaining: "
        + remainingSeconds
        + "\r\n\r\n";
  }

  /** A request of the at-most-once class; its remaining time is 10 s. */
  public static String atMostOnceRequest(String id, String body) {
    return "POST /credit-spend HTTP/1.1\r\nHost: app.svc\r\nX-Txn: "
        + id
        + "\r\nX-Lane: credit-spend\r\nX-Remaining: 10\r\nContent-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  public static String okResponse(String body) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
  }

  /**
   * Asserts that a new client's request is forwarded to the first upstream and gets its response.
   */
  public void assertStillServes() throws Exception {
    HttpPeer client = connectClient();
    client.write(idempotentRequest("still", "10"));
    HttpPeer upstream = upstreams.get(0).accept();
    upstream.read();
    upstream.write(okResponse("well"));
    HttpPeer.Message response = client.read();
    if (response == null || response.status() != 200 || !response.body().equals("well")) {
      throw new AssertionError("the request was not served; response: " + response);
    }
  }

  @Override
  public void close() throws IOException {
    for (HttpPeer client : clients) {
      client.close();
    }
    if (server != null) {
      server.kill();
    }
    for (ScriptedListener upstream : upstreams) {
      upstream.close();
    }
    discovery.close();
  }
}
