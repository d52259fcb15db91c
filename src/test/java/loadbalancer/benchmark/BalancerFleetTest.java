package loadbalancer.benchmark;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import loadbalancer.benchmark.ClientStandIn.Kind;
import loadbalancer.benchmark.ClientStandIn.Outcome;
import loadbalancer.benchmark.Fleet.Entry;
import loadbalancer.benchmark.UpstreamStandIn.Received;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Several balancer processes on one processor, with upstreams that are partly warming up, during a
 * rolling release and a burst. Each request is accounted for. {@code -Dfleet.requests=N} sets how
 * many each client sends.
 */
@Timeout(value = 180, unit = TimeUnit.SECONDS)
class BalancerFleetTest {

  private static final int BALANCERS = 12;
  private static final int UPSTREAMS = 30;

  /** Of the upstreams, the first are drained in the release, and the last start cold. */
  private static final int RELEASED = 6;

  private static final int COLD = 10;
  private static final int WARM_SLOTS = 16;
  private static final int COLD_SLOTS = 6;
  private static final int CLIENTS = 24;
  private static final int REQUESTS = Integer.getInteger("fleet.requests", 60);

  /** Clients that come for the burst only, and how many requests each sends without a pause. */
  private static final int BURST_CLIENTS = 24;

  private static final int BURST_REQUESTS = 8;
  private static final long PAUSE_MILLIS = 30;
  private static final long RETRY_DELAY_MILLIS = 100;
  private static final double DEADLINE_MILLIS = 4_000;

  /** How late after the deadline a response may be. */
  private static final double MAX_LATENESS_MILLIS = 500;

  private static final double DRAIN_GRACE_MILLIS = 250;

  /** For a new watch to begin and processes to be scheduled on a busy machine. */
  private static final double NOTIFICATION_SLACK_MILLIS = 750;

  private static final int SERVED_PERCENT = 50;

  private final EventLoop loop =
      (EventLoop)
          new MultiThreadIoEventLoopGroup(
                  1, new DefaultThreadFactory("upstreams", true), NioIoHandler.newFactory())
              .next();
  private final List<UpstreamStandIn> upstreams = new ArrayList<>();
  private final Queue<Outcome> outcomes = new ConcurrentLinkedQueue<>();
  private final Queue<Throwable> failures = new ConcurrentLinkedQueue<>();
  private final AtomicInteger requestsSent = new AtomicInteger();
  private final CountDownLatch third = new CountDownLatch(CLIENTS * REQUESTS / 3);

  private static String configuration(
      int position, InetSocketAddress listen, InetSocketAddress asked) {
    return Fleet.config(listen, asked, 7 + position, BALANCERS, 0, 1)
        .replace("\"position\":0", "\"position\":" + position)
        .replaceAll("\"deadline\":[0-9.]+", "\"deadline\":" + DEADLINE_MILLIS)
        .replaceAll("\"drainGrace\":[0-9.]+", "\"drainGrace\":" + DRAIN_GRACE_MILLIS)
        .replace(
            "\"services\":[",
            """
                        "services":[
                         {"name":"charge","aim":400.0,"deadline":%s,"worth":4.0,"lateValue":0.5,
                          "idempotency":"at_most_once","streamed":false},"""
                .formatted(DEADLINE_MILLIS));
  }

  private Entry entry(int number, long startedMillis) {
    return new Entry(number, 0, "up", startedMillis, upstreams.get(number).address());
  }

  /** Sends so many requests, and each once more, as a new one, if it was rejected or failed. */
  private Thread client(String name, InetSocketAddress balancer, int requests, long pause) {
    Thread thread =
        new Thread(
            () -> {
              try (ClientStandIn client =
                  new ClientStandIn(
                      balancer,
                      DEADLINE_MILLIS,
                      (int) (DEADLINE_MILLIS + 2 * MAX_LATENESS_MILLIS))) {
                for (int i = 0; i < requests; i++) {
                  Kind kind = Kind.values()[i % Kind.values().length];
                  if (send(client, kind, name + "-" + i).status() != 200) {
                    TimeUnit.MILLISECONDS.sleep(RETRY_DELAY_MILLIS);
                    send(client, kind, name + "-" + i + "-again");
                  }
                  third.countDown();
                  TimeUnit.MILLISECONDS.sleep(pause);
                }
              } catch (Exception | AssertionError e) {
                failures.add(e);
              }
            },
            name);
    thread.start();
    return thread;
  }

  private Outcome send(ClientStandIn client, Kind kind, String transaction) throws Exception {
    requestsSent.incrementAndGet();
    Outcome outcome = client.send(kind, transaction);
    outcomes.add(outcome);
    return outcome;
  }

  @Test
  void eachRequestHasOneResponseInTimeAndNoneGoesToDrainedUpstream() throws Exception {
    long now = System.currentTimeMillis();
    List<Entry> entries = new ArrayList<>();
    for (int i = 0; i < UPSTREAMS + RELEASED; i++) {
      boolean cold = i >= UPSTREAMS - COLD;
      upstreams.add(new UpstreamStandIn(loop, cold ? COLD_SLOTS : WARM_SLOTS));
      entries.add(entry(i, cold ? now : 0));
    }
    // One processor for all of them.
    String run =
        ServeCommand.fromClasses("-Xshare:auto").replaceFirst("^exec ", "exec taskset -c 0 ");
    List<Thread> clients = new ArrayList<>();
    List<BalancerProcess> balancers = List.of();
    long drainedAt;
    try (DiscoveryStandIn discovery =
        new DiscoveryStandIn(
            entries.subList(0, UPSTREAMS), new DiscoveryStandInTest.NoOpListener())) {
      InetSocketAddress asked = discovery.address(DiscoveryStandIn.REAL_BALANCERS);
      balancers =
          BalancerProcess.start(
              BALANCERS, run, (position, listen) -> configuration(position, listen, asked));
      for (int i = 0; i < CLIENTS; i++) {
        clients.add(
            client("c" + i, balancers.get(i % BALANCERS).address(), REQUESTS, PAUSE_MILLIS));
      }
      third.await();
      for (int i = 0; i < BURST_CLIENTS; i++) {
        clients.add(client("b" + i, balancers.get(i % BALANCERS).address(), BURST_REQUESTS, 0));
      }
      drainedAt = release(discovery, entries);
      for (Thread client : clients) {
        client.join();
      }
      for (BalancerProcess balancer : balancers) {
        balancer.checkAlive();
      }
    } finally {
      balancers.forEach(BalancerProcess::close);
      upstreams.forEach(UpstreamStandIn::close);
      loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }
    assertEquals(List.of(), List.copyOf(failures));
    checkResponses();
    checkReceived(drainedAt);
  }

  /** Replaces the first upstreams by new ones; returns when discovery had the change. */
  private static long release(DiscoveryStandIn discovery, List<Entry> entries) {
    List<Entry> changed = new ArrayList<>();
    for (int i = 0; i < RELEASED; i++) {
      changed.add(entries.get(i).with("draining", 0));
      changed.add(entries.get(UPSTREAMS + i).with("up", System.currentTimeMillis()));
    }
    discovery.change(changed);
    return System.nanoTime();
  }

  /** Each request has one response in time; that of a 200 comes from an upstream. */
  private void checkResponses() {
    assertEquals(requestsSent.get(), outcomes.size());
    int served = 0;
    for (Outcome outcome : outcomes) {
      assertTrue(Set.of(200, 500, 502, 503, 504).contains(outcome.status()), outcome.toString());
      assertTrue(outcome.millis() <= DEADLINE_MILLIS + MAX_LATENESS_MILLIS, "late: " + outcome);
      if (outcome.status() == 200) {
        assertEquals(UpstreamStandIn.responseTo(outcome.transaction()), outcome.body());
        served++;
      }
    }
    assertTrue(
        served * 100 >= outcomes.size() * SERVED_PERCENT,
        served + " of " + outcomes.size() + " were served");
  }

  /** Upstreams received only what clients sent, and nothing after they were drained. */
  private void checkReceived(long drainedAt) {
    Map<String, Outcome> sent = new HashMap<>();
    outcomes.forEach(outcome -> sent.put(outcome.transaction(), outcome));
    Map<String, Integer> runs = new HashMap<>();
    double last = 0;
    int joined = 0;
    for (int i = 0; i < upstreams.size(); i++) {
      for (Received received : upstreams.get(i).received()) {
        checkUnchanged(received, sent.get(received.transaction()));
        runs.merge(received.transaction(), received.ran() ? 1 : 0, Integer::sum);
        double afterDrain = (received.at() - drainedAt) / ClientStandIn.NANOS_PER_MS;
        last = Math.max(last, afterDrain);
        assertTrue(
            i >= RELEASED || afterDrain <= DRAIN_GRACE_MILLIS + NOTIFICATION_SLACK_MILLIS,
            afterDrain + " ms after it began to drain upstream " + i + " got " + received);
        joined += i >= UPSTREAMS ? 1 : 0;
      }
    }
    assertTrue(
        last > DRAIN_GRACE_MILLIS + NOTIFICATION_SLACK_MILLIS, "nothing came after the grace");
    assertTrue(joined > 0, "no upstream that joined got anything");
    for (Outcome outcome : outcomes) {
      int ran = runs.getOrDefault(outcome.transaction(), 0);
      assertTrue(outcome.status() != 200 || ran > 0, "nobody ran " + outcome);
      assertTrue(outcome.kind() != Kind.CHARGE || ran <= 1, ran + " times ran " + outcome);
    }
  }

  private static void checkUnchanged(Received received, Outcome outcome) {
    assertTrue(outcome != null, "nobody sent " + received);
    assertEquals(outcome.kind() == Kind.READ ? "" : received.transaction(), received.body());
    assertEquals(
        outcome.kind() == Kind.WRITE ? "key-" + received.transaction() : null,
        received.idempotencyKey());
  }
}
