package loadbalancer.benchmark;

import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.EventLoop;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import loadbalancer.model.Endpoint;
import loadbalancer.model.EndpointUpdateType;
import loadbalancer.model.PolicySettings;
import loadbalancer.policy.LatencyWeightedPolicy;
import loadbalancer.policy.LoadBalancingPolicy;
import loadbalancer.policy.PolicyActions;
import loadbalancer.proxy.config.ProxyConfig;
import loadbalancer.proxy.discovery.DiscoveryClient;
import loadbalancer.proxy.discovery.EndpointListParser;
import loadbalancer.proxy.discovery.EndpointListUpdate;
import loadbalancer.proxy.eventloop.Clock;
import loadbalancer.proxy.eventloop.RunToCompletionQueue;
import loadbalancer.proxy.json.JsonReader;
import loadbalancer.proxy.logging.ProxyLogger;

/**
 * A balancer without callers, for scale runs: its module and its watch on discovery are those of a
 * {@code ProxyServer}, while thousands of them share a few loops. It has no socket but the one to
 * discovery. The program that serves does not have this class in its jar.
 */
public final class SimulatedBalancer implements PolicyActions {

  /** Who hears what a balancer has taken in, on that balancer's loop. */
  public interface Listener {

    /**
     * The module has returned from this news; the version is that of its list, -1 for a failed
     * call.
     */
    void taken(SimulatedBalancer balancer, EndpointUpdateType change, long version);
  }

  /** A configuration read once, which many balancers differ from only in position and seed. */
  public static final class Template {

    private final ProxyConfig config;

    private Template(ProxyConfig config) {
      this.config = config;
    }

    /**
     * Reads a configuration; throws {@link IllegalArgumentException} where {@code serve} refuses
     * it.
     */
    public static Template parse(String json) {
      try {
        return new Template(
            ProxyConfig.parse(
                JsonReader.read(new ByteArrayInputStream(json.getBytes(StandardCharsets.UTF_8)))));
      } catch (IOException e) {
        throw new IllegalArgumentException(e.getMessage().lines().findFirst().orElse(""), e);
      }
    }

    /** What the module of this configuration is told. */
    public PolicySettings settings() {
      return config.settings();
    }

    /** Reads a list as a balancer does: the bytes into a tree, the tree into entries. */
    public List<Endpoint> list(byte[] body) throws IOException {
      return new EndpointListParser(config.zones(), config.machineTypes())
          .parse(JsonReader.read(new ByteArrayInputStream(body)))
          .endpoints();
    }

    private ProxyConfig at(int position, long seed) {
      PolicySettings own = config.settings().withInstanceIndex(position);
      return new ProxyConfig(
          config.name(),
          config.listen(),
          config.discovery(),
          seed,
          config.maxDescriptors(),
          own,
          config.zones(),
          config.machineTypes(),
          config.requestClasses(),
          config.tenants(),
          config.knownEndpoints());
    }
  }

  private final int position;
  private final ProxyConfig config;
  private final EventLoop loop;
  private final Listener listener;
  private final Clock clock = new Clock();
  private final LoadBalancingPolicy balancer = new LatencyWeightedPolicy(this);
  private final DiscoveryClient discovery;
  private final RunToCompletionQueue<Runnable> events = new RunToCompletionQueue<>(Runnable::run);
  private boolean stopped;

  private SimulatedBalancer(
      Template template,
      int position,
      long seed,
      EventLoop loop,
      ByteBufAllocator memory,
      Listener listener) {
    this.position = position;
    this.loop = loop;
    this.listener = listener;
    config = template.at(position, seed);
    discovery =
        new DiscoveryClient(
            loop,
            config.discoverySettings(),
            memory,
            this::told,
            () -> {},
            DiscoveryClient.MAX_WATCH_MILLIS);
  }

  /** Starts one on a loop; its watch begins as that of {@code ProxyServer} does. */
  public static SimulatedBalancer start(
      Template template,
      int position,
      long seed,
      EventLoop loop,
      ByteBufAllocator memory,
      Listener listener) {
    SimulatedBalancer hollow =
        new SimulatedBalancer(template, position, seed, loop, memory, listener);
    loop.execute(hollow::begin);
    return hollow;
  }

  /** Its number among its siblings. */
  public int position() {
    return position;
  }

  /** Dies: closes its connection and hears nothing more. Returns at once. */
  public void stop() {
    loop.execute(
        () -> {
          stopped = true;
          discovery.watch(false);
        });
  }

  private void begin() {
    event(() -> balancer.start(clock.now(), config.settings(), config.seed()));
    event(
        () ->
            balancer.endpointsChanged(
                clock.now(), EndpointUpdateType.CACHED, config.knownEndpoints().endpoints()));
    if (!config.settings().explicitWatch()) {
      watchEndpoints(true);
    }
  }

  private void told(EndpointUpdateType change, EndpointListUpdate roster) {
    List<Endpoint> entries = roster == null ? List.of() : roster.endpoints();
    event(() -> balancer.endpointsChanged(clock.now(), change, entries));
    listener.taken(this, change, roster == null ? -1 : roster.version());
  }

  private void event(Runnable event) {
    if (!stopped) {
      events.add(event);
    }
  }

  @Override
  public void fetchEndpoints() {
    discovery.fetch();
  }

  @Override
  public void watchEndpoints(boolean on) {
    discovery.watch(on);
  }

  @Override
  public void scheduleTimer(long token, double at) {
    loop.schedule(
        () -> event(() -> balancer.timerExpired(clock.now(), token)),
        clock.nanosUntil(at),
        TimeUnit.NANOSECONDS);
  }

  @Override
  public void sendAttempt(long requestId, long upstream, double timeout) {
    throw noCallers();
  }

  @Override
  public void reject(long requestId, double retryAfter) {
    throw noCallers();
  }

  @Override
  public void failRequest(long requestId) {
    throw noCallers();
  }

  @Override
  public void cancelAttempt(long requestId, int attempt) {
    throw noCallers();
  }

  @Override
  public void checkHealth(long upstream) {
    throw noCallers();
  }

  /** It has no connections to upstreams, idle or not. */
  @Override
  public void closeIdleConnections(long upstream) {
    throw noCallers();
  }

  @Override
  public void sendToPeer(int peer, byte[] payload) {
    throw noCallers();
  }

  @Override
  public void log(String text) {
    ProxyLogger.LOGGER.info(text);
  }

  private static IllegalStateException noCallers() {
    return new IllegalStateException("a balancer without callers has nobody to act for");
  }
}
