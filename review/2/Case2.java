import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Clients that use at most a third of the balancer's descriptors send requests at the same time,
 * all with the longest body that the pages allow, and get answers of that length. All requests and
 * answers are valid; the disruption is only that the answers come in pieces.
 */
final class Case2 {

  private static final int SOCKETS = 1_024;

  /** At most a third of the descriptors. */
  private static final int CLIENTS = SOCKETS / 3;

  /** How many requests each client sends, one after another. */
  private static final int REQUESTS = 4;

  private static final int UPSTREAMS = 40;
  private static final int BODY_BYTES = 64 * 1_024;

  /** Clients give a try up after 50% to 100% of the deadline. */
  private static final double DEADLINE_SECONDS = 2.4;

  private static final double UPSTREAM_MILLIS = 300;

  /** An answer comes in pieces: most of it in the first, 100 bytes in each of the others. */
  private static final int SMALL_PIECES = 4;

  private static final int SMALL_PIECE_BYTES = 100;
  private static final double PIECE_INTERVAL_MILLIS = 250;

  public static void main(String[] args) {
    Deployment.main(Case2::run);
  }

  private static boolean run(Deployment deployment) throws Exception {
    deployment.values.put("sockets", Integer.toString(SOCKETS));
    deployment.values.put("deadline", Double.toString(DEADLINE_SECONDS * 1_000));
    deployment.values.put("aim", "2000.0");
    String body = "b".repeat(BODY_BYTES);
    List<Deployment.Upstream> upstreams = new ArrayList<>();
    for (int i = 0; i < UPSTREAMS; i++) {
      upstreams.add(deployment.upstream("s-" + i, (request, peer) -> answer(peer, body)));
    }
    Deployment.Agent agent = deployment.agent(upstreams);
    Deployment.Balancer balancer = deployment.balancer(agent, upstreams);
    balancer.awaitReady();
    Deployment.sleep(500);

    Traffic traffic = new Traffic(deployment, balancer);
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      String name = "c" + i;
      boolean keyed = i % 2 == 0;
      double remaining = DEADLINE_SECONDS * (0.5 + 0.5 * i / CLIENTS);
      Runnable requests =
          () -> {
            for (int n = 0; n < REQUESTS; n++) {
              String id = name + "-" + n;
              traffic.request(
                  id,
                  keyed
                      ? Deployment.order(id, "key-" + id, remaining, body)
                      : Deployment.sign(id, remaining, body),
                  remaining);
            }
          };
      clients.add(new Thread(null, requests, "client", 256 * 1_024));
    }
    clients.forEach(Thread::start);
    for (Thread client : clients) {
      client.join();
    }
    deployment.verdict("requests of " + CLIENTS + " clients: " + traffic.counts());
    double endedAt = deployment.now();
    boolean healthy = isHealthy(deployment, balancer);
    deployment.verdict(
        "then GET /_health was %s after %.0f ms; peak memory of the balancer: %d MB of 192"
            .formatted(
                healthy ? "answered" : "not answered",
                deployment.now() - endedAt,
                balancer.statusKb("VmHWM") / 1_024));
    return traffic.lost() == 0;
  }

  private static void answer(Deployment.Peer peer, String body) {
    String answer = Deployment.ok(body);
    Deployment.sleep(UPSTREAM_MILLIS);
    if (!Deployment.TROUBLE) {
      peer.write(answer);
      return;
    }
    int written = answer.length() - SMALL_PIECES * SMALL_PIECE_BYTES;
    peer.write(answer.substring(0, written));
    for (int i = 0; i < SMALL_PIECES; i++) {
      Deployment.sleep(PIECE_INTERVAL_MILLIS);
      peer.write(answer.substring(written, written + SMALL_PIECE_BYTES));
      written += SMALL_PIECE_BYTES;
    }
  }

  private static boolean isHealthy(Deployment deployment, Deployment.Balancer balancer) {
    try (Deployment.Client client = deployment.client(balancer)) {
      client.send("GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n");
      return client.receive(20_000) != null;
    } catch (IOException e) {
      return false;
    }
  }
}
