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
 * Slow start over many instances that share one stream of requests: warming endpoints must neither
 * collapse from the sum of all attempts nor be idle because many instances carry the stream.
 * Virtual time, fixed seeds.
 */
class SlowStartTest {

  private static final int[] INSTANCE_COUNTS = {1, 5, 20, 30, 60};

  /** Capacity of a warm endpoint. */
  private static final double REQUESTS_PER_SECOND = 20;

  /** Service time of a request at an idle endpoint. */
  private static final double SERVICE_MILLIS = 20;

  private static final double START = 100_000;
  private static final RuleSettings RULES = TestSettings.settings().build().rules();

  /** The window over which an endpoint counts requests against its capacity. */
  private static final double COLLAPSE_WINDOW_MILLIS = 1_500;

  /** What a run varies; by default the stream is even and fits the endpoints once all are warm. */
  private static final class Scene {
    int instances = 1;
    int endpoints = 10;
    int warming = 1;
    double connection;
    boolean uneven;
    double load = 1;
    double burst = 1;
    double length = 6_000;
    double failing = Double.MAX_VALUE;

    Scene instances(int value) {
      instances = value;
      return this;
    }

    Scene endpoints(int value) {
      endpoints = value;
      return this;
    }

    /** The cost of connections, which makes an instance keep to its subset. */
    Scene connection(double value) {
      connection = value;
      return this;
    }

    Scene warming(int value) {
      warming = value;
      return this;
    }

    Scene uneven(boolean value) {
      uneven = value;
      return this;
    }

    Scene load(double value) {
      load = value;
      return this;
    }

    Scene burst(double value) {
      burst = value;
      return this;
    }

    Scene length(double value) {
      length = value;
      return this;
    }

    /** From when on, in ms since the start, the warm endpoints respond with errors. */
    Scene failing(double value) {
      failing = value;
      return this;
    }

    @Override
    public String toString() {
      return warming
          + " of "
          + endpoints
          + " endpoints warming, "
          + instances
          + (uneven ? " uneven" : " even")
          + " instances, load "
          + load
          + ", burst "
          + burst
          + ", warm ones fail from "
          + failing;
    }
  }

  private record Answer(
      double at, long order, PolicyHarness harness, PolicyHarness.SentAttempt sent) {}

  /**
   * One run of a scene: endpoints work at the rate of their warm-up fraction and queue the rest.
   */
  private static final class Fleet {
    private final Scene scene;
    private final SplittableRandom random;
    private final PolicyHarness[] harnesses;
    private final int[] seen;
    private final double[] freeAt;
    private final PriorityQueue<Answer> answers =
        new PriorityQueue<>(
            Comparator.comparingDouble(Answer::at).thenComparingLong(Answer::order));
    private long answersDue;

    /** When each endpoint was sent a request, in order. */
    final List<List<Double>> sends = new ArrayList<>();

    Fleet(Scene scene, long seed) {
      this.scene = scene;
      random = new SplittableRandom(seed);
      harnesses = new PolicyHarness[scene.instances];
      seen = new int[scene.instances];
      freeAt = new double[scene.endpoints];
      TestSettings.EndpointBuilder[] list = new TestSettings.EndpointBuilder[scene.endpoints];
      for (int i = 0; i < scene.endpoints; i++) {
        sends.add(new ArrayList<>());
        list[i] =
            TestSettings.endpoint(seed * scene.endpoints + i)
                .startedAt(i < scene.warming ? START : 0);
      }
      for (int i = 0; i < scene.instances; i++) {
        harnesses[i] =
            new PolicyHarness(
                TestSettings.settings()
                    .tier(1)
                    .instanceCount(scene.instances)
                    .instanceIndex(i)
                    .connectionCost(scene.connection)
                    .build(),
                random.nextLong());
        harnesses[i].updateEndpoints(EndpointUpdateType.CACHED, list);
      }
      play();
    }

    private void play() {
      long id = 0;
      double now = START;
      while (now < START + scene.length) {
        // The burst is the second half of the first window in which a warming endpoint could
        // collapse.
        double since = now - START;
        boolean inBurst = since > COLLAPSE_WINDOW_MILLIS / 2 && since < COLLAPSE_WINDOW_MILLIS;
        double rate =
            REQUESTS_PER_SECOND
                * scene.endpoints
                * scene.load
                * (inBurst ? scene.burst : 1)
                / 1_000;
        now += -Math.log(1 - random.nextDouble()) / rate;
        answerUntil(now);
        int i = pickInstance();
        advance(i, now);
        harnesses[i].request(id++, 0);
        takeSends(i);
      }
    }

    /** Where the stream is uneven, the first instance gets five times what each other one gets. */
    private int pickInstance() {
      int shares = scene.instances + (scene.uneven ? 4 : 0);
      return Math.max(0, random.nextInt(shares) - (shares - scene.instances));
    }

    private void answerUntil(double now) {
      while (!answers.isEmpty() && answers.peek().at() <= now) {
        Answer answer = answers.poll();
        int i = Arrays.asList(harnesses).indexOf(answer.harness());
        advance(i, answer.at());
        if (answer.harness().isOpen(answer.sent().requestId())) {
          boolean fails =
              answer.sent().endpointId() % scene.endpoints >= scene.warming
                  && answer.at() - START > scene.failing;
          answer.harness().finish(answer.sent(), fails ? AttemptOutcome.ERROR : AttemptOutcome.OK);
        }
        takeSends(i);
      }
    }

    private void advance(int i, double now) {
      harnesses[i].advance(Math.max(0, now - harnesses[i].now));
      takeSends(i);
    }

    private void takeSends(int i) {
      for (; seen[i] < harnesses[i].sentAttempts.size(); seen[i]++) {
        PolicyHarness.SentAttempt sent = harnesses[i].sentAttempts.get(seen[i]);
        int endpoint = (int) sent.endpointId() % scene.endpoints;
        sends.get(endpoint).add(sent.atMillis());
        double wait = Math.max(0, freeAt[endpoint] - sent.atMillis());
        freeAt[endpoint] = sent.atMillis() + wait + 1 / capacity(scene, endpoint, sent.atMillis());
        answers.add(
            new Answer(sent.atMillis() + wait + SERVICE_MILLIS, answersDue++, harnesses[i], sent));
      }
    }

    /** Attempts at an endpoint within the first ms of the run. */
    double sentWithin(int endpoint, double ms) {
      return sends.get(endpoint).stream().filter(at -> at < START + ms).count();
    }
  }

  /** Requests per ms that an endpoint can serve: grows evenly over the warm-up. */
  private static double capacity(Scene scene, int endpoint, double now) {
    double from = endpoint < scene.warming ? RULES.initialCapacity() : 1;
    double warmUpFraction = Math.min(1, from + (1 - from) * (now - START) / RULES.warmUpMillis());
    return warmUpFraction * REQUESTS_PER_SECOND / 1_000;
  }

  /** Requests that an endpoint could have served in the first ms of a run. */
  private static double couldDo(Scene scene, int endpoint, double ms) {
    return ms * capacity(scene, endpoint, START + ms / 2);
  }

  /**
   * Attempts that a warming endpoint survives in a window that begins then, with an allowance for
   * chance.
   */
  private static double allowed(Scene scene, int endpoint, double from) {
    double n = RULES.collapseMultiple() * capacity(scene, endpoint, from) * COLLAPSE_WINDOW_MILLIS;
    return n + 2 * Math.sqrt(n) + 2;
  }

  /** The most attempts that a warming endpoint got in any window, over what it survives. */
  private static double worst(Scene scene, Fleet fleet) {
    double worst = 0;
    for (int endpoint = 0; endpoint < scene.warming; endpoint++) {
      List<Double> sends = fleet.sends.get(endpoint);
      int first = 0;
      for (int last = 0; last < sends.size(); last++) {
        while (sends.get(first) <= sends.get(last) - COLLAPSE_WINDOW_MILLIS) {
          first++;
        }
        double from = Math.max(START, sends.get(last) - COLLAPSE_WINDOW_MILLIS);
        worst = Math.max(worst, (last - first + 1) / allowed(scene, endpoint, from));
      }
    }
    return worst;
  }

  /**
   * The mean over seeds of what each of the endpoints from one to another got in the first ms of a
   * run.
   */
  private static double meanSent(Scene scene, int from, int to, double ms) {
    // Fewer endpoints need more runs for a steady mean.
    int seeds = 40 / (to - from);
    double sum = 0;
    for (int seed = 0; seed < seeds; seed++) {
      Fleet fleet = new Fleet(scene.length(ms), seed);
      for (int endpoint = from; endpoint < to; endpoint++) {
        sum += fleet.sentWithin(endpoint, ms);
      }
    }
    return sum / seeds / (to - from);
  }

  @Test
  void aWarmingEndpointsLoadDependsOnTheTrafficAndNotOnTheNumberOfInstances() {
    for (double load : new double[] {0.5, 1}) {
      for (int warming : new int[] {1, 5, 10}) {
        for (boolean uneven : new boolean[] {false, true}) {
          Scene scene = new Scene().warming(warming).uneven(uneven).load(load);
          double ofOne = meanSent(scene.instances(1), 0, warming, COLLAPSE_WINDOW_MILLIS);
          for (int instances : INSTANCE_COUNTS) {
            double sent = meanSent(scene.instances(instances), 0, warming, COLLAPSE_WINDOW_MILLIS);
            assertTrue(
                sent > 0.75 * ofOne && sent < 1.25 * ofOne,
                scene
                    + ": "
                    + sent
                    + " attempts to a warming endpoint, "
                    + ofOne
                    + " from one instance");
          }
        }
      }
    }
  }

  @Test
  void warmEndpointsDoNotQueueWhileWarmingOnesAreIdle() {
    for (double load : new double[] {0.5, 1}) {
      for (int instances : INSTANCE_COUNTS) {
        Scene scene = new Scene().warming(5).instances(instances).load(load);
        double ms = COLLAPSE_WINDOW_MILLIS;
        double warming = meanSent(scene, 0, 5, ms) / couldDo(scene, 0, ms);
        double warm = meanSent(scene, 5, 10, ms) / couldDo(scene, 5, ms);
        assertTrue(
            warming > 0.7 * warm,
            scene
                + ": warming endpoints at "
                + warming
                + " of what they can do, warm ones at "
                + warm);
      }
    }
  }

  @Test
  void aWarmingEndpointsLoadIsSimilarWhereInstancesPreferASubset() {
    for (double price : new double[] {0, 0.1}) {
      for (int warming : new int[] {1, 20, 40}) {
        Scene scene = new Scene().endpoints(40).warming(warming).load(0.5).connection(price);
        double ofOne = meanSent(scene.instances(1), 0, warming, COLLAPSE_WINDOW_MILLIS);
        for (int instances : INSTANCE_COUNTS) {
          double sent = meanSent(scene.instances(instances), 0, warming, COLLAPSE_WINDOW_MILLIS);
          assertTrue(
              sent > 0.55 * ofOne && sent < 1.25 * ofOne,
              scene
                  + ", price "
                  + price
                  + ": "
                  + sent
                  + " attempts to a warming endpoint, "
                  + ofOne
                  + " from one instance");
        }
      }
    }
  }

  @Test
  void noWarmingEndpointCollapsesWhereABusyInstancePrefersIt() {
    for (int warming : new int[] {1, 20, 40}) {
      for (int instances : INSTANCE_COUNTS) {
        checkNoneCollapses(
            new Scene()
                .endpoints(40)
                .warming(warming)
                .instances(instances)
                .uneven(true)
                .connection(0.1)
                .burst(1.5)
                .length(3_000));
      }
    }
  }

  @Test
  void noWarmingEndpointCollapsesFromTheSumOfAllInstances() {
    for (int warming : new int[] {1, 5, 10}) {
      for (int instances : INSTANCE_COUNTS) {
        for (boolean uneven : new boolean[] {false, true}) {
          Scene scene =
              new Scene().warming(warming).instances(instances).uneven(uneven).length(4_000);
          checkNoneCollapses(scene.burst(1.5));
          checkNoneCollapses(scene.burst(1).failing(2_000));
        }
      }
    }
  }

  private static void checkNoneCollapses(Scene scene) {
    for (int seed = 0; seed < 40 / scene.endpoints; seed++) {
      double worst = worst(scene, new Fleet(scene, seed));
      assertTrue(
          worst > 0 && worst < 1, scene + ", seed " + seed + ": " + worst + " of what it survives");
    }
  }
}
