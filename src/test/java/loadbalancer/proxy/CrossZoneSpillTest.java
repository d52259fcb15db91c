package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.concurrent.LinkedBlockingQueue;
import loadbalancer.policy.LatencyWeightedPolicy;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The weights of the policy over sockets: where requests go while an endpoint queues them. */
@Timeout(120)
class CrossZoneSpillTest {

  private static final int REQUESTS = 100;

  /** A latency objective so long that no request is late on a slow machine. */
  private static final String LONG_OBJECTIVE = "\"aim\":60000.0";

  /** Reports each request that an upstream receives and never responds. */
  private static void receiveWithoutResponse(
      ScriptedListener upstream, int number, LinkedBlockingQueue<Integer> receivedBy) {
    daemon(
        () -> {
          while (true) {
            HttpPeer peer = upstream.accept();
            daemon(
                () -> {
                  while (peer.read() != null) {
                    receivedBy.add(number);
                  }
                });
          }
        });
  }

  private interface Task {
    void run() throws IOException, InterruptedException;
  }

  private static void daemon(Task task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (IOException | InterruptedException e) {
                // The test is over.
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
      fixture.aim = LONG_OBJECTIVE;
      // The first tier would reject requests that are expected to be late.
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
      // The expected latency starts at a fifth of the objective, so 25 queued requests fill it.
      assertTrue(received[0] <= 55, received[0] + " requests queue in the own zone");
      assertTrue(
          received[0] >= REQUESTS / 4,
          received[0] + " requests in spite of the cross-zone penalty");
    }
  }

  @Test
  void endpointThatFailsFastIsNotPreferredAsIdle() throws Exception {
    LinkedBlockingQueue<Integer> receivedBy = new LinkedBlockingQueue<>();
    try (ProxyFixture fixture = new ProxyFixture(6)) {
      fixture.endpointsInOwnZone = 1;
      fixture.aim = LONG_OBJECTIVE;
      // The first tier would reject requests that are expected to be late.
      fixture.tier = 1;
      fixture.start(LatencyWeightedPolicy::new);
      for (int i = 1; i < fixture.upstreams.size(); i++) {
        receiveWithoutResponse(fixture.upstreams.get(i), i, receivedBy);
      }
      daemon(
          () -> {
            while (true) {
              HttpPeer peer = fixture.upstreams.get(0).accept();
              daemon(
                  () -> {
                    while (peer.read() != null) {
                      peer.write("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n");
                      receivedBy.add(0);
                    }
                  });
            }
          });
      int failed = 0;
      for (int i = 0; i < REQUESTS; i++) {
        HttpPeer client = fixture.connectClient();
        client.write(ProxyFixture.atMostOnceRequest("f" + i, "x"));
        if (ScriptedPolicy.takeNext(receivedBy) == 0) {
          failed++;
          // The policy has been notified once the client has its response.
          client.read();
        }
      }
      assertTrue(failed <= REQUESTS / 10, failed + " requests failed at the faulty endpoint");
    }
  }
}
