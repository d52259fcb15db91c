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
 * Rule 4 for a fleet: instances that know nothing of each other share one stream of requests, and
 * servers that have just started may neither be pushed over by the sum of what all send nor be left
 * idle because many instances carry the stream. All in virtual time, with fixed seeds.
 */
class SlowStartTest {

  private static final int[] COPIES = {1, 5, 20, 30, 60};

  /** Requests that a warm server can do in a second. */
  private static final double RATE = 20;

  /** Ms that a request takes at a server that has none waiting. */
  private static final double SERVICE = 20;

  private static final double START = 100_000;
  private static final RuleSettings RULES = TestSettings.plain().build().rules();

  /** The window over which an endpoint counts requests against its capacity. */
  private static final double COLLAPSE_WINDOW_MILLIS = 1_500;

  /**
   * What a run varies; unless said, the stream is even and just fits the fleet once all of it is
   * warm.
   */
  private static final class Scene {
    int copies = 1;
    int servers = 10;
    int cold = 1;
    double connection;
    boolean uneven;
    double load = 1;
    double burst = 1;
    double length = 6_000;
    double failing = Double.MAX_VALUE;

    Scene copies(int value) {
      copies = value;
      return this;
    }

    Scene servers(int value) {
      servers = value;
      return this;
    }

    /** The price on connections and on new ones, which makes an instance keep to its subset. */
    Scene connection(double value) {
      connection = value;
      return this;
    }

    Scene cold(int value) {
      cold = value;
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

    /** From when on, in ms since the start, the warm servers answer with errors. */
    Scene failing(double value) {
      failing = value;
      return this;
    }

    @Override
    public String toString() {
      return cold
          + " of "
          + servers
          + " servers cold, "
          + copies
          + (uneven ? " uneven" : " even")
          + " instances, load "
          + load
          + ", burst "
          + burst
          + ", warm ones fail from "
          + failing;
    }
  }

  private record Answer(double at, long order, PolicyHarness bench, PolicyHarness.Sent sent) {}

  /** One run of a scene: servers work at a rate that their warmth bounds, and queue beyond it. */
  private static final class Fleet {
    private final Scene scene;
    private final SplittableRandom random;
    private final PolicyHarness[] benches;
    private final int[] seen;
    private final double[] freeAt;
    private final PriorityQueue<Answer> answers =
        new PriorityQueue<>(
            Comparator.comparingDouble(Answer::at).thenComparingLong(Answer::order));
    private long answersDue;

    /** When each server was sent a request, in order. */
    final List<List<Double>> sends = new ArrayList<>();

    Fleet(Scene scene, long seed) {
      this.scene = scene;
      random = new SplittableRandom(seed);
      benches = new PolicyHarness[scene.copies];
      seen = new int[scene.copies];
      freeAt = new double[scene.servers];
      TestSettings.EndpointBuilder[] list = new TestSettings.EndpointBuilder[scene.servers];
      for (int i = 0; i < scene.servers; i++) {
        sends.add(new ArrayList<>());
        list[i] =
            TestSettings.server(seed * scene.servers + i).startedAt(i < scene.cold ? START : 0);
      }
      for (int i = 0; i < scene.copies; i++) {
        benches[i] =
            new PolicyHarness(
                TestSettings.plain()
                    .tier(1)
                    .siblings(scene.copies)
                    .position(i)
                    .connection(scene.connection)
                    .build(),
                random.nextLong());
        benches[i].list(EndpointUpdateType.CACHED, list);
      }
      play();
    }

    private void play() {
      long id = 0;
      double now = START;
      while (now < START + scene.length) {
        // The burst is the second half of the first window in which a cold server could fall.
        double since = now - START;
        boolean inBurst = since > COLLAPSE_WINDOW_MILLIS / 2 && since < COLLAPSE_WINDOW_MILLIS;
        double rate = RATE * scene.servers * scene.load * (inBurst ? scene.burst : 1) / 1_000;
        now += -Math.log(1 - random.nextDouble()) / rate;
        answerUntil(now);
        int i = pickCopy();
        advance(i, now);
        benches[i].request(id++, 0);
        takeSends(i);
      }
    }

    /** Where the stream is uneven, the first instance gets five times what each other one gets. */
    private int pickCopy() {
      int shares = scene.copies + (scene.uneven ? 4 : 0);
      return Math.max(0, random.nextInt(shares) - (shares - scene.copies));
    }

    private void answerUntil(double now) {
      while (!answers.isEmpty() && answers.peek().at() <= now) {
        Answer answer = answers.poll();
        int i = Arrays.asList(benches).indexOf(answer.bench());
        advance(i, answer.at());
        if (answer.bench().isOpen(answer.sent().request())) {
          boolean fails =
              answer.sent().upstream() % scene.servers >= scene.cold
                  && answer.at() - START > scene.failing;
          answer.bench().finish(answer.sent(), fails ? AttemptOutcome.ERROR : AttemptOutcome.OK);
        }
        takeSends(i);
      }
    }

    private void advance(int i, double now) {
      benches[i].advance(Math.max(0, now - benches[i].now));
      takeSends(i);
    }

    private void takeSends(int i) {
      for (; seen[i] < benches[i].sends.size(); seen[i]++) {
        PolicyHarness.Sent sent = benches[i].sends.get(seen[i]);
        int server = (int) sent.upstream() % scene.servers;
        sends.get(server).add(sent.at());
        double wait = Math.max(0, freeAt[server] - sent.at());
        freeAt[server] = sent.at() + wait + 1 / capacity(scene, server, sent.at());
        answers.add(new Answer(sent.at() + wait + SERVICE, answersDue++, benches[i], sent));
      }
    }

    /** Calls to a server within the first ms of the run. */
    double sentWithin(int server, double ms) {
      return sends.get(server).stream().filter(at -> at < START + ms).count();
    }
  }

  /** Requests per ms that a server can do: an even ramp over the warm-up. */
  private static double capacity(Scene scene, int server, double now) {
    double from = server < scene.cold ? RULES.initialCapacity() : 1;
    double warmth = Math.min(1, from + (1 - from) * (now - START) / RULES.warmUpMillis());
    return warmth * RATE / 1_000;
  }

  /** Requests that a server could have done in the first ms of a run. */
  private static double couldDo(Scene scene, int server, double ms) {
    return ms * capacity(scene, server, START + ms / 2);
  }

  /**
   * What the rule allows a cold server in a window that begins then, with what it puts down to
   * chance.
   */
  private static double allowed(Scene scene, int server, double from) {
    double n = RULES.collapseMultiple() * capacity(scene, server, from) * COLLAPSE_WINDOW_MILLIS;
    return n + 2 * Math.sqrt(n) + 2;
  }

  /**
   * The most that a cold server got in any window in which it could fall, over what the rule
   * allows.
   */
  private static double worst(Scene scene, Fleet fleet) {
    double worst = 0;
    for (int server = 0; server < scene.cold; server++) {
      List<Double> sends = fleet.sends.get(server);
      int first = 0;
      for (int last = 0; last < sends.size(); last++) {
        while (sends.get(first) <= sends.get(last) - COLLAPSE_WINDOW_MILLIS) {
          first++;
        }
        double from = Math.max(START, sends.get(last) - COLLAPSE_WINDOW_MILLIS);
        worst = Math.max(worst, (last - first + 1) / allowed(scene, server, from));
      }
    }
    return worst;
  }

  /**
   * The mean over seeds of what each of the servers from one to another got in the first ms of a
   * run.
   */
  private static double meanSent(Scene scene, int from, int to, double ms) {
    // The fewer servers are looked at, the more runs it takes for a steady mean.
    int seeds = 40 / (to - from);
    double sum = 0;
    for (int seed = 0; seed < seeds; seed++) {
      Fleet fleet = new Fleet(scene.length(ms), seed);
      for (int server = from; server < to; server++) {
        sum += fleet.sentWithin(server, ms);
      }
    }
    return sum / seeds / (to - from);
  }

  @Test
  void whatAColdServerGetsGoesByTheTrafficOfAllAndNotByHowManyCarryIt() {
    for (double load : new double[] {0.5, 1}) {
      for (int cold : new int[] {1, 5, 10}) {
        for (boolean uneven : new boolean[] {false, true}) {
          Scene scene = new Scene().cold(cold).uneven(uneven).load(load);
          double ofOne = meanSent(scene.copies(1), 0, cold, COLLAPSE_WINDOW_MILLIS);
          for (int copies : COPIES) {
            double sent = meanSent(scene.copies(copies), 0, cold, COLLAPSE_WINDOW_MILLIS);
            assertTrue(
                sent > 0.75 * ofOne && sent < 1.25 * ofOne,
                scene + ": " + sent + " calls to a cold server, " + ofOne + " from one instance");
          }
        }
      }
    }
  }

  @Test
  void warmServersDoNotQueueWhileColdOnesStandIdle() {
    for (double load : new double[] {0.5, 1}) {
      for (int copies : COPIES) {
        Scene scene = new Scene().cold(5).copies(copies).load(load);
        double ms = COLLAPSE_WINDOW_MILLIS;
        double cold = meanSent(scene, 0, 5, ms) / couldDo(scene, 0, ms);
        double warm = meanSent(scene, 5, 10, ms) / couldDo(scene, 5, ms);
        assertTrue(
            cold > 0.7 * warm,
            scene + ": cold servers at " + cold + " of what they can do, warm ones at " + warm);
      }
    }
  }

  @Test
  void whatAColdServerGetsIsMuchTheSameWhereInstancesPreferASubset() {
    for (double price : new double[] {0, 0.1}) {
      for (int cold : new int[] {1, 20, 40}) {
        Scene scene = new Scene().servers(40).cold(cold).load(0.5).connection(price);
        double ofOne = meanSent(scene.copies(1), 0, cold, COLLAPSE_WINDOW_MILLIS);
        for (int copies : COPIES) {
          double sent = meanSent(scene.copies(copies), 0, cold, COLLAPSE_WINDOW_MILLIS);
          assertTrue(
              sent > 0.55 * ofOne && sent < 1.25 * ofOne,
              scene
                  + ", price "
                  + price
                  + ": "
                  + sent
                  + " calls to a cold server, "
                  + ofOne
                  + " from one instance");
        }
      }
    }
  }

  @Test
  void noColdServerIsPushedOverWhereOneInstanceWithMuchTrafficPrefersIt() {
    for (int cold : new int[] {1, 20, 40}) {
      for (int copies : COPIES) {
        checkNoneFalls(
            new Scene()
                .servers(40)
                .cold(cold)
                .copies(copies)
                .uneven(true)
                .connection(0.1)
                .burst(1.5)
                .length(3_000));
      }
    }
  }

  @Test
  void noColdServerIsPushedOverByTheSumOfWhatAllSend() {
    for (int cold : new int[] {1, 5, 10}) {
      for (int copies : COPIES) {
        for (boolean uneven : new boolean[] {false, true}) {
          Scene scene = new Scene().cold(cold).copies(copies).uneven(uneven).length(4_000);
          checkNoneFalls(scene.burst(1.5));
          checkNoneFalls(scene.burst(1).failing(2_000));
        }
      }
    }
  }

  private static void checkNoneFalls(Scene scene) {
    for (int seed = 0; seed < 40 / scene.servers; seed++) {
      double worst = worst(scene, new Fleet(scene, seed));
      assertTrue(
          worst > 0 && worst < 1,
          scene + ", seed " + seed + ": " + worst + " of what the rule allows");
    }
  }
}
