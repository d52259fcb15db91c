package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import loadbalancer.model.AttemptOutcome;
import loadbalancer.model.EndpointUpdateType;
import loadbalancer.model.Idempotency;
import org.junit.jupiter.api.Test;

/**
 * What is refused where calls are late, with and without a crowd to blame: whole runs in virtual
 * time, of several copies in front of a few servers.
 */
class LoadSheddingTest {

  private static final double LENGTH = 40_000;

  /** Ms between two looks at all copies and servers. */
  private static final double STEP = 5;

  private static final int COPIES = 20;
  private static final int SERVERS = 4;

  /** Mean of the work of a call in a jam, in ms, and how many calls a server holds. */
  private static final double WORK = 100;

  private static final int QUEUE = 30;
  private static final int SEEDS = 3;

  /** An attempt at a server, and when it ends or how much work of it is left. */
  private static final class Work {
    final PolicyHarness copy;
    final PolicyHarness.Sent sent;
    double left;
    boolean givenUp;

    Work(PolicyHarness copy, PolicyHarness.Sent sent, double left) {
      this.copy = copy;
      this.sent = sent;
      this.left = left;
    }

    boolean isOverdue() {
      return copy.now >= sent.at() + sent.timeout();
    }
  }

  private static double exponential(SplittableRandom random, double mean) {
    return -mean * Math.log(1 - random.nextDouble());
  }

  private static List<PolicyHarness> copies(long seed) {
    List<PolicyHarness> copies = new ArrayList<>();
    for (int i = 0; i < COPIES; i++) {
      PolicyHarness copy =
          new PolicyHarness(
              TestSettings.plain()
                  .repeat(Idempotency.AT_MOST_ONCE)
                  .lateWorth(0)
                  .siblings(COPIES)
                  .position(i)
                  .build(),
              seed + i);
      copy.list(
          EndpointUpdateType.CACHED,
          Stream.of(1, 2, 3, 4)
              .map(TestSettings::server)
              .toArray(TestSettings.EndpointBuilder[]::new));
      copies.add(copy);
    }
    return copies;
  }

  /**
   * Share of the requests that is served in time where each call takes a time of its own, whatever
   * else is sent: six in ten take over half of their aim, one in nine takes more than all of it.
   */
  private static double servedWithoutACrowd(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    double part = 0.35 * TestSettings.AIM;
    int served = 0;
    int asked = 0;
    for (PolicyHarness copy : copies(seed)) {
      PriorityQueue<Work> out = new PriorityQueue<>(Comparator.comparingDouble(work -> work.left));
      int seen = 0;
      double next = copy.now;
      for (double end = copy.now + LENGTH; copy.now < end; copy.advance(STEP)) {
        while (!out.isEmpty() && out.peek().left <= copy.now) {
          Work work = out.poll();
          boolean inTime = work.left <= work.sent.at() + work.sent.timeout();
          copy.finish(work.sent, inTime ? AttemptOutcome.OK : AttemptOutcome.TIMEOUT);
          served += inTime ? 1 : 0;
        }
        for (; next <= copy.now; next += exponential(random, 100)) {
          copy.request(asked++, 0);
        }
        for (; seen < copy.sends.size(); seen++) {
          PolicyHarness.Sent sent = copy.sends.get(seen);
          double takes = part + exponential(random, part);
          out.add(new Work(copy, sent, sent.at() + Math.min(takes, sent.timeout() + STEP)));
        }
      }
    }
    return (double) served / asked;
  }

  /**
   * Share of what the servers can do that is served in time, where so many times as much is asked
   * for and what a copy has given up runs on for nobody.
   */
  private static double servedInAJam(long seed, double load) {
    SplittableRandom random = new SplittableRandom(seed);
    List<PolicyHarness> copies = copies(seed);
    List<ArrayDeque<Work>> queues = Stream.generate(ArrayDeque<Work>::new).limit(SERVERS).toList();
    int[] seen = new int[COPIES];
    double[] next = new double[COPIES];
    Arrays.fill(next, copies.get(0).now);
    double apart = WORK * COPIES / SERVERS / load;
    long asked = 0;
    int served = 0;
    for (double end = copies.get(0).now + LENGTH; copies.get(0).now < end; ) {
      for (int i = 0; i < COPIES; i++) {
        PolicyHarness copy = copies.get(i);
        for (; next[i] <= copy.now; next[i] += exponential(random, apart)) {
          copy.request(asked++, 0);
        }
        for (; seen[i] < copy.sends.size(); seen[i]++) {
          PolicyHarness.Sent sent = copy.sends.get(seen[i]);
          ArrayDeque<Work> queue = queues.get((int) sent.upstream() - 1);
          if (queue.size() < QUEUE) {
            queue.add(new Work(copy, sent, exponential(random, WORK)));
          } else {
            copy.finish(sent, AttemptOutcome.FULL);
          }
        }
      }
      for (ArrayDeque<Work> queue : queues) {
        for (Work work : queue) {
          if (!work.givenUp && work.isOverdue()) {
            work.givenUp = true;
            work.copy.finish(work.sent, AttemptOutcome.TIMEOUT);
          }
        }
        served += work(queue);
      }
      copies.forEach(copy -> copy.advance(STEP));
    }
    return served * WORK / (LENGTH * SERVERS);
  }

  /** A server works on its queue for one step; how many calls it served. */
  private static int work(ArrayDeque<Work> queue) {
    int served = 0;
    double time = STEP;
    while (time > 0 && !queue.isEmpty()) {
      Work work = queue.peek();
      double done = Math.min(time, work.left);
      work.left -= done;
      time -= done;
      if (work.left <= 0) {
        queue.poll();
        if (!work.givenUp) {
          work.copy.finish(work.sent, AttemptOutcome.OK);
          served++;
        }
      }
    }
    return served;
  }

  @Test
  void callsThatAreLateWithoutACrowdAreNotTakenForOne() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      double served = servedWithoutACrowd(seed);
      // Without any refusal it would be 0.83; with every sign of overload believed 0.2 at most.
      assertTrue(served > 0.3, served + " served at seed " + seed);
    }
  }

  @Test
  void aCrowdIsStillRefusedBeforeItTakesAllDown() {
    for (double load : new double[] {1.2, 1.5, 3}) {
      for (long seed = 1; seed <= SEEDS; seed++) {
        double served = servedInAJam(seed, load);
        // Without any refusal it would be under 0.15.
        assertTrue(served > 0.45, served + " served at " + load + " times the load, seed " + seed);
      }
    }
  }
}
