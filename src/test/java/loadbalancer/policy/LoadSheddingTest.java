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
 * Load shedding over whole runs in virtual time, with several instances and a few endpoints:
 * attempts that are late with and without overload.
 */
class LoadSheddingTest {

  private static final double LENGTH_MILLIS = 40_000;

  /** Step of the virtual time. */
  private static final double STEP_MILLIS = 5;

  private static final int INSTANCES = 20;
  private static final int ENDPOINTS = 4;

  /** Mean work of an attempt under overload. */
  private static final double MEAN_WORK_MILLIS = 100;

  private static final int QUEUE_LIMIT = 30;
  private static final int SEEDS = 3;

  /** An attempt at an endpoint, and when it ends or how much work of it is left. */
  private static final class Work {
    final PolicyHarness instance;
    final PolicyHarness.SentAttempt sent;
    double left;
    boolean givenUp;

    Work(PolicyHarness instance, PolicyHarness.SentAttempt sent, double left) {
      this.instance = instance;
      this.sent = sent;
      this.left = left;
    }

    boolean isOverdue() {
      return instance.now >= sent.atMillis() + sent.timeoutMillis();
    }
  }

  private static double exponential(SplittableRandom random, double mean) {
    return -mean * Math.log(1 - random.nextDouble());
  }

  private static List<PolicyHarness> instances(long seed) {
    List<PolicyHarness> instances = new ArrayList<>();
    for (int i = 0; i < INSTANCES; i++) {
      PolicyHarness instance =
          new PolicyHarness(
              TestSettings.settings()
                  .idempotency(Idempotency.AT_MOST_ONCE)
                  .lateResponseValue(0)
                  .instanceCount(INSTANCES)
                  .instanceIndex(i)
                  .build(),
              seed + i);
      instance.updateEndpoints(
          EndpointUpdateType.CACHED,
          Stream.of(1, 2, 3, 4)
              .map(TestSettings::endpoint)
              .toArray(TestSettings.EndpointBuilder[]::new));
      instances.add(instance);
    }
    return instances;
  }

  /**
   * Share of the requests served in time where latency does not depend on load: six in ten take
   * over half of the objective, one in nine more than all of it.
   */
  private static double servedShareWithoutOverload(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    double part = 0.35 * TestSettings.OBJECTIVE_MILLIS;
    int served = 0;
    int asked = 0;
    for (PolicyHarness instance : instances(seed)) {
      PriorityQueue<Work> out = new PriorityQueue<>(Comparator.comparingDouble(work -> work.left));
      int seen = 0;
      double next = instance.now;
      for (double end = instance.now + LENGTH_MILLIS;
          instance.now < end;
          instance.advance(STEP_MILLIS)) {
        while (!out.isEmpty() && out.peek().left <= instance.now) {
          Work work = out.poll();
          boolean inTime = work.left <= work.sent.atMillis() + work.sent.timeoutMillis();
          instance.finish(work.sent, inTime ? AttemptOutcome.OK : AttemptOutcome.TIMEOUT);
          served += inTime ? 1 : 0;
        }
        for (; next <= instance.now; next += exponential(random, 100)) {
          instance.request(asked++, 0);
        }
        for (; seen < instance.sentAttempts.size(); seen++) {
          PolicyHarness.SentAttempt sent = instance.sentAttempts.get(seen);
          double takes = part + exponential(random, part);
          out.add(
              new Work(
                  instance,
                  sent,
                  sent.atMillis() + Math.min(takes, sent.timeoutMillis() + STEP_MILLIS)));
        }
      }
    }
    return (double) served / asked;
  }

  /**
   * Share of the endpoints' capacity that is served in time at a load of so many times their
   * capacity; abandoned attempts keep running.
   */
  private static double servedCapacityUnderOverload(long seed, double load) {
    SplittableRandom random = new SplittableRandom(seed);
    List<PolicyHarness> instances = instances(seed);
    List<ArrayDeque<Work>> queues =
        Stream.generate(ArrayDeque<Work>::new).limit(ENDPOINTS).toList();
    int[] seen = new int[INSTANCES];
    double[] next = new double[INSTANCES];
    Arrays.fill(next, instances.get(0).now);
    double apart = MEAN_WORK_MILLIS * INSTANCES / ENDPOINTS / load;
    long asked = 0;
    int served = 0;
    for (double end = instances.get(0).now + LENGTH_MILLIS; instances.get(0).now < end; ) {
      for (int i = 0; i < INSTANCES; i++) {
        PolicyHarness instance = instances.get(i);
        for (; next[i] <= instance.now; next[i] += exponential(random, apart)) {
          instance.request(asked++, 0);
        }
        for (; seen[i] < instance.sentAttempts.size(); seen[i]++) {
          PolicyHarness.SentAttempt sent = instance.sentAttempts.get(seen[i]);
          ArrayDeque<Work> queue = queues.get((int) sent.endpointId() - 1);
          if (queue.size() < QUEUE_LIMIT) {
            queue.add(new Work(instance, sent, exponential(random, MEAN_WORK_MILLIS)));
          } else {
            instance.finish(sent, AttemptOutcome.REJECTED);
          }
        }
      }
      for (ArrayDeque<Work> queue : queues) {
        for (Work work : queue) {
          if (!work.givenUp && work.isOverdue()) {
            work.givenUp = true;
            work.instance.finish(work.sent, AttemptOutcome.TIMEOUT);
          }
        }
        served += work(queue);
      }
      instances.forEach(instance -> instance.advance(STEP_MILLIS));
    }
    return served * MEAN_WORK_MILLIS / (LENGTH_MILLIS * ENDPOINTS);
  }

  /** Lets an endpoint work on its queue for one step; returns how many attempts it served. */
  private static int work(ArrayDeque<Work> queue) {
    int served = 0;
    double time = STEP_MILLIS;
    while (time > 0 && !queue.isEmpty()) {
      Work work = queue.peek();
      double done = Math.min(time, work.left);
      work.left -= done;
      time -= done;
      if (work.left <= 0) {
        queue.poll();
        if (!work.givenUp) {
          work.instance.finish(work.sent, AttemptOutcome.OK);
          served++;
        }
      }
    }
    return served;
  }

  @Test
  void lateAttemptsWithoutOverloadCauseLittleShedding() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      double served = servedShareWithoutOverload(seed);
      // Without shedding it would be 0.83; with every late attempt taken for overload at most 0.2.
      assertTrue(served > 0.3, served + " served at seed " + seed);
    }
  }

  @Test
  void overloadIsShedBeforeThroughputCollapses() {
    for (double load : new double[] {1.2, 1.5, 3}) {
      for (long seed = 1; seed <= SEEDS; seed++) {
        double served = servedCapacityUnderOverload(seed, load);
        // Without shedding it would be under 0.15.
        assertTrue(served > 0.45, served + " served at " + load + " times the load, seed " + seed);
      }
    }
  }
}
