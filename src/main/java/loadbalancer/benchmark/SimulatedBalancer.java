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
 * A balancer without clients. It has the policy and the discovery client of a {@code ProxyServer},
 * but thousands of instances can share a few event loops. Its only socket is the connection to
 * discovery. Confined to its event loop, except for {@link #start}, {@link #stop} and {@link
 * #instanceIndex}.
 */
public final class SimulatedBalancer extends UnexpectedPolicyActions {

  /** Reported in place of a version for a failed call. */
  private static final long NO_VERSION = -1;

  /** Is notified of the updates that an instance has applied, on its event loop. */
  public interface Listener {

    /**
     * The policy has processed an update, or a failed call to discovery.
     *
     * @param version the version of the endpoint list; -1 for a failed call
     */
    void updateApplied(SimulatedBalancer balancer, EndpointUpdateType updateType, long version);
  }

  /** A configuration from which those of many instances differ only in instance index and seed. */
  public static final class Template {

    private final ProxyConfig config;

    private Template(ProxyConfig config) {
      this.config = config;
    }

    /**
     * Parses a configuration in JSON.
     *
     * @throws IllegalArgumentException if a balancer would reject the configuration
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

    /** Returns the settings of the policy, with the instance index of the configuration. */
    public PolicySettings settings() {
      return config.settings();
    }

    /** Parses the body of a response of discovery as a balancer does. */
    public List<Endpoint> parseEndpoints(byte[] body) throws IOException {
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
          config.memoryLimitBytes(),
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
  private final EventLoop eventLoop;
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
      EventLoop eventLoop,
      ByteBufAllocator allocator,
      Listener listener) {
    super("in a balancer without clients");
    this.instanceIndex = instanceIndex;
    this.eventLoop = eventLoop;
    this.listener = listener;
    config = template.forInstance(instanceIndex, seed);
    discovery =
        new DiscoveryClient(
            eventLoop,
            config.discoverySettings(),
            allocator,
            this::onUpdate,
            () -> {},
            DiscoveryClient.MAX_WATCH_MILLIS);
  }

  /** Starts an instance on an event loop; it begins its watch as {@code ProxyServer} does. */
  public static SimulatedBalancer start(
      Template template,
      int instanceIndex,
      long seed,
      EventLoop eventLoop,
      ByteBufAllocator allocator,
      Listener listener) {
    SimulatedBalancer balancer =
        new SimulatedBalancer(template, instanceIndex, seed, eventLoop, allocator, listener);
    eventLoop.execute(balancer::startPolicy);
    return balancer;
  }

  /** Returns the number of the instance among those of its tier. */
  public int instanceIndex() {
    return instanceIndex;
  }

  /** Ends the watch and ignores all further events, without waiting for the event loop. */
  public void stop() {
    eventLoop.execute(
        () -> {
          stopped = true;
          discovery.watch(false);
        });
  }

  private void startPolicy() {
    enqueue(() -> policy.start(clock.now(), config.settings(), config.seed()));
    enqueue(
        () ->
            policy.endpointsChanged(
                clock.now(), EndpointUpdateType.CACHED, config.knownEndpoints().endpoints()));
    if (!config.settings().explicitWatch()) {
      watchEndpoints(true);
    }
  }

  private void onUpdate(EndpointUpdateType updateType, EndpointListUpdate update) {
    List<Endpoint> endpoints = update == null ? List.of() : update.endpoints();
    enqueue(() -> policy.endpointsChanged(clock.now(), updateType, endpoints));
    listener.updateApplied(this, updateType, update == null ? NO_VERSION : update.version());
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
    eventLoop.schedule(
        () -> enqueue(() -> policy.timerExpired(clock.now(), token)),
        clock.nanosUntil(atMillis),
        TimeUnit.NANOSECONDS);
  }

  @Override
  public void log(String text) {
    ProxyLogger.LOGGER.info(text);
  }
}
