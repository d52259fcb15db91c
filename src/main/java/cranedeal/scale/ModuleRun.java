package cranedeal.scale;

import cranedeal.LatencyWeightedBalancer;
import cranedeal.LoadBalancer;
import cranedeal.LoadBalancer.Change;
import cranedeal.LoadBalancer.Outcome;
import cranedeal.LoadBalancer.Request;
import cranedeal.LoadBalancer.Result;
import cranedeal.LoadBalancer.ServiceClass;
import cranedeal.LoadBalancer.Settings;
import cranedeal.LoadBalancer.State;
import cranedeal.LoadBalancer.Upstream;
import java.util.AbstractList;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * The module by itself in virtual time, with calls that are all served and changes of one entry.
 * Counts what it does; whoever measures its processor time does so around these methods.
 */
final class ModuleRun implements LoadBalancer.Actions {

  private static final double LEAST_LATENCY_MS = 5;
  private static final double LATENCY_SPREAD_MS = 10;
  private static final double MS = 1_000;

  /** A timer's token has its request's number above so many bits. */
  private static final int TOKEN_BITS = 8;

  private record Sent(long request, long upstream, double at, double dueAt) {}

  private final List<Upstream> list;
  private final Settings settings;
  private final LoadBalancer balancer;
  private final SplittableRandom random;
  private final double gap;
  private final ArrayDeque<Sent> out = new ArrayDeque<>();
  private final ArrayDeque<Long> timers = new ArrayDeque<>();
  private double now = 1e9;
  private long lastId;
  private int flipped = -1;
  private long sends;

  /**
   * Where attempts went; null while nobody asks, as it would cost as much as a short list's call.
   */
  private Set<Long> reached;

  private long timersSet;

  /**
   * With calls at a rate a second, which decides how often evidence fades and how many are in
   * flight.
   */
  ModuleRun(Settings settings, List<Upstream> list, double rate, long seed) {
    this.settings = settings;
    this.list = list;
    gap = MS / rate;
    random = new SplittableRandom(seed);
    balancer = new LatencyWeightedBalancer(this);
    balancer.start(now, settings, seed);
    whole();
  }

  /**
   * The same settings with classes whose placement allows everything and tells how often it is
   * asked.
   */
  static Settings counted(Settings s, Looks looks) {
    List<ServiceClass> classes =
        s.classes().stream()
            .map(
                c ->
                    new ServiceClass(
                        c.name(),
                        c.aim(),
                        c.aimStretch(),
                        c.deadline(),
                        c.worth(),
                        c.lateWorth(),
                        c.repeat(),
                        c.group(),
                        c.memory(),
                        c.streamed(),
                        c.inOrder(),
                        looks,
                        null))
            .toList();
    return new Settings(
        s.position(),
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
        classes,
        s.tenants(),
        s.limits(),
        s.rules(),
        s.goal(),
        s.prices());
  }

  /** A placement of all zones; each time it is asked, the module looks at a server for a call. */
  static final class Looks extends AbstractList<Integer> {

    private long count;

    long count() {
      return count;
    }

    @Override
    public boolean contains(Object zone) {
      count++;
      return true;
    }

    @Override
    public Integer get(int index) {
      throw new IndexOutOfBoundsException(index);
    }

    @Override
    public int size() {
      return 0;
    }
  }

  /** A request arrives; attempts that are due by then have been served. */
  void call() {
    now += gap;
    while (!out.isEmpty() && out.peekFirst().dueAt() <= now) {
      Sent sent = out.pollFirst();
      balancer.attemptFinished(
          now,
          new Outcome(sent.request(), 0, sent.upstream(), Result.OK, true, now - sent.at(), null));
    }
    // Their calls are over by the time they ring in earnest, and all that is left of them is a
    // look-up.
    long oldest = out.isEmpty() ? lastId + 1 : out.peekFirst().request();
    while (!timers.isEmpty() && timers.peekFirst() >>> TOKEN_BITS < oldest) {
      balancer.timer(now, timers.pollFirst());
    }
    int serviceClass = random.nextInt(settings.classes().size());
    balancer.request(
        now,
        new Request(
            ++lastId,
            serviceClass,
            0,
            0,
            now + settings.classes().get(serviceClass).deadline(),
            0,
            false,
            false));
  }

  /** One entry begins to drain, or is ready again. */
  void change() {
    now += gap;
    if (flipped < 0) {
      flipped = random.nextInt(list.size());
      balancer.upstreamsChanged(
          now, Change.DELTA, List.of(with(list.get(flipped), State.DRAINING)));
    } else {
      balancer.upstreamsChanged(now, Change.DELTA, List.of(list.get(flipped)));
      flipped = -1;
    }
  }

  /** A watch ends without news. */
  void noNews() {
    now += gap;
    balancer.upstreamsChanged(now, Change.DELTA, List.of());
  }

  /** The whole list comes, as at a resync. */
  void whole() {
    now += gap;
    balancer.upstreamsChanged(now, Change.FULL, list);
  }

  /** The servers that calls of so many ms go to, each of which holds a connection by then. */
  int reached(double millis) {
    reached = new HashSet<>();
    for (double end = now + millis; now < end; ) {
      call();
    }
    int count = reached.size();
    reached = null;
    return count;
  }

  long sends() {
    return sends;
  }

  long timersSet() {
    return timersSet;
  }

  private static Upstream with(Upstream u, State state) {
    return new Upstream(u.id(), u.zone(), u.kind(), u.cell(), state, u.weight(), u.startedAt());
  }

  @Override
  public void send(long requestId, long upstream, double timeout) {
    sends++;
    if (reached != null) {
      reached.add(upstream);
    }
    double latency = LEAST_LATENCY_MS + LATENCY_SPREAD_MS * random.nextDouble();
    out.addLast(new Sent(requestId, upstream, now, now + latency));
  }

  @Override
  public void setTimer(long token, double at) {
    timersSet++;
    timers.addLast(token);
  }

  @Override
  public void refuse(long requestId, double retryAfter) {
    throw unexpected("a refusal");
  }

  @Override
  public void fail(long requestId) {
    throw unexpected("a failure");
  }

  @Override
  public void cancel(long requestId, int attempt) {
    throw unexpected("a cancelled attempt");
  }

  @Override
  public void probe(long upstream) {
    throw unexpected("a probe");
  }

  @Override
  public void closeIdle(long upstream) {
    throw unexpected("a close");
  }

  @Override
  public void fetch() {
    throw unexpected("a fetch");
  }

  @Override
  public void watch(boolean on) {
    throw unexpected("a watch");
  }

  @Override
  public void tell(int peer, byte[] payload) {
    throw unexpected("a message");
  }

  @Override
  public void log(String text) {
    // Log lines decide nothing.
  }

  /**
   * Where all calls are served in time nothing of the kind is due, and the run would measure that.
   */
  private static ScaleException unexpected(String what) {
    return new ScaleException("the module asked for " + what + " where all calls are served");
  }
}
