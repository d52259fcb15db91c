package loadbalancer.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import loadbalancer.model.AttemptOutcome;
import loadbalancer.model.AttemptResult;
import loadbalancer.model.ClientRequest;
import loadbalancer.model.DeduplicationScope;
import loadbalancer.model.Endpoint;
import loadbalancer.model.EndpointState;
import loadbalancer.model.EndpointUpdateType;
import loadbalancer.model.Idempotency;
import loadbalancer.model.LimitSettings;
import loadbalancer.model.PolicySettings;
import loadbalancer.model.RequestClass;

/**
 * All decisions of the load balancer. Read {@link LoadBalancingPolicy} first: it is the interface.
 *
 * <p>The ordinary path: every server has a cost l = base + p * (1/s - 1), where base is its
 * smoothed served latency, s its windowed success share and p the class's steady time-out; each
 * call goes to a ready server drawn at random in proportion to 1/l. The file follows a request:
 * arrival, the draw, the send, the outcome, the next attempt or the final answer; then the evidence
 * behind l, then the server list.
 */
public final class LatencyWeightedPolicy implements LoadBalancingPolicy {

  /** Ms in which evidence fades to 1/e: shorter than most troubles, so a sick server is retried. */
  private static final double EVIDENCE_FADE = 8_000;

  /** Ms between refreshes of a server's faded evidence; far below the fade, it only saves CPU. */
  private static final double FADE_STEP = 200;

  /**
   * Samples that the mean of a server's machine type weighs in its base, as most bases rest on few.
   */
  private static final double BASE_POOL = 2;

  /**
   * Calls that its machine type's record weighs in s: a type in trouble shows in all its servers.
   */
  private static final double SUCCESS_POOL = 2;

  /**
   * Calls that a server's record over all classes weighs in s for one class: a server may fail a
   * class and serve the others well, or fail all; which one it is shows in the class's own few
   * calls.
   */
  private static final double CLASS_POOL = 1;

  /** Least s: keeps l finite, so that even a dead server is drawn now and then. */
  private static final double SUCCESS_FLOOR = 0.05;

  /**
   * Weight of a sample in the averages over all servers (class latency, machine type, cost hints).
   */
  private static final double FLEET_GAIN = 0.02;

  /** Expected latency before any was seen, as a share of the class's aim. */
  private static final double FIRST_GUESS = 0.2;

  /** Ms below which latencies are not told apart; keeps every l above zero. */
  private static final double LEAST_LATENCY = 0.01;

  /**
   * Share of an expected latency that goes with the hinted work; the rest is waiting that all
   * share.
   */
  private static final double HINT_SHARE = 0.5;

  /** Growth of l for each own call in flight there: they will be served first. */
  private static final double IN_FLIGHT = 1.4;

  /**
   * Ms added to l per ms that the oldest call there is overdue: a hang shows before it times out.
   */
  private static final double OVERDUE_WEIGHT = 4;

  /**
   * Growth of l across zones, times the root of the price: a dear crossing must still be possible.
   */
  private static final double CROSSING = 400;

  /**
   * Power with which a crowd at a server offsets the price of crossing: nothing to speak of at half
   * the aim, all of it at the aim, so that a zone is left where its calls would be late and not
   * before.
   */
  private static final double CROWD_POWER = 4;

  /**
   * Share of calls lost at a server that is worth a crossing, about what a crossing costs of a
   * call.
   */
  private static final double WORTH_LEAVING = 0.4;

  /** Bound of the factor for that: its few calls must still show when it is well again. */
  private static final double MOST_LEAVING = 16;

  /** Own calls that a server takes beside each other; so few in flight are no crowd. */
  private static final double ROOM = 4;

  /** Servers in the subset that an instance prefers: enough to lose a few, few enough to know. */
  private static final double SUBSET = 8;

  /**
   * Growth of l outside the subset while there is no evidence; it shrinks as servers become known.
   */
  private static final double OUTSIDE = 60;

  /**
   * Growth of l outside it for each point of price on connections: all to all fills every table.
   */
  private static final double CONNECTION = 200;

  /**
   * Growth of a server's l with the pressure of a class bound there, for those that may go
   * elsewhere.
   */
  private static final double RELIEF = 40;

  /**
   * Share of calls slower than the delay after which a second copy or attempt is worth its work.
   */
  private static final double SLOW_SHARE = 0.05;

  /** Step of the quantile estimate behind that delay, relative to its value. */
  private static final double SLOW_STEP = 0.05;

  /**
   * That delay over the expected latency, at first and within bounds: for even and long-tailed
   * classes.
   */
  private static final double FIRST_SLOW_RATIO = 3;

  private static final double LEAST_SLOW_RATIO = 1.5;
  private static final double MOST_SLOW_RATIO = 10;

  /**
   * Without second copies an attempt that may be repeated is given up after this many such delays.
   */
  private static final double GIVE_UP = 2;

  /** Calls beyond the first that each request earns: bounds retries and copies when all is slow. */
  private static final double EXTRA_PER_REQUEST = 0.1;

  /** Most unused earnings kept, and those granted at start. */
  private static final double EXTRA_SAVED = 3;

  /** Least share of the expected latency that must be left for a send to make sense. */
  private static final double TOO_LATE = 0.25;

  /**
   * Share of its time for which a call of little worth may queue at a server; the dearest may for
   * all.
   */
  private static final double LEAST_QUEUE = 0.5;

  /** Share of the allowed multiple of a cold server's capacity that its send budget uses. */
  private static final double COLD_MARGIN = 0.3;

  /** Ms after which a request that finds no server to go to looks again; well below any aim. */
  private static final double LOOK_AGAIN = 20;

  /**
   * Share of its time for which a request is held that finds no server: the rest is its client's.
   */
  private static final double HOLD_SHARE = 0.45;

  /**
   * Least and, with as much again at random, most wait before the registry is asked again, of
   * askEvery: after one failed call, which leaves the list old, and after several in a row, as each
   * doubles it.
   */
  private static final double ASK_SOON = 0.0125;

  private static final double ASK_AGAIN = 0.1;

  /**
   * The same, of drainGrace, where news is pushed: what the registry has then counts as told
   * whether or not a watch is open, so the next one has to bring it, and be acted on, within that
   * grace.
   */
  private static final double ASK_PUSHED = 0.25;

  /**
   * Most of either in ms, whatever the settings: news counts as told 6 s after the registry had it
   * and could be reached. A call that began just before may hang for another second, and a reply
   * takes time.
   */
  private static final double ASK_AT_LATEST = 1_000;

  /**
   * Calls in a row that a listed server turned away or did not let connect: the list may be old.
   */
  private static final int DOUBTS = 3;

  /**
   * Least time without news after which that is asked about, of askEvery; it doubles while none
   * comes.
   */
  private static final double DOUBT_AFTER = 0.3;

  /**
   * A first-tier call that takes more of its aim than this is a sign of overload; the worth of a
   * late answer is added, since where it is none the warning must come earlier.
   */
  private static final double STRAINED = 0.5;

  /**
   * Change of the share of work refused in a second of signs of overload, and in one of the
   * opposite.
   */
  private static final double PRESSURE_UP = 0.9;

  private static final double PRESSURE_DOWN = 0.22;

  /**
   * The longest time in ms for which one late call stands; how unrefused calls fare fades in as
   * much.
   */
  private static final double LONGEST_GAP = 250;

  private static final double MOST_PRESSURE = 0.95;

  /** How far a call's sign of overload lifts that share above what was refused when it was sent. */
  private static final double PRESSURE_STEP = 0.3;

  /** Share of work refused up to which the end of a call still tells how calls fare unrefused. */
  private static final double MOSTLY_SENT = 0.5;

  /** Share of work that may be refused on signs alone, before it shows how calls fare unrefused. */
  private static final double ON_SIGNS = 0.25;

  private static final int PLAN_STEPS = 10;

  /** The longest wait advised to a refused client, of its aim: it should come back in good time. */
  private static final double RETURN_SHARE = 0.5;

  /** Above this share of work refused nothing is sent in a second copy: it would deepen the jam. */
  private static final double CALM = 0.05;

  /** Least share of the requests that a class is reckoned with; keeps ratios finite. */
  private static final double SEEN_LEAST = 1e-6;

  private static final long WATCH_TOKEN = -1;
  private static final int HOLD_TIMER = 0xff;
  private static final int STRAIN_TIMER = 0x80;

  private final PolicyActions actions;
  private PolicySettings settings;
  private SplittableRandom random;
  private final Map<Long, EndpointStatistics> servers = new LinkedHashMap<>();
  private List<EndpointStatistics> ready = List.of();

  /** How many siblings it takes until each ready server is in one's subset. */
  private int stride = 1;

  private final Map<Long, InFlightRequest> calls = new HashMap<>();

  /**
   * Rule 5: the requests of each key that are not settled; looked up by key only, dropped when
   * empty.
   */
  private final Map<Long, ArrayDeque<InFlightRequest>> lines = new HashMap<>();

  private RequestClassStatistics[] classes;
  private MachineTypeStatistics[] kinds;
  private double extraCalls = EXTRA_SAVED;
  private double coldUntil = Double.NEGATIVE_INFINITY;

  /** When the registry was last heard of or asked, and how long its silence is trusted. */
  private double heardAt;

  private double trust;

  /** Calls to the registry that failed in a row. */
  private int failures;

  /** Whether the last draw left out a server for the calls that it has ahead. */
  private boolean jammed;

  /** Own calls of late for each ready server. */
  private double evidence;

  /** Creates an instance that asks its host for actions through {@code actions}. */
  public LatencyWeightedPolicy(PolicyActions actions) {
    this.actions = actions;
  }

  @Override
  public void start(double now, PolicySettings given, long seed) {
    settings = given;
    random = new SplittableRandom(seed);
    classes = new RequestClassStatistics[given.requestClasses().size()];
    Arrays.setAll(
        classes,
        i ->
            new RequestClassStatistics(
                i,
                given.requestClasses().get(i),
                FIRST_GUESS * given.requestClasses().get(i).latencyObjectiveMillis(),
                FIRST_SLOW_RATIO,
                FLEET_GAIN));
    for (RequestClassStatistics c : classes) {
      c.leader = Arrays.stream(classes).filter(c::sharesPlacement).findFirst().orElse(c);
    }
    kinds = new MachineTypeStatistics[given.machineTypeCount()];
    Arrays.setAll(kinds, i -> new MachineTypeStatistics(FLEET_GAIN));
    heardAt = now;
    trust = DOUBT_AFTER * given.rules().pollIntervalMillis();
    if (given.explicitWatch()) {
      actions.watchEndpoints(true);
    }
  }

  // ---- A request arrives
  // -------------------------------------------------------------------------

  @Override
  public void requestArrived(double now, ClientRequest request) {
    InFlightRequest call = new InFlightRequest(request, classes[request.requestClass()], now);
    calls.put(request.id(), call);
    extraCalls = Math.min(EXTRA_SAVED, extraCalls + EXTRA_PER_REQUEST);
    if (request.costMillis() > 0) {
      call.statistics.cost.add(request.costMillis());
    }
    call.statistics.clientRetryShare.add(request.retry() ? 1 : 0);
    // Where a late answer is worth nothing, the work for it is better spent on others.
    double stretched =
        call.requestClass.latencyObjectiveMillis()
            + call.requestClass.objectivePerCost() * request.costMillis();
    double aim = now + Math.min(call.requestClass.deadlineMillis(), stretched);
    call.usefulUntil =
        call.requestClass.lateResponseValue() > 0
            ? request.deadlineMillis()
            : Math.min(request.deadlineMillis(), aim);
    if (shed(call)) {
      answerUnserved(call, now);
      return;
    }
    earnColdBudget(call, now);
    if (call.requestClass.orderedByKey() && request.key() != 0) {
      call.keyQueue = lines.computeIfAbsent(request.key(), key -> new ArrayDeque<>());
      call.keyQueue.addLast(call);
    }
    dispatch(call, now);
  }

  /**
   * Sends the next attempt. A request that never ran is held while it waits for its turn, or for a
   * server that is ready, open to it and warm enough; it is refused as soon as that cannot end in
   * time, at once where the servers it could go to have more calls of ours than they serve in the
   * time it has.
   */
  private void dispatch(InFlightRequest call, double now) {
    double latest = call.usefulUntil - TOO_LATE * expected(call) - ahead(call);
    double patient =
        Math.min(
            latest, call.arrivedAt + HOLD_SHARE * (call.request.deadlineMillis() - call.arrivedAt));
    call.queuedUntil = patient;
    boolean itsTurn = call.keyQueue == null || call.keyQueue.peekFirst() == call;
    EndpointStatistics server = itsTurn && now < latest ? draw(call, true, now) : null;
    if (server != null) {
      send(call, server, now);
    } else if (now < patient && call.attempts.isEmpty() && !(itsTurn && jammed)) {
      double again = itsTurn ? Math.min(patient, now + LOOK_AGAIN) : patient;
      actions.scheduleTimer(call.id << 8 | HOLD_TIMER, again);
    } else {
      answerUnserved(call, now);
    }
  }

  /**
   * A request that is held looks for a server again. What kept one from all servers keeps its whole
   * class from them, so one look stands for all of it: where hundreds are held, as when every
   * server has just started, their draws would else take most of the processor's time, and answers
   * would come too late.
   */
  private void lookAgain(InFlightRequest call, double now) {
    RequestClassStatistics held = call.statistics;
    if (now < Math.min(held.nextSelectionAt, call.queuedUntil)) {
      actions.scheduleTimer(
          call.id << 8 | HOLD_TIMER, Math.min(held.nextSelectionAt, call.queuedUntil));
      return;
    }
    dispatch(call, now);
    if (!call.done && call.attempts.isEmpty()) {
      held.nextSelectionAt = now + LOOK_AGAIN;
    }
  }

  /** Rule 5: the time that the requests before it in its line are expected to take. */
  private static double ahead(InFlightRequest call) {
    return call.keyQueue == null
        ? 0
        : call.keyQueue.stream()
            .takeWhile(other -> other != call)
            .mapToDouble(LatencyWeightedPolicy::expected)
            .sum();
  }

  /**
   * Rule 5: a request leaves its line once it is over, no attempt is out and none that was given up
   * may still be running; then the next one goes. One that leaves before its turn moves nobody.
   */
  private void leaveLine(InFlightRequest call, double now) {
    boolean first = call.keyQueue.peekFirst() == call;
    call.keyQueue.remove(call);
    if (call.keyQueue.isEmpty()) {
      lines.remove(call.request.key());
    } else if (first) {
      dispatch(call.keyQueue.peekFirst(), now);
    }
  }

  // ---- Overload: when every l rises together, weights say nothing
  // ---------------------------------

  /**
   * Under overload all would be late, so a part of the work is refused before any is spent on it:
   * only where clients arrive, since further down a refusal wastes what was done above.
   */
  private boolean shed(InFlightRequest call) {
    for (RequestClassStatistics c : classes) {
      c.share += FLEET_GAIN * ((c == call.statistics ? 1 : 0) - c.share);
    }
    if (call.statistics.leader.overloadLevel == 0) {
      return false;
    }
    planShedding(call.statistics.leader);
    return random.nextDouble() < refusalChance(call);
  }

  /**
   * The chance that a request is refused, which over all requests of its class makes the part to
   * refuse. Marked retries go first: their client has waited before, so that less is left of its
   * aim than there seems to be, and a first try that is served brings no retry.
   */
  private static double refusalChance(InFlightRequest call) {
    RequestClassStatistics c = call.statistics;
    double retries = c.clientRetryShare.value();
    double chanceOfRetry = Math.min(1, c.rejectedShare / Math.max(SEEN_LEAST, retries));
    if (call.request.retry()) {
      return chanceOfRetry;
    }
    return (c.rejectedShare - retries * chanceOfRetry) / Math.max(SEEN_LEAST, 1 - retries);
  }

  /**
   * How much of each class to refuse so that the pressure's share of their work goes, at least
   * loss: the cheapest worth per work first, but no class more than pays: the worst one counts by
   * itself too. Classes of one placement share their pressure: what is bound to crowded servers is
   * shed alone.
   */
  private void planShedding(RequestClassStatistics leader) {
    RequestClassStatistics[] cheapestFirst =
        Arrays.stream(classes)
            .filter(c -> c.leader == leader)
            .sorted(Comparator.comparingDouble(c -> worth(c) / work(c)))
            .toArray(RequestClassStatistics[]::new);
    double allWork = Arrays.stream(cheapestFirst).mapToDouble(this::work).sum();
    double allWorth = Arrays.stream(cheapestFirst).mapToDouble(this::worth).sum();
    double forWorst = settings.worstClassWeight();
    double[] parts = new double[cheapestFirst.length];
    double least = Double.MAX_VALUE;
    for (int step = 1; step <= PLAN_STEPS; step++) {
      double most = (double) step / PLAN_STEPS;
      double left = refused(leader) * allWork;
      double loss = forWorst * most;
      for (int i = 0; i < parts.length; i++) {
        parts[i] = Math.min(most, left / work(cheapestFirst[i]));
        left -= parts[i] * work(cheapestFirst[i]);
        loss += (1 - forWorst) * parts[i] * worth(cheapestFirst[i]) / allWorth;
      }
      if (left < allWork / 1_000 && loss < least) {
        least = loss;
        for (int i = 0; i < parts.length; i++) {
          cheapestFirst[i].rejectedShare = parts[i];
        }
      }
    }
  }

  /** A class's part of the work asked for; hints tell it best, else served latencies. */
  private double work(RequestClassStatistics c) {
    return (c.share + SEEN_LEAST) * (c.cost.value() > 0 ? c.cost.value() : c.latency.value());
  }

  private double worth(RequestClassStatistics c) {
    return c.type.priorityWeight() * (settings.priorityByWork() ? work(c) : c.share + SEEN_LEAST);
  }

  // ---- The draw
  // ----------------------------------------------------------------------------------

  /**
   * A ready server at random in proportion to 1/l, or null if none may be used; one that the
   * request has tried only when all have been tried and nothing is out. Cold servers have their
   * part by turns.
   */
  private EndpointStatistics draw(InFlightRequest call, boolean untried, double now) {
    jammed = false;
    double longestQueue = longestQueue(call, now);
    double tries = 0;
    for (EndpointStatistics server : ready) {
      tries += server.attempts;
      boolean usable = mayGoTo(call, server, now) && !(untried && call.attempted(server));
      boolean queued = usable && crowding(server, call) > longestQueue;
      jammed |= queued;
      server.weight = usable && !queued ? 1 / cost(server, call, now) : 0;
    }
    evidence = tries / Math.max(1, ready.size());
    EndpointStatistics drawn = now < coldUntil ? drawCold(now) : null;
    double total = ready.stream().mapToDouble(server -> server.weight).sum();
    double point = drawn == null ? random.nextDouble() * total : -1;
    for (EndpointStatistics server : ready) {
      if (server.weight > 0 && point >= 0) {
        drawn = server;
        point -= server.weight;
      }
    }
    return drawn == null && untried && call.running == 0 ? draw(call, false, now) : drawn;
  }

  /** The server's l for this request. */
  private double cost(EndpointStatistics server, InFlightRequest call, double now) {
    server.decay(now, EVIDENCE_FADE, FADE_STEP);
    double l = server.relativeLatency(BASE_POOL) * call.statistics.latency.value();
    double success = server.success(call.statistics.index, SUCCESS_POOL, CLASS_POOL);
    l += call.requestClass.latencyObjectiveMillis() * (1 / Math.max(SUCCESS_FLOOR, success) - 1);
    // Where to leave a zone is dear, a sick server at home would else keep the calls that it loses:
    // it
    // fails them at once, so none are in flight there, while those that serve seem busy. A failure
    // or
    // two, which may befall any server, is not yet worth a crossing.
    l *=
        1
            + crossing()
                * Math.min(MOST_LEAVING, Math.pow((1 - success) / WORTH_LEAVING, CROWD_POWER));
    l *= 1 + IN_FLIGHT * server.inFlight.size();
    if (!server.inFlight.isEmpty()) {
      Attempt oldest = server.inFlight.peekFirst();
      l += OVERDUE_WEIGHT * Math.max(0, now - oldest.sentAt - slowAfter(oldest.request));
    }
    l *=
        1
            + crossing()
                * Math.pow(
                    crowding(server, call) / call.requestClass.latencyObjectiveMillis(),
                    CROWD_POWER);
    if (server.endpoint.zone() != settings.zone()) {
      l *= 1 + crossing();
    }
    if (!server.inSubset) {
      l *=
          1
              + OUTSIDE / Math.pow(1 + evidence, 2)
              + CONNECTION * (settings.costs().connectionCost() + settings.costs().handshakeCost());
    }
    // Weights even out latencies, yet only those who are free can make room for those who are
    // bound.
    for (RequestClassStatistics c : classes) {
      if (c.leader == c
          && c != call.statistics.leader
          && c.hasPlacement()
          && c.type.allows(server.endpoint)) {
        l *= 1 + RELIEF * (CALM / 2 + c.overloadLevel);
      }
    }
    return l / warmth(server, now);
  }

  /**
   * The latency to expect behind the calls in flight there, by Little's law: served latencies and
   * the calls in flight when they were sent tell at what rate the server works. The price of
   * crossing keeps calls at home even where they queue until they are late, while other zones stand
   * idle and clients are refused. That shows here as soon as the calls gather, before any comes
   * back late, and is over as soon as they are gone, whatever made the server slow: a burst, a
   * pause, a sick core. Does harm where one call is worth less than a crossing, or where a server
   * got faster and its record tells of a jam.
   */
  private static double crowding(EndpointStatistics server, InFlightRequest call) {
    double each =
        server.relativeLatency(BASE_POOL)
            * expected(call)
            / (1 + Math.max(ROOM, server.concurrency(BASE_POOL)));
    return each * (1 + server.inFlight.size());
  }

  /**
   * The time that a call may be expected to take behind those in flight at its server. When servers
   * leave, those that stay would else be sent all calls until the first are overdue, and work on
   * for nobody. Dear calls find room where cheap ones don't. Only where clients arrive: further
   * down a refusal wastes what was done above.
   */
  private double longestQueue(InFlightRequest call, double now) {
    if (settings.tier() > 0) {
      return Double.MAX_VALUE;
    }
    double dearest = 0;
    for (RequestClassStatistics c : classes) {
      dearest = Math.max(dearest, worth(c) / work(c));
    }
    double part = worth(call.statistics) / work(call.statistics) / dearest;
    return (LEAST_QUEUE + (1 - LEAST_QUEUE) * part) * (call.usefulUntil - now);
  }

  private double crossing() {
    return CROSSING * Math.sqrt(settings.costs().crossZoneCost());
  }

  /**
   * Rules 6 and 2: placement; an attempt that may have run ties a request to its group, or ends it.
   */
  private boolean mayGoTo(InFlightRequest call, EndpointStatistics server, double now) {
    LimitSettings limits = settings.limits();
    if (call.attempts.size() >= limits.maxAttempts()
        || (call.running > 0 && !limits.parallelAttempts())
        || !call.requestClass.allows(server.endpoint)) {
      return false;
    }
    Attempt first = call.firstMaybeRun();
    RequestClass c = call.requestClass;
    if (first == null || c.idempotency() == Idempotency.IDEMPOTENT) {
      return true;
    }
    Endpoint from = first.endpoint.endpoint;
    Endpoint to = server.endpoint;
    // It may wait for its connection until that fails, and is a second effect from the window's end
    // on.
    return c.idempotency() == Idempotency.DEDUPLICATED
        && now + limits.connectTimeoutMillis() < first.sentAt + c.deduplicationWindowMillis()
        && (c.deduplicationScope() == DeduplicationScope.ALL
            || (c.deduplicationScope() == DeduplicationScope.ZONE
                ? from.zone() == to.zone()
                : from.deduplicationGroup() == to.deduplicationGroup()));
  }

  // ---- Rule 4: servers that have just started
  // ----------------------------------------------------

  /**
   * The share of its capacity that a server can be trusted to have: an even ramp over the warm-up.
   */
  private double warmth(EndpointStatistics server, double now) {
    double age = now - server.endpoint.startedAtMillis();
    if (server.endpoint.startedAtMillis() == 0 || age >= settings.rules().warmUpMillis()) {
      return 1;
    }
    double from = settings.rules().initialCapacity();
    return from + (1 - from) * Math.max(0, age) / settings.rules().warmUpMillis();
  }

  /**
   * Every request earns the cold servers open to it a part of a call: their warmth's share of the
   * traffic times what the rule allows, less a margin. Shares need no history and add up over
   * siblings that do alike. Counting requests, not sends, lets a fleet that is cold as a whole
   * begin; the half that is taken as warm at least keeps it from being pushed over. Nothing is
   * saved up: what many instances have saved would reach a server at once when the others fail. An
   * instance's calls go mostly to its subset, so it earns more there and less elsewhere, where it
   * would lapse; over all siblings that is the same. It moves half, as one of them may have several
   * times the mean traffic, and less where less is warm.
   */
  private void earnColdBudget(InFlightRequest call, double now) {
    if (now >= coldUntil) {
      return;
    }
    List<EndpointStatistics> open =
        ready.stream().filter(server -> call.requestClass.allows(server.endpoint)).toList();
    double warm = open.stream().mapToDouble(server -> warmth(server, now)).sum();
    double part =
        Math.min(1, COLD_MARGIN * settings.rules().collapseMultiple())
            / Math.max(warm, open.size() / 2.0);
    double inside = 1 + (Math.min(stride, settings.instanceCount()) - 1) / 2.0 * warm / open.size();
    double outside = (stride - inside) / Math.max(1, stride - 1);
    open.forEach(
        server ->
            server.warmUpBudget =
                part * warmth(server, now) * (server.inSubset ? inside : outside));
  }

  /**
   * The cold servers' part of a draw: each has its chance in proportion to 1/l, or what it has
   * earned where that is less, and the others then share the rest. The chances of its draws add up,
   * and it is its turn, here returned, when they make a whole call (systematic sampling). So an
   * instance that sees few requests gives it as much of each as one that sees many: what it gets
   * goes by the traffic of all and not by how many carry it, and each sends at most one call beyond
   * what its own have earned.
   */
  private EndpointStatistics drawCold(double now) {
    List<EndpointStatistics> cold = new ArrayList<>(ready);
    cold.removeIf(server -> server.weight == 0 || warmth(server, now) >= 1);
    double left = 1;
    double perWeight;
    boolean bounded;
    do {
      perWeight = left / ready.stream().mapToDouble(server -> server.weight).sum();
      bounded = false;
      for (EndpointStatistics server : cold) {
        if (server.warmUpBudget < perWeight * server.weight) {
          left = Math.max(0, left - server.warmUpBudget);
          server.spendWarmUpChance(server.warmUpBudget);
          bounded = true;
        }
      }
    } while (bounded);
    for (EndpointStatistics server : cold) {
      server.spendWarmUpChance(server.weight > 0 ? perWeight * server.weight : 0);
    }
    EndpointStatistics due =
        cold.stream()
            .filter(server -> server.accumulatedChance >= 1)
            .max(Comparator.comparingDouble(server -> server.accumulatedChance))
            .orElse(null);
    if (due != null) {
      due.accumulatedChance -= 1;
    }
    return due;
  }

  // ---- The send
  // ----------------------------------------------------------------------------------

  private void send(InFlightRequest call, EndpointStatistics server, double now) {
    Attempt attempt = new Attempt(call, server, now, refused(call.statistics.leader));
    double timeout = call.usefulUntil - now;
    double slowAfter = slowAfter(call);
    boolean repeatable =
        call.requestClass.idempotency() != Idempotency.AT_MOST_ONCE
            && !call.requestClass.streamed();
    if (repeatable
        && settings.limits().parallelAttempts()
        && slowAfter + expected(call) < timeout) {
      actions.scheduleTimer(call.id << 8 | attempt.number, now + slowAfter);
    } else if (repeatable && extraCalls >= 1 && GIVE_UP * slowAfter + expected(call) < timeout) {
      timeout = GIVE_UP * slowAfter;
    }
    call.attempts.add(attempt);
    call.running++;
    server.inFlight.addLast(attempt);
    if (settings.tier() == 0) {
      actions.scheduleTimer(
          call.id << 8 | STRAIN_TIMER | attempt.number, now + strainedAfter(call));
    }
    actions.sendAttempt(call.id, server.endpoint.id(), timeout);
  }

  /** A call is slower than nearly all: a second copy elsewhere, if the budget has one. */
  @Override
  public void timerExpired(double now, long token) {
    if (token == WATCH_TOKEN) {
      actions.watchEndpoints(true);
      return;
    }
    InFlightRequest call = calls.get(token >>> 8);
    int number = (int) (token & 0xff);
    if (call == null) {
      return;
    }
    if (call.done) {
      forgetIfSettled(call, now);
    } else if (number == HOLD_TIMER && call.attempts.isEmpty()) {
      lookAgain(call, now);
    } else if (number >= STRAIN_TIMER && number < HOLD_TIMER) {
      // Overload is felt when a call becomes overdue: by the time it ends, a crowd has gathered.
      Attempt attempt = call.attempts.get(number - STRAIN_TIMER);
      if (attempt.outcome == null && !attempt.streaming) {
        attempt.reportedLate = true;
        seeUnrefused(attempt, false, now);
        feelPressure(attempt, false, now);
      }
    } else if (!call.streaming
        && call.attempts.size() == number + 1
        && call.attempts.get(number).outcome == null
        && extraCalls >= 1
        && call.statistics.leader.overloadLevel < CALM
        && call.usefulUntil - now > expected(call)) {
      EndpointStatistics server = draw(call, true, now);
      if (server != null) {
        extraCalls -= 1;
        send(call, server, now);
      }
    }
  }

  // ---- The outcome
  // -------------------------------------------------------------------------------

  @Override
  public void attemptFinished(double now, AttemptResult outcome) {
    InFlightRequest call = calls.get(outcome.requestId());
    if (call == null
        || outcome.attempt() >= call.attempts.size()
        || call.attempts.get(outcome.attempt()).outcome != null) {
      return;
    }
    Attempt attempt = call.attempts.get(outcome.attempt());
    attempt.outcome = outcome.outcome();
    attempt.endpoint.inFlight.remove(attempt);
    call.running--;
    if (outcome.outcome() == AttemptOutcome.TIMEOUT
        || outcome.outcome() == AttemptOutcome.RESET
        || outcome.outcome() == AttemptOutcome.CANCELLED) {
      call.settlesAt = now + settings.rules().keySettleMillis();
    }
    learn(attempt, outcome, now);
    boolean inGoodTime = outcome.elapsedMillis() < strainedAfter(call);
    if (settings.tier() == 0 && outcome.outcome() != AttemptOutcome.CANCELLED) {
      seeUnrefused(attempt, outcome.outcome() == AttemptOutcome.OK, now);
    }
    // What breaks at once tells of a sick server: to refuse others would not help.
    boolean sick =
        inGoodTime
            && (outcome.outcome() == AttemptOutcome.ERROR
                || outcome.outcome() == AttemptOutcome.RESET
                || outcome.outcome() == AttemptOutcome.CONNECT_FAILED);
    if (settings.tier() == 0
        && !attempt.reportedLate
        && outcome.outcome() != AttemptOutcome.CANCELLED
        && !sick) {
      feelPressure(attempt, outcome.outcome() == AttemptOutcome.OK && inGoodTime, now);
    }
    if (outcome.outcome() == AttemptOutcome.OK && attempt.number > 0) {
      // It served where another did not: sick servers, not a jam, and worth as many again.
      extraCalls = Math.min(EXTRA_SAVED, extraCalls + 1);
    }
    freeConnection(attempt.endpoint, outcome.outcome(), now);
    doubtList(attempt.endpoint, outcome.outcome(), now);
    if (outcome.requestClosed() || call.done) {
      over(call, now);
    } else if (call.running == 0) {
      tryAgain(call, outcome.outcome(), now);
    }
  }

  /**
   * Idle connections of many balancers fill a server's table, and it turns callers away though it
   * has time to spare. Whoever meets a full table gives back what it does not use there, as long as
   * idle ones last. Elsewhere connections stay: a failed connect may as well mean that a server is
   * down.
   */
  private void freeConnection(EndpointStatistics server, AttemptOutcome result, double now) {
    if (result == AttemptOutcome.CONNECT_FAILED) {
      server.connectionsFullUntil = now + settings.limits().idleTimeoutMillis();
    }
    if (now < server.connectionsFullUntil && server.inFlight.isEmpty()) {
      actions.closeIdleConnections(server.endpoint.id());
    }
  }

  /**
   * A watch may be dead without a sign, its registry restarted or cut off, and what is listed as
   * ready be long gone or draining. That shows in servers that take nothing: then the watch is
   * begun anew, which brings what was missed. Guards against any silent loss of news; a server that
   * crashed unnoticed looks the same, so the questions grow rare while no news comes, lest a whole
   * fleet's flood the registry.
   */
  private void doubtList(EndpointStatistics server, AttemptOutcome result, double now) {
    if (result == AttemptOutcome.FULL || result == AttemptOutcome.CONNECT_FAILED) {
      server.consecutiveRejections += 1;
    } else if (result == AttemptOutcome.OK) {
      server.consecutiveRejections = 0;
    }
    if (settings.explicitWatch()
        && server.consecutiveRejections >= DOUBTS
        && server.endpoint.state() == EndpointState.READY
        && now - heardAt >= trust) {
      heardAt = now;
      trust *= 2;
      actions.watchEndpoints(true);
    }
  }

  /**
   * Another attempt if rule, time and budget allow; otherwise the final answer. What never reached
   * a server cost it no work, so it is not charged to the budget, which is there for the time when
   * all is slow.
   */
  private void tryAgain(InFlightRequest call, AttemptOutcome result, double now) {
    boolean charged = result != AttemptOutcome.CONNECT_FAILED;
    if (result == AttemptOutcome.NOT_SENT || (charged && extraCalls < 1)) {
      answerUnserved(call, now);
    } else {
      extraCalls -= charged ? 1 : 0;
      dispatch(call, now);
    }
  }

  /** Rule 1's one final answer: a refusal only where trying again is known to be harmless. */
  private void answerUnserved(InFlightRequest call, double now) {
    RequestClass c = call.requestClass;
    boolean harmless =
        c.idempotency() == Idempotency.IDEMPOTENT
            || call.firstMaybeRun() == null
            || (c.idempotency() == Idempotency.DEDUPLICATED
                && c.deduplicationScope() == DeduplicationScope.ALL);
    if (harmless) {
      actions.reject(call.id, settings.limits().retryAfterAdvice() ? comeBackAfter(call) : 0);
    } else {
      actions.failRequest(call.id);
    }
    over(call, now);
  }

  /**
   * When a refused client ought to return: the later, the more has to go before there is room for
   * it.
   */
  private double comeBackAfter(InFlightRequest call) {
    double longest =
        Math.min(
            settings.limits().maxRetryAfterMillis(),
            RETURN_SHARE * call.requestClass.latencyObjectiveMillis());
    return Math.min(longest, LOOK_AGAIN + longest * call.statistics.leader.overloadLevel);
  }

  /** The request has its answer: copies still out only waste work. */
  private void over(InFlightRequest call, double now) {
    for (Attempt attempt : call.attempts) {
      if (!call.done
          && attempt.outcome == null
          && !attempt.streaming
          && settings.limits().cancellation()) {
        actions.cancelAttempt(call.id, attempt.number);
      }
    }
    call.done = true;
    forgetIfSettled(call, now);
  }

  private void forgetIfSettled(InFlightRequest call, double now) {
    if (call.running > 0) {
      return;
    }
    if (call.keyQueue != null && now < call.settlesAt) {
      actions.scheduleTimer(call.id << 8 | HOLD_TIMER, call.settlesAt);
    } else if (calls.remove(call.id) != null && call.keyQueue != null) {
      leaveLine(call, now);
    }
  }

  @Override
  public void responseStarted(double now, long requestId, int attempt, double elapsed) {
    InFlightRequest call = calls.get(requestId);
    if (call != null && attempt < call.attempts.size()) {
      call.streaming = true;
      call.attempts.get(attempt).streaming = true;
      observeLatency(call.attempts.get(attempt), elapsed);
    }
  }

  @Override
  public void clientDisconnected(double now, long requestId) {
    InFlightRequest call = calls.get(requestId);
    if (call != null) {
      over(call, now);
    }
  }

  // ---- The evidence behind l
  // ---------------------------------------------------------------------

  /**
   * Served calls succeed; errors, full, time-outs, failed and reset connections count against s.
   */
  private void learn(Attempt attempt, AttemptResult outcome, double now) {
    EndpointStatistics server = attempt.endpoint;
    AttemptOutcome result = outcome.outcome();
    // The copy that lost is evidence only when overdue, and then the same as a time-out.
    boolean tooEarly =
        result == AttemptOutcome.CANCELLED && outcome.elapsedMillis() <= slowAfter(attempt.request);
    if (result == AttemptOutcome.NOT_SENT || tooEarly) {
      return;
    }
    server.decay(now, EVIDENCE_FADE, FADE_STEP);
    server.recordOutcome(attempt.request.statistics.index, result == AttemptOutcome.OK);
    if (result == AttemptOutcome.OK) {
      if (!attempt.streaming) {
        observeLatency(attempt, outcome.elapsedMillis());
      }
    } else if (result == AttemptOutcome.CANCELLED || result == AttemptOutcome.TIMEOUT) {
      observeRatio(attempt.request.statistics, Double.MAX_VALUE);
    }
  }

  private static double strainedAfter(InFlightRequest call) {
    return (STRAINED + call.requestClass.lateResponseValue())
        * call.requestClass.latencyObjectiveMillis()
        * Math.max(1, call.relativeCost());
  }

  /**
   * How calls fare while less than half is refused. One that is overdue counts as late until it is
   * served; each stands for the time since the one before.
   */
  private static void seeUnrefused(Attempt attempt, boolean served, double now) {
    RequestClassStatistics leader = attempt.request.statistics.leader;
    if (attempt.overloadLevelAtSend < MOSTLY_SENT) {
      double kept = Math.exp((leader.servedWhileAdmittingAt - now) / LONGEST_GAP);
      leader.servedWhileAdmitting = kept * leader.servedWhileAdmitting + (served ? 1 - kept : 0);
      leader.servedWhileAdmittingAt = now;
    }
  }

  /**
   * The share of work to refuse: the pressure, up to what can pay. What is refused is lost for
   * sure, so that has to save more calls than it costs. In a jam hardly a call comes in time; but
   * where calls are late for a reason of their own, such as work that takes half of its aim or
   * connections that come up late, refusing one makes no other faster, and those that would have
   * been served are all lost.
   */
  private static double refused(RequestClassStatistics leader) {
    double lateBeyondServed = 1 - 2 * leader.servedWhileAdmitting;
    return Math.min(leader.overloadLevel, Math.max(ON_SIGNS, lateBeyondServed));
  }

  /**
   * Each sign stands for the time since the one before: the level moves as fast where traffic is
   * thin, or where so much is refused that few outcomes come, and does not outlast its cause. That
   * time is bounded for late calls alone: whoever refuses nearly all hears too little to come down
   * in short steps, and would go on long after its siblings have found the tier well. A late call
   * tells of overload only while most calls are late: a server that hangs is no reason to refuse
   * what others serve. A call that is late was sent some time ago, and can't tell whether what has
   * been refused since is enough: by itself its sign lifts the level only so far above that of its
   * send, or nearly all would be refused for a jam that is over by the time its last calls end.
   */
  private void feelPressure(Attempt attempt, boolean fine, double now) {
    RequestClassStatistics leader = attempt.request.statistics.leader;
    attempt.endpoint.late = !fine;
    attempt.endpoint.lateAt = now;
    if (!fine && !mostAreLate(leader, now)) {
      return;
    }
    double seconds =
        Math.min(fine ? Double.MAX_VALUE : LONGEST_GAP, now - leader.overloadUpdatedAt) / 1_000;
    leader.overloadUpdatedAt = now;
    if (fine) {
      leader.overloadLevel = Math.max(0, leader.overloadLevel - PRESSURE_DOWN * seconds);
    } else {
      double most = Math.min(MOST_PRESSURE, attempt.overloadLevelAtSend + PRESSURE_STEP);
      leader.overloadLevel =
          Math.max(
              leader.overloadLevel, Math.min(most, leader.overloadLevel + PRESSURE_UP * seconds));
    }
  }

  /** Whether the servers open to a class that have most of the calls of late were late at last. */
  private boolean mostAreLate(RequestClassStatistics c, double now) {
    double balance = 0;
    for (EndpointStatistics server : ready) {
      if (c.type.allows(server.endpoint) && now - server.lateAt < EVIDENCE_FADE) {
        double own = server.attempts + server.inFlight.size();
        balance += server.late ? own : -own;
      }
    }
    return balance > 0;
  }

  private void observeLatency(Attempt attempt, double elapsed) {
    InFlightRequest call = attempt.request;
    EndpointStatistics server = attempt.endpoint;
    double perHint = Math.max(LEAST_LATENCY, elapsed) / hintFactor(call);
    double relative = perHint / call.statistics.latency.value();
    observeRatio(call.statistics, relative);
    call.statistics.latency.add(perHint / server.relativeLatency(BASE_POOL));
    server.latencySum += relative;
    server.latencyCount += 1;
    server.concurrencySum += attempt.concurrencyAtSend;
    server.machineType.latency.add(relative);
  }

  /**
   * Moves the estimate of the latency over the expected one that only SLOW_SHARE of calls exceed.
   */
  private static void observeRatio(RequestClassStatistics c, double ratio) {
    double slow =
        c.slowRatio * (1 + SLOW_STEP * (ratio > c.slowRatio ? 1 - SLOW_SHARE : -SLOW_SHARE));
    c.slowRatio = Math.min(MOST_SLOW_RATIO, Math.max(LEAST_SLOW_RATIO, slow));
  }

  private static double hintFactor(InFlightRequest call) {
    return 1 - HINT_SHARE + HINT_SHARE * call.relativeCost();
  }

  private static double expected(InFlightRequest call) {
    return call.statistics.latency.value() * hintFactor(call);
  }

  private static double slowAfter(InFlightRequest call) {
    return expected(call) * call.statistics.slowRatio;
  }

  // ---- The list of servers
  // -----------------------------------------------------------------------

  @Override
  public void endpointsChanged(double now, EndpointUpdateType change, List<Endpoint> upstreams) {
    heardAt = now;
    if (!upstreams.isEmpty()) {
      trust = DOUBT_AFTER * settings.rules().pollIntervalMillis();
    }
    if (change == EndpointUpdateType.FAILED) {
      double wait =
          Math.min(ASK_AGAIN, ASK_SOON * Math.pow(2, failures))
              * settings.rules().pollIntervalMillis();
      if (!settings.explicitWatch()) {
        wait = Math.min(wait, ASK_PUSHED * settings.rules().drainGraceMillis());
      }
      wait = Math.min(wait, ASK_AT_LATEST);
      failures++;
      actions.scheduleTimer(WATCH_TOKEN, now + wait * (1 + random.nextDouble()));
      return;
    }
    failures = 0;
    Map<Long, EndpointStatistics> before = new LinkedHashMap<>(servers);
    if (change != EndpointUpdateType.DELTA) {
      servers.clear();
    }
    for (Endpoint upstream : upstreams) {
      EndpointStatistics known = before.get(upstream.id());
      if (upstream.state() == EndpointState.REMOVED) {
        servers.remove(upstream.id());
      } else if (known == null || known.endpoint.startedAtMillis() != upstream.startedAtMillis()) {
        // A restart is a new server: cold, with a clean record.
        MachineTypeStatistics kind = kinds[Math.min(upstream.machineType(), kinds.length - 1)];
        // Siblings begin to add up its chances at even distances: no more turns at once than must
        // be.
        double first =
            new SplittableRandom(upstream.id()).nextDouble()
                + (double) settings.instanceIndex() / Math.max(1, settings.instanceCount());
        servers.put(
            upstream.id(), new EndpointStatistics(upstream, kind, classes.length, now, first % 1));
        if (upstream.startedAtMillis() != 0) {
          coldUntil =
              Math.max(coldUntil, upstream.startedAtMillis() + settings.rules().warmUpMillis());
        }
      } else {
        known.endpoint = upstream;
        servers.put(upstream.id(), known);
      }
    }
    // Rule 3: only ready servers are ever drawn; what drains or is gone leaves at once.
    ready =
        servers.values().stream().filter(s -> s.endpoint.state() == EndpointState.READY).toList();
    chooseSubset();
  }

  /**
   * Every so many-th server in an order by zone and machine type, each sibling beginning at its own
   * place: a subset is a small picture of the fleet, and every server is in as many subsets as the
   * others. Each round of siblings shuffles anew, so that no two servers share all their callers.
   */
  private void chooseSubset() {
    stride = (int) Math.max(1, ready.size() / SUBSET);
    long round = settings.instanceIndex() / stride;
    List<EndpointStatistics> ordered = new ArrayList<>(ready);
    ordered.forEach(
        server ->
            server.weight = new SplittableRandom(server.endpoint.id() * 31 + round).nextDouble());
    ordered.sort(
        Comparator.<EndpointStatistics>comparingInt(server -> server.endpoint.zone())
            .thenComparingInt(server -> server.endpoint.machineType())
            .thenComparingDouble(server -> server.weight));
    for (int i = 0; i < ordered.size(); i++) {
      ordered.get(i).inSubset = (i + settings.instanceIndex()) % stride == 0;
    }
  }
}
