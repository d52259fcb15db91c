package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import loadbalancer.model.AttemptOutcome;
import loadbalancer.model.EndpointUpdateType;
import loadbalancer.model.RuleSettings;
import org.junit.jupiter.api.Test;

/**
 * Simulates slow start in many instances that share one stream of requests. Each instance sees only
 * its part of the traffic. The warming endpoints must neither collapse under the attempts of all
 * instances together nor stay idle because each instance sends them too little. Uses virtual time
 * and fixed seeds.
 */
class SlowStartTest {

  private static final int[] INSTANCE_COUNTS = {1, 5, 20, 30, 60};

  /** Capacity of a warm endpoint, in requests per second. */
  private static final double CAPACITY_PER_SECOND = 20;

  /** Time to the response of an endpoint without queued requests. */
  private static final double SERVICE_MILLIS = 20;

  /** The time at which a {@link PolicyHarness} and each run starts. */
  private static final double START_MILLIS = 100_000;

  private static final RuleSettings RULES = TestSettings.settings().build().rules();

  /** A warming endpoint collapses if it gets too many requests within a window of this length. */
  private static final double COLLAPSE_WINDOW_MILLIS = 1_500;

  /**
   * The parameters of a run. By default all instances get equal parts of the stream, and the
   * request rate equals the capacity of the endpoints once all are warm.
   */
  private static final class Scenario {
    int instances = 1;
    int endpoints = 10;

    /** The number of endpoints that start with the run; the others are warm. */
    int warmingEndpoints = 1;

    double connectionCost;

    /** Whether the first instance gets five times as many requests as each other one. */
    boolean uneven;

    /** Request rate relative to the capacity of the endpoints once all are warm. */
    double load = 1;

    /** Factor of the request rate during the burst. */
    double burstFactor = 1;

    double lengthMillis = 6_000;

    /** The time since the start from which on the warm endpoints respond with errors. */
    double failingFromMillis = Double.MAX_VALUE;

    Scenario instances(int value) {
      instances = value;
      return this;
    }

    Scenario endpoints(int value) {
      endpoints = value;
      return this;
    }

    /** Sets the cost of connections; a higher one makes an instance prefer its subset more. */
    Scenario connectionCost(double value) {
      connectionCost = value;
      return this;
    }

    Scenario warmingEndpoints(int value) {
      warmingEndpoints = value;
      return this;
    }

    Scenario uneven(boolean value) {
      uneven = value;
      return this;
    }

    Scenario load(double value) {
      load = value;
      return this;
    }

    Scenario burstFactor(double value) {
      burstFactor = value;
      return this;
    }

    Scenario lengthMillis(double value) {
      lengthMillis = value;
      return this;
    }

    Scenario failingFromMillis(double value) {
      failingFromMillis = value;
      return this;
    }

    @Override
    public String toString() {
      return warmingEndpoints
          + " of "
          + endpoints
          + " endpoints warming, "
          + instances
          + (uneven ? " instances with uneven" : " instances with even")
          + " traffic, load "
          + load
          + ", burst factor "
          + burstFactor
          + ", ms until the warm endpoints fail "
          + failingFromMillis;
    }
  }

  /** A response that is due; the order decides between responses at the same time. */
  private record DueResponse(
      double atMillis, long order, PolicyHarness harness, PolicyHarness.SentAttempt sent) {}

  /**
   * One run of a scenario. An endpoint serves requests at its warm-up fraction of the full capacity
   * and queues the rest.
   */
  private static final class Simulation {
    private final Scenario scenario;
    private final SplittableRandom random;
    private final PolicyHarness[] harnesses;

    /** For each instance, how many of its attempts have been delivered to the endpoints. */
    private final int[] deliveredAttempts;

    /** When each endpoint can start its next request. */
    private final double[] nextStartMillis;

    private final PriorityQueue<DueResponse> dueResponses =
        new PriorityQueue<>(
            Comparator.comparingDouble(DueResponse::atMillis)
                .thenComparingLong(DueResponse::order));
    private long nextResponseOrder;

    /** For each endpoint, the times at which it was sent attempts, in order. */
    final List<List<Double>> sendTimesMillis = new ArrayList<>();

    Simulation(Scenario scenario, long seed) {
      this.scenario = scenario;
      random = new SplittableRandom(seed);
      harnesses = new PolicyHarness[scenario.instances];
      deliveredAttempts = new int[scenario.instances];
      nextStartMillis = new double[scenario.endpoints];
      TestSettings.EndpointBuilder[] list = new TestSettings.EndpointBuilder[scenario.endpoints];
      for (int i = 0; i < scenario.endpoints; i++) {
        sendTimesMillis.add(new ArrayList<>());
        list[i] =
            TestSettings.endpoint(seed * scenario.endpoints + i)
                .startedAt(i < scenario.warmingEndpoints ? START_MILLIS : 0);
      }
      for (int i = 0; i < scenario.instances; i++) {
        harnesses[i] =
            new PolicyHarness(
                TestSettings.settings()
                    .tier(1)
                    .instanceCount(scenario.instances)
                    .instanceIndex(i)
                    .connectionCost(scenario.connectionCost)
                    .build(),
                random.nextLong());
        harnesses[i].updateEndpoints(EndpointUpdateType.CACHED, list);
      }
      run();
    }

    private void run() {
      long requestId = 0;
      double now = START_MILLIS;
      while (now < START_MILLIS + scenario.lengthMillis) {
        // The burst takes the second half of the first window, in which the capacity of a warming
        // endpoint is lowest.
        double elapsedMillis = now - START_MILLIS;
        boolean inBurst =
            elapsedMillis > COLLAPSE_WINDOW_MILLIS / 2 && elapsedMillis < COLLAPSE_WINDOW_MILLIS;
        double requestsPerMilli =
            CAPACITY_PER_SECOND
                * scenario.endpoints
                * scenario.load
                * (inBurst ? scenario.burstFactor : 1)
                / 1_000;
        // Exponentially distributed intervals: requests arrive as a Poisson process.
        now += -Math.log(1 - random.nextDouble()) / requestsPerMilli;
        deliverResponsesUntil(now);
        int instance = pickInstance();
        advance(instance, now);
        harnesses[instance].request(requestId++, 0);
        deliverAttempts(instance);
      }
    }

    /**
     * Picks an instance at random; if the traffic is uneven, the first one is five times as likely
     * as each other one.
     */
    private int pickInstance() {
      int shares = scenario.instances + (scenario.uneven ? 4 : 0);
      return Math.max(0, random.nextInt(shares) - (shares - scenario.instances));
    }

    private void deliverResponsesUntil(double now) {
      while (!dueResponses.isEmpty() && dueResponses.peek().atMillis() <= now) {
        DueResponse response = dueResponses.poll();
        int instance = Arrays.asList(harnesses).indexOf(response.harness());
        advance(instance, response.atMillis());
        if (response.harness().isOpen(response.sent().requestId())) {
          boolean fails =
              response.sent().endpointId() % scenario.endpoints >= scenario.warmingEndpoints
                  && response.atMillis() - START_MILLIS > scenario.failingFromMillis;
          response
              .harness()
              .finish(response.sent(), fails ? AttemptOutcome.ERROR : AttemptOutcome.OK);
        }
        deliverAttempts(instance);
      }
    }

    private void advance(int instance, double now) {
      harnesses[instance].advance(Math.max(0, now - harnesses[instance].now));
      deliverAttempts(instance);
    }

    /** Gives the endpoints what an instance has sent since the previous call. */
    private void deliverAttempts(int instance) {
      for (;
          deliveredAttempts[instance] < harnesses[instance].sentAttempts.size();
          deliveredAttempts[instance]++) {
        PolicyHarness.SentAttempt sent =
            harnesses[instance].sentAttempts.get(deliveredAttempts[instance]);
        int endpoint = (int) sent.endpointId() % scenario.endpoints;
        sendTimesMillis.get(endpoint).add(sent.atMillis());
        double queueingMillis = Math.max(0, nextStartMillis[endpoint] - sent.atMillis());
        nextStartMillis[endpoint] =
            sent.atMillis()
                + queueingMillis
                + 1 / capacityPerMilli(scenario, endpoint, sent.atMillis());
        dueResponses.add(
            new DueResponse(
                sent.atMillis() + queueingMillis + SERVICE_MILLIS,
                nextResponseOrder++,
                harnesses[instance],
                sent));
      }
    }

    /** The attempts sent to an endpoint within the given time from the start of the run. */
    double attemptsWithin(int endpoint, double durationMillis) {
      return sendTimesMillis.get(endpoint).stream()
          .filter(sentAtMillis -> sentAtMillis < START_MILLIS + durationMillis)
          .count();
    }
  }

  /** Requests per millisecond that an endpoint can serve: grows linearly over the warm-up. */
  private static double capacityPerMilli(Scenario scenario, int endpoint, double now) {
    double initialFraction = endpoint < scenario.warmingEndpoints ? RULES.initialCapacity() : 1;
    double warmUpFraction =
        Math.min(
            1,
            initialFraction + (1 - initialFraction) * (now - START_MILLIS) / RULES.warmUpMillis());
    return warmUpFraction * CAPACITY_PER_SECOND / 1_000;
  }

  /** Requests that an endpoint can serve within the given time from the start of a run. */
  private static double servableRequests(Scenario scenario, int endpoint, double durationMillis) {
    return durationMillis * capacityPerMilli(scenario, endpoint, START_MILLIS + durationMillis / 2);
  }

  /**
   * The number of attempts at which a warming endpoint collapses in a window that begins at the
   * given time, plus a margin for random variation of about two standard deviations.
   */
  private static double collapseThreshold(
      Scenario scenario, int endpoint, double windowStartMillis) {
    double attempts =
        RULES.collapseMultiple()
            * capacityPerMilli(scenario, endpoint, windowStartMillis)
            * COLLAPSE_WINDOW_MILLIS;
    return attempts + 2 * Math.sqrt(attempts) + 2;
  }

  /**
   * The largest number of attempts that a warming endpoint got in any window, relative to the
   * threshold at which it collapses.
   */
  private static double maxRelativeLoad(Scenario scenario, Simulation simulation) {
    double maxRelativeLoad = 0;
    for (int endpoint = 0; endpoint < scenario.warmingEndpoints; endpoint++) {
      List<Double> sendTimes = simulation.sendTimesMillis.get(endpoint);
      int firstIndex = 0;
      for (int lastIndex = 0; lastIndex < sendTimes.size(); lastIndex++) {
        while (sendTimes.get(firstIndex) <= sendTimes.get(lastIndex) - COLLAPSE_WINDOW_MILLIS) {
          firstIndex++;
        }
        double windowStartMillis =
            Math.max(START_MILLIS, sendTimes.get(lastIndex) - COLLAPSE_WINDOW_MILLIS);
        maxRelativeLoad =
            Math.max(
                maxRelativeLoad,
                (lastIndex - firstIndex + 1)
                    / collapseThreshold(scenario, endpoint, windowStartMillis));
      }
    }
    return maxRelativeLoad;
  }

  /**
   * The mean number of attempts that an endpoint was sent within the given time from the start of a
   * run, over the endpoints of a range and over several seeds.
   */
  private static double meanAttempts(
      Scenario scenario, int firstEndpoint, int endEndpoint, double durationMillis) {
    // The fewer the endpoints, the more runs are needed for a stable mean.
    int seeds = 40 / (endEndpoint - firstEndpoint);
    double totalAttempts = 0;
    for (int seed = 0; seed < seeds; seed++) {
      Simulation simulation = new Simulation(scenario.lengthMillis(durationMillis), seed);
      for (int endpoint = firstEndpoint; endpoint < endEndpoint; endpoint++) {
        totalAttempts += simulation.attemptsWithin(endpoint, durationMillis);
      }
    }
    return totalAttempts / seeds / (endEndpoint - firstEndpoint);
  }

  @Test
  void aWarmingEndpointsLoadDependsOnTheTrafficAndNotOnTheNumberOfInstances() {
    for (double load : new double[] {0.5, 1}) {
      for (int warming : new int[] {1, 5, 10}) {
        for (boolean uneven : new boolean[] {false, true}) {
          Scenario scenario = new Scenario().warmingEndpoints(warming).uneven(uneven).load(load);
          double fromOneInstance =
              meanAttempts(scenario.instances(1), 0, warming, COLLAPSE_WINDOW_MILLIS);
          for (int instances : INSTANCE_COUNTS) {
            double attempts =
                meanAttempts(scenario.instances(instances), 0, warming, COLLAPSE_WINDOW_MILLIS);
            assertTrue(
                attempts > 0.75 * fromOneInstance && attempts < 1.25 * fromOneInstance,
                scenario
                    + ": "
                    + attempts
                    + " attempts at a warming endpoint, "
                    + fromOneInstance
                    + " with one instance");
          }
        }
      }
    }
  }

  @Test
  void warmEndpointsDoNotQueueWhileWarmingOnesAreIdle() {
    for (double load : new double[] {0.5, 1}) {
      for (int instances : INSTANCE_COUNTS) {
        Scenario scenario = new Scenario().warmingEndpoints(5).instances(instances).load(load);
        double durationMillis = COLLAPSE_WINDOW_MILLIS;
        double warmingUtilization =
            meanAttempts(scenario, 0, 5, durationMillis)
                / servableRequests(scenario, 0, durationMillis);
        double warmUtilization =
            meanAttempts(scenario, 5, 10, durationMillis)
                / servableRequests(scenario, 5, durationMillis);
        assertTrue(
            warmingUtilization > 0.7 * warmUtilization,
            scenario
                + ": utilization of the warming endpoints "
                + warmingUtilization
                + ", of the warm ones "
                + warmUtilization);
      }
    }
  }

  @Test
  void aWarmingEndpointsLoadIsSimilarIfInstancesPreferASubset() {
    for (double connectionCost : new double[] {0, 0.1}) {
      for (int warming : new int[] {1, 20, 40}) {
        Scenario scenario =
            new Scenario()
                .endpoints(40)
                .warmingEndpoints(warming)
                .load(0.5)
                .connectionCost(connectionCost);
        double fromOneInstance =
            meanAttempts(scenario.instances(1), 0, warming, COLLAPSE_WINDOW_MILLIS);
        for (int instances : INSTANCE_COUNTS) {
          double attempts =
              meanAttempts(scenario.instances(instances), 0, warming, COLLAPSE_WINDOW_MILLIS);
          assertTrue(
              attempts > 0.55 * fromOneInstance && attempts < 1.25 * fromOneInstance,
              scenario
                  + ", connection cost "
                  + connectionCost
                  + ": "
                  + attempts
                  + " attempts at a warming endpoint, "
                  + fromOneInstance
                  + " with one instance");
        }
      }
    }
  }

  @Test
  void noWarmingEndpointCollapsesIfABusyInstancePrefersIt() {
    for (int warming : new int[] {1, 20, 40}) {
      for (int instances : INSTANCE_COUNTS) {
        checkNoneCollapses(
            new Scenario()
                .endpoints(40)
                .warmingEndpoints(warming)
                .instances(instances)
                .uneven(true)
                .connectionCost(0.1)
                .burstFactor(1.5)
                .lengthMillis(3_000));
      }
    }
  }

  @Test
  void noWarmingEndpointCollapsesUnderTheAttemptsOfAllInstances() {
    for (int warming : new int[] {1, 5, 10}) {
      for (int instances : INSTANCE_COUNTS) {
        for (boolean uneven : new boolean[] {false, true}) {
          Scenario scenario =
              new Scenario()
                  .warmingEndpoints(warming)
                  .instances(instances)
                  .uneven(uneven)
                  .lengthMillis(4_000);
          checkNoneCollapses(scenario.burstFactor(1.5));
          checkNoneCollapses(scenario.burstFactor(1).failingFromMillis(2_000));
        }
      }
    }
  }

  private static void checkNoneCollapses(Scenario scenario) {
    for (int seed = 0; seed < 40 / scenario.endpoints; seed++) {
      double maxRelativeLoad = maxRelativeLoad(scenario, new Simulation(scenario, seed));
      assertTrue(
          maxRelativeLoad > 0 && maxRelativeLoad < 1,
          scenario
              + ", seed "
              + seed
              + ": "
              + maxRelativeLoad
              + " times the attempts at which a warming endpoint collapses");
    }
  }
}
