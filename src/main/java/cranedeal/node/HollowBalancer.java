package cranedeal.node;

import cranedeal.LatencyWeightedBalancer;
import cranedeal.LoadBalancer;
import cranedeal.LoadBalancer.Change;
import cranedeal.LoadBalancer.Settings;
import cranedeal.LoadBalancer.Upstream;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.EventLoop;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A balancer without callers, for scale runs: its module and its watch on discovery are those of a
 * {@link Node}, while thousands of them share a few loops. It has no socket but the one to
 * discovery. The program that serves does not have this class in its jar.
 */
public final class HollowBalancer implements LoadBalancer.Actions {

  /** Who hears what a balancer has taken in, on that balancer's loop. */
  public interface Listener {

    /**
     * The module has returned from this news; the version is that of its list, -1 for a failed
     * call.
     */
    void taken(HollowBalancer balancer, Change change, long version);
  }

  /** A configuration read once, which many balancers differ from only in position and seed. */
  public static final class Template {

    private final NodeConfig config;

    private Template(NodeConfig config) {
      this.config = config;
    }

    /**
     * Reads a configuration; throws {@link IllegalArgumentException} where {@code serve} refuses
     * it.
     */
    public static Template parse(String json) {
      try {
        return new Template(
            NodeConfig.parse(
                Json.read(new ByteArrayInputStream(json.getBytes(StandardCharsets.UTF_8)))));
      } catch (IOException e) {
        throw new IllegalArgumentException(e.getMessage().lines().findFirst().orElse(""), e);
      }
    }

    /** What the module of this configuration is told. */
    public Settings settings() {
      return config.settings();
    }

    /** Reads a list as a balancer does: the bytes into a tree, the tree into entries. */
    public List<Upstream> list(byte[] body) throws IOException {
      return Roster.parse(Json.read(new ByteArrayInputStream(body)), config.zones(), config.kinds())
          .upstreams();
    }

    private NodeConfig at(int position, long seed) {
      Settings s = config.settings();
      Settings own =
          new Settings(
              position,
              s.siblings(),
              s.tier(),
              s.tiers(),
              s.zone(),
              s.zones(),
              s.kinds(),
              s.subscribe(),
              s.passesDeadline(),
              s.warmKeys(),
              s.retriesMarked(),
              s.worthByWork(),
              s.overShareWorth(),
              s.weightKind(),
              s.reports(),
              s.reportFields(),
              s.classes(),
              s.tenants(),
              s.limits(),
              s.rules(),
              s.goal(),
              s.prices());
      return new NodeConfig(
          config.name(),
          config.listen(),
          config.discovery(),
          seed,
          config.sockets(),
          own,
          config.zones(),
          config.kinds(),
          config.classes(),
          config.tenants(),
          config.known());
    }
  }

  private final int position;
  private final NodeConfig config;
  private final EventLoop loop;
  private final Listener listener;
  private final Clock clock = new Clock();
  private final LoadBalancer balancer = new LatencyWeightedBalancer(this);
  private final Discovery discovery;
  private final ArrayDeque<Runnable> events = new ArrayDeque<>();
  private boolean deciding;
  private boolean stopped;

  private HollowBalancer(
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
    discovery = new Discovery(loop, config, memory, this::told, () -> {}, Discovery.WATCH_MS);
  }

  /** Starts one on a loop; its watch begins as that of {@link Node} does. */
  public static HollowBalancer start(
      Template template,
      int position,
      long seed,
      EventLoop loop,
      ByteBufAllocator memory,
      Listener listener) {
    HollowBalancer hollow = new HollowBalancer(template, position, seed, loop, memory, listener);
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
    event(() -> balancer.upstreamsChanged(clock.now(), Change.CACHED, config.known().upstreams()));
    if (!config.settings().subscribe()) {
      watch(true);
    }
  }

  private void told(Change change, Roster roster) {
    List<Upstream> entries = roster == null ? List.of() : roster.upstreams();
    event(() -> balancer.upstreamsChanged(clock.now(), change, entries));
    listener.taken(this, change, roster == null ? -1 : roster.version());
  }

  /** One event at a time: an action may cause the next before the module has returned. */
  private void event(Runnable event) {
    events.add(event);
    if (deciding || stopped) {
      return;
    }
    deciding = true;
    try {
      for (Runnable next = events.poll(); next != null; next = events.poll()) {
        next.run();
      }
    } finally {
      deciding = false;
    }
  }

  @Override
  public void fetch() {
    discovery.fetch();
  }

  @Override
  public void watch(boolean on) {
    discovery.watch(on);
  }

  @Override
  public void setTimer(long token, double at) {
    loop.schedule(
        () -> event(() -> balancer.timer(clock.now(), token)),
        clock.nanosUntil(at),
        TimeUnit.NANOSECONDS);
  }

  @Override
  public void send(long requestId, long upstream, double timeout) {
    throw noCallers();
  }

  @Override
  public void refuse(long requestId, double retryAfter) {
    throw noCallers();
  }

  @Override
  public void fail(long requestId) {
    throw noCallers();
  }

  @Override
  public void cancel(long requestId, int attempt) {
    throw noCallers();
  }

  @Override
  public void probe(long upstream) {
    throw noCallers();
  }

  /** It has no connections to upstreams, idle or not. */
  @Override
  public void closeIdle(long upstream) {
    throw noCallers();
  }

  @Override
  public void tell(int peer, byte[] payload) {
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
