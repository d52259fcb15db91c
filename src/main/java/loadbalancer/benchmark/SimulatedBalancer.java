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
import loadbalancer.proxy.config.ProxyConfig;
import loadbalancer.proxy.discovery.DiscoveryClient;
import loadbalancer.proxy.discovery.EndpointListParser;
import loadbalancer.proxy.discovery.EndpointListUpdate;
import loadbalancer.proxy.eventloop.Clock;
import loadbalancer.proxy.eventloop.RunToCompletionQueue;
import loadbalancer.proxy.json.JsonReader;
import loadbalancer.proxy.logging.ProxyLogger;

/**
 * A balancer without clients: policy and discovery client are those of a {@code ProxyServer}, while
 * thousands of instances share a few event loops. Its only socket is the one to discovery. Confined
 * to its event loop, except for {@link #start}, {@link #stop} and {@link #instanceIndex}.
 */
public final class SimulatedBalancer extends UnexpectedActions {

  private static final long FAILED_CALL = -1;

  /** Receives what an instance has applied, on the event loop of that instance. */
  public interface Listener {

    /**
     * The policy has applied an update.
     *
     * @param version the version of the endpoint list; -1 for a failed call
     */
    void updateApplied(SimulatedBalancer balancer, EndpointUpdateType type, long version);
  }

  /** A configuration that many instances share but for instance index and seed. */
  public static final class Template {

    private final ProxyConfig config;

    private Template(ProxyConfig config) {
      this.config = config;
    }

    /**
     * Reads a configuration.
     *
     * @throws IllegalArgumentException if {@code serve} would reject it
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

    /** The settings of the policy. */
    public PolicySettings settings() {
      return config.settings();
    }

    /** Reads an endpoint list as a balancer does. */
    public List<Endpoint> list(byte[] body) throws IOException {
      return new EndpointListParser(config.zones(), config.machineTypes())
          .parse(JsonReader.read(new ByteArrayInputStream(body)))
          .endpoints();
    }

    private ProxyConfig forInstance(int instanceIndex, long seed) {
      PolicySettings settings = config.settings().withInstanceIndex(instanceIndex);
      return new ProxyConfig(
          config.name(),
          config.listen(),
          config.discovery(),
          seed,
          config.maxDescriptors(),
          settings,
          config.zones(),
          config.machineTypes(),
          config.requestClasses(),
          config.tenants(),
          config.knownEndpoints());
    }
  }

  private final int instanceIndex;
  private final ProxyConfig config;
  private final EventLoop loop;
  private final Listener listener;
  private final Clock clock = new Clock();
  private final LoadBalancingPolicy policy = new LatencyWeightedPolicy(this);
  private final DiscoveryClient discovery;
  private final RunToCompletionQueue<Runnable> events = new RunToCompletionQueue<>(Runnable::run);
  private boolean stopped;

  private SimulatedBalancer(
      Template template,
      int instanceIndex,
      long seed,
      EventLoop loop,
      ByteBufAllocator memory,
      Listener listener) {
    super("without a client");
    this.instanceIndex = instanceIndex;
    this.loop = loop;
    this.listener = listener;
    config = template.forInstance(instanceIndex, seed);
    discovery =
        new DiscoveryClient(
            loop,
            config.discoverySettings(),
            memory,
            this::onUpdate,
            () -> {},
            DiscoveryClient.MAX_WATCH_MILLIS);
  }

  /** Starts one on a loop; its watch begins as that of {@code ProxyServer} does. */
  public static SimulatedBalancer start(
      Template template,
      int instanceIndex,
      long seed,
      EventLoop loop,
      ByteBufAllocator memory,
      Listener listener) {
    SimulatedBalancer balancer =
        new SimulatedBalancer(template, instanceIndex, seed, loop, memory, listener);
    loop.execute(balancer::begin);
    return balancer;
  }

  /** Its number among the instances of its tier. */
  public int instanceIndex() {
    return instanceIndex;
  }

  /** Ends the watch and ignores all further events. Returns at once. */
  public void stop() {
    loop.execute(
        () -> {
          stopped = true;
          discovery.watch(false);
        });
  }

  private void begin() {
    enqueue(() -> policy.start(clock.now(), config.settings(), config.seed()));
    enqueue(
        () ->
            policy.endpointsChanged(
                clock.now(), EndpointUpdateType.CACHED, config.knownEndpoints().endpoints()));
    if (!config.settings().explicitWatch()) {
      watchEndpoints(true);
    }
  }

  private void onUpdate(EndpointUpdateType type, EndpointListUpdate update) {
    List<Endpoint> endpoints = update == null ? List.of() : update.endpoints();
    enqueue(() -> policy.endpointsChanged(clock.now(), type, endpoints));
    listener.updateApplied(this, type, update == null ? FAILED_CALL : update.version());
  }

  private void enqueue(Runnable event) {
    if (!stopped) {
      events.add(event);
    }
  }

  @Override
  public void fetchEndpoints() {
    discovery.fetch();
  }

  @Override
  public void watchEndpoints(boolean enabled) {
    discovery.watch(enabled);
  }

  @Override
  public void scheduleTimer(long token, double atMillis) {
    loop.schedule(
        () -> enqueue(() -> policy.timerExpired(clock.now(), token)),
        clock.nanosUntil(atMillis),
        TimeUnit.NANOSECONDS);
  }

  @Override
  public void log(String text) {
    ProxyLogger.LOGGER.info(text);
  }
}
