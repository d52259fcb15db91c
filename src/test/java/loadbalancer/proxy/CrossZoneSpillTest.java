package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.concurrent.LinkedBlockingQueue;
import loadbalancer.policy.LatencyWeightedPolicy;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Where the policy sends requests while an endpoint queues them or immediately fails them. */
@Timeout(120)
class CrossZoneSpillTest {

  private static final int REQUESTS = 100;

  /** A latency objective so long that no request is late on a slow machine. */
  private static final String LONG_OBJECTIVE = "\"aim\":60000.0";

  /** Adds an upstream's index to the queue for each request that it receives; never responds. */
  private static void receiveWithoutResponse(
      ScriptedListener upstream, int upstreamIndex, LinkedBlockingQueue<Integer> receivedBy) {
    startDaemonThread(
        () -> {
          while (true) {
            HttpPeer peer = upstream.accept();
            startDaemonThread(
                () -> {
                  while (peer.read() != null) {
                    receivedBy.add(upstreamIndex);
                  }
                });
          }
        });
  }

  private interface Task {
    void run() throws IOException, InterruptedException;
  }

  private static void startDaemonThread(Task task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (IOException | InterruptedException e) {
                // The test has ended and closed the sockets.
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  @Test
  void queueInTheOwnZoneSendsRequestsToAnotherZoneBeforeTheyAreLate() throws Exception {
    LinkedBlockingQueue<Integer> receivedBy = new LinkedBlockingQueue<>();
    try (ProxyFixture fixture = new ProxyFixture(4)) {
      fixture.endpointsInOwnZone = 1;
      fixture.latencyObjectiveMember = LONG_OBJECTIVE;
      // In tier 0 the policy would reject requests that it expects to be late.
      fixture.tier = 1;
      fixture.start(LatencyWeightedPolicy::new);
      for (int i = 0; i < fixture.upstreams.size(); i++) {
        receiveWithoutResponse(fixture.upstreams.get(i), i, receivedBy);
      }
      int[] received = new int[fixture.upstreams.size()];
      for (int i = 0; i < REQUESTS; i++) {
        fixture.connectClient().write(ProxyFixture.atMostOnceRequest("c" + i, "x"));
        received[ScriptedPolicy.takeNext(receivedBy)]++;
      }
      // The expected latency starts at a fifth of the objective, and the policy assumes that an
      // endpoint serves 5 requests at a time. So 25 requests are expected to take the objective.
      assertTrue(
          received[0] <= 55,
          received[0] + " of " + REQUESTS + " requests were sent to the own zone, over 55");
      // The cross-zone penalty keeps part of the requests in the own zone in spite of the queue.
      assertTrue(
          received[0] >= REQUESTS / 4,
          received[0]
              + " of "
              + REQUESTS
              + " requests were sent to the own zone, less than a quarter");
    }
  }

  @Test
  void endpointThatFailsFastIsNotPreferredAsIdle() throws Exception {
    LinkedBlockingQueue<Integer> receivedBy = new LinkedBlockingQueue<>();
    try (ProxyFixture fixture = new ProxyFixture(6)) {
      fixture.endpointsInOwnZone = 1;
      fixture.latencyObjectiveMember = LONG_OBJECTIVE;
      // In tier 0 the policy would reject requests that it expects to be late.
      fixture.tier = 1;
      fixture.start(LatencyWeightedPolicy::new);
      for (int i = 1; i < fixture.upstreams.size(); i++) {
        receiveWithoutResponse(fixture.upstreams.get(i), i, receivedBy);
      }
      startDaemonThread(
          () -> {
            while (true) {
              HttpPeer peer = fixture.upstreams.get(0).accept();
              startDaemonThread(
                  () -> {
                    while (peer.read() != null) {
                      peer.write("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n");
                      receivedBy.add(0);
                    }
                  });
            }
          });
      int failedCount = 0;
      for (int i = 0; i < REQUESTS; i++) {
        HttpPeer client = fixture.connectClient();
        client.write(ProxyFixture.atMostOnceRequest("f" + i, "x"));
        if (ScriptedPolicy.takeNext(receivedBy) == 0) {
          failedCount++;
          // When the client has its response, the policy has been notified of the failure.
          client.read();
        }
      }
      assertTrue(
          failedCount <= REQUESTS / 10,
          failedCount + " of " + REQUESTS + " requests were sent to the failing endpoint");
    }
  }
}
