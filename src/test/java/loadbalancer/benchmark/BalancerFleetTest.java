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
import loadbalancer.benchmark.FakeClient.Outcome;
import loadbalancer.benchmark.FakeClient.RequestClassName;
import loadbalancer.benchmark.FakeUpstream.Received;
import loadbalancer.benchmark.SyntheticDeployment.EndpointEntry;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Several balancer processes share one processor and balance over upstreams, some of which have
 * just started, while some upstreams are replaced, as in a rolling release, and a burst of requests
 * arrives. Checks the response to each request and which upstreams received it. {@code
 * -Dfleet.requests=N} sets how many requests each regular client sends.
 */
@Timeout(value = 180, unit = TimeUnit.SECONDS)
class BalancerFleetTest {

  private static final int BALANCERS = 12;
  private static final int UPSTREAMS = 30;

  /** How many of the first upstreams are drained, and replaced by as many new ones. */
  private static final int REPLACED_UPSTREAMS = 6;

  /** How many of the last upstreams have just started and serve fewer requests at a time. */
  private static final int COLD_UPSTREAMS = 10;

  /** How many requests an upstream serves at a time. */
  private static final int WARM_CONCURRENCY = 16;

  private static final int COLD_CONCURRENCY = 6;
  private static final int CLIENTS = 24;
  private static final int REQUESTS = Integer.getInteger("fleet.requests", 60);

  /** Additional clients that make up the burst. */
  private static final int BURST_CLIENTS = 24;

  /** How many requests each client of the burst sends, without a pause between them. */
  private static final int BURST_REQUESTS = 8;

  private static final long PAUSE_MILLIS = 30;
  private static final long RETRY_DELAY_MILLIS = 100;
  private static final double DEADLINE_MILLIS = 4_000;

  /** How long after the deadline a response may arrive. */
  private static final double MAX_LATENESS_MILLIS = 500;

  private static final double DRAIN_GRACE_MILLIS = 250;

  /**
   * Allowance for the time until balancers receive a change: a watch may have to be restarted, and
   * on a busy machine the processes may have to wait for the processor.
   */
  private static final double NOTIFICATION_SLACK_MILLIS = 750;

  private static final int MIN_SERVED_PERCENT = 50;

  private final EventLoop loop =
      (EventLoop)
          new MultiThreadIoEventLoopGroup(
                  1, new DefaultThreadFactory("upstreams", true), NioIoHandler.newFactory())
              .next();
  private final List<FakeUpstream> upstreams = new ArrayList<>();
  private final Queue<Outcome> outcomes = new ConcurrentLinkedQueue<>();
  private final Queue<Throwable> failures = new ConcurrentLinkedQueue<>();
  private final AtomicInteger requestsSent = new AtomicInteger();

  /** Counts down the first third of the regular clients' requests; the burst begins after it. */
  private final CountDownLatch firstThird = new CountDownLatch(CLIENTS * REQUESTS / 3);

  private static String configuration(
      int balancerIndex, InetSocketAddress listenAddress, InetSocketAddress discoveryAddress) {
    return SyntheticDeployment.configJson(
            listenAddress, discoveryAddress, 7 + balancerIndex, BALANCERS, 0, 1)
        .replace("\"position\":0", "\"position\":" + balancerIndex)
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

  private EndpointEntry entry(int number, long startedMillis) {
    return new EndpointEntry(number, 0, "up", startedMillis, upstreams.get(number).address());
  }

  /**
   * Starts a client that sends requests one after another. After one that was rejected or failed it
   * sends another of the same class with a transaction ID of its own.
   */
  private Thread startClient(
      String name, InetSocketAddress balancer, int requestCount, long pauseMillis) {
    Thread thread =
        new Thread(
            () -> {
              try (FakeClient client =
                  new FakeClient(
                      balancer,
                      DEADLINE_MILLIS,
                      (int) (DEADLINE_MILLIS + 2 * MAX_LATENESS_MILLIS))) {
                for (int i = 0; i < requestCount; i++) {
                  RequestClassName requestClass =
                      RequestClassName.values()[i % RequestClassName.values().length];
                  if (send(client, requestClass, name + "-" + i).status() != 200) {
                    TimeUnit.MILLISECONDS.sleep(RETRY_DELAY_MILLIS);
                    send(client, requestClass, name + "-" + i + "-again");
                  }
                  firstThird.countDown();
                  TimeUnit.MILLISECONDS.sleep(pauseMillis);
                }
              } catch (Exception | AssertionError e) {
                failures.add(e);
              }
            },
            name);
    thread.start();
    return thread;
  }

  private Outcome send(FakeClient client, RequestClassName requestClass, String transactionId)
      throws Exception {
    requestsSent.incrementAndGet();
    Outcome outcome = client.send(requestClass, transactionId);
    outcomes.add(outcome);
    return outcome;
  }

  @Test
  void eachRequestHasOneResponseInTimeAndNoneGoesToDrainedUpstream() throws Exception {
    long now = System.currentTimeMillis();
    List<EndpointEntry> entries = new ArrayList<>();
    for (int i = 0; i < UPSTREAMS + REPLACED_UPSTREAMS; i++) {
      boolean cold = i >= UPSTREAMS - COLD_UPSTREAMS;
      upstreams.add(new FakeUpstream(loop, cold ? COLD_CONCURRENCY : WARM_CONCURRENCY));
      entries.add(entry(i, cold ? now : 0));
    }
    // All balancers run on one processor.
    String runCommand =
        ServeCommand.fromClasses("-Xshare:auto").replaceFirst("^exec ", "exec taskset -c 0 ");
    List<Thread> clients = new ArrayList<>();
    List<BalancerProcess> balancers = List.of();
    long drainNanos;
    try (FakeDiscoveryService discovery =
        new FakeDiscoveryService(
            entries.subList(0, UPSTREAMS), new FakeDiscoveryServiceTest.NoOpListener())) {
      InetSocketAddress discoveryAddress = discovery.address(FakeDiscoveryService.REAL_BALANCERS);
      balancers =
          BalancerProcess.start(
              BALANCERS,
              runCommand,
              (balancerIndex, listenAddress) ->
                  configuration(balancerIndex, listenAddress, discoveryAddress));
      for (int i = 0; i < CLIENTS; i++) {
        clients.add(
            startClient("c" + i, balancers.get(i % BALANCERS).address(), REQUESTS, PAUSE_MILLIS));
      }
      firstThird.await();
      for (int i = 0; i < BURST_CLIENTS; i++) {
        clients.add(
            startClient("b" + i, balancers.get(i % BALANCERS).address(), BURST_REQUESTS, 0));
      }
      drainNanos = replaceUpstreams(discovery, entries);
      for (Thread client : clients) {
        client.join();
      }
      for (BalancerProcess balancer : balancers) {
        balancer.checkAlive();
      }
    } finally {
      balancers.forEach(BalancerProcess::close);
      upstreams.forEach(FakeUpstream::close);
      loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }
    assertEquals(List.of(), List.copyOf(failures));
    checkResponses();
    checkReceived(drainNanos);
  }

  /**
   * Replaces the first upstreams by new ones; returns the {@link System#nanoTime} just after
   * discovery received the change.
   */
  private static long replaceUpstreams(
      FakeDiscoveryService discovery, List<EndpointEntry> entries) {
    List<EndpointEntry> changed = new ArrayList<>();
    for (int i = 0; i < REPLACED_UPSTREAMS; i++) {
      changed.add(entries.get(i).withState("draining", 0));
      changed.add(entries.get(UPSTREAMS + i).withState("up", System.currentTimeMillis()));
    }
    discovery.change(changed);
    return System.nanoTime();
  }

  /** Each request got one response in time; a response with status 200 comes from an upstream. */
  private void checkResponses() {
    assertEquals(requestsSent.get(), outcomes.size());
    int served = 0;
    for (Outcome outcome : outcomes) {
      assertTrue(Set.of(200, 500, 502, 503, 504).contains(outcome.status()), outcome.toString());
      assertTrue(
          outcome.elapsedMillis() <= DEADLINE_MILLIS + MAX_LATENESS_MILLIS,
          "more than " + MAX_LATENESS_MILLIS + " ms after the deadline: " + outcome);
      if (outcome.status() == 200) {
        assertEquals(FakeUpstream.responseTo(outcome.transactionId()), outcome.body());
        served++;
      }
    }
    assertTrue(
        served * 100 >= outcomes.size() * MIN_SERVED_PERCENT,
        served
            + " of "
            + outcomes.size()
            + " requests were served, at least "
            + MIN_SERVED_PERCENT
            + "% are expected");
  }

  /**
   * Upstreams received requests as clients had sent them and ran no request of the at-most-once
   * class twice. Drained ones received none after the drain grace period and the allowance for the
   * notification of the balancers, but others did.
   */
  private void checkReceived(long drainNanos) {
    Map<String, Outcome> sentByTransaction = new HashMap<>();
    outcomes.forEach(outcome -> sentByTransaction.put(outcome.transactionId(), outcome));
    Map<String, Integer> runsByTransaction = new HashMap<>();
    double lastAfterDrainMillis = 0;
    int receivedByNewUpstreams = 0;
    for (int i = 0; i < upstreams.size(); i++) {
      for (Received received : upstreams.get(i).received()) {
        checkUnchanged(received, sentByTransaction.get(received.transactionId()));
        runsByTransaction.merge(received.transactionId(), received.ran() ? 1 : 0, Integer::sum);
        double afterDrainMillis = (received.atNanos() - drainNanos) / FakeClient.NANOS_PER_MS;
        lastAfterDrainMillis = Math.max(lastAfterDrainMillis, afterDrainMillis);
        assertTrue(
            i >= REPLACED_UPSTREAMS
                || afterDrainMillis <= DRAIN_GRACE_MILLIS + NOTIFICATION_SLACK_MILLIS,
            "drained upstream "
                + i
                + " received a request "
                + afterDrainMillis
                + " ms after the change: "
                + received);
        receivedByNewUpstreams += i >= UPSTREAMS ? 1 : 0;
      }
    }
    assertTrue(
        lastAfterDrainMillis > DRAIN_GRACE_MILLIS + NOTIFICATION_SLACK_MILLIS,
        "no upstream received a request after the drain grace period");
    assertTrue(receivedByNewUpstreams > 0, "no new upstream received a request");
    for (Outcome outcome : outcomes) {
      int timesRun = runsByTransaction.getOrDefault(outcome.transactionId(), 0);
      assertTrue(outcome.status() != 200 || timesRun > 0, "no upstream ran " + outcome);
      assertTrue(
          outcome.requestClass() != RequestClassName.CHARGE || timesRun <= 1,
          "upstreams ran a request of the at-most-once class " + timesRun + " times: " + outcome);
    }
  }

  private static void checkUnchanged(Received received, Outcome outcome) {
    assertTrue(outcome != null, "no client sent " + received);
    assertEquals(
        outcome.requestClass() == RequestClassName.READ ? "" : received.transactionId(),
        received.body());
    assertEquals(
        outcome.requestClass() == RequestClassName.WRITE ? "key-" + received.transactionId() : null,
        received.idempotencyKey());
  }
}
