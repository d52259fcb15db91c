import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Peers send GET /_health and never read the answers. A peer sends no faster than the balancer
 * answers: after every few requests it asks once on a second connection, and waits for that answer.
 * Without the disruption the peers read all answers.
 */
final class UnreadAnswers {

  private static final int PEERS = 3;
  private static final int REQUESTS_AT_ONCE = 5;
  private static final long MAX_BYTES_OF_A_PEER = 60_000_000;
  private static final double MAX_SECONDS = 100;
  private static final String HEALTH = "GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n";

  public static void main(String[] args) throws Exception {
    Rig.run(args, UnreadAnswers::run);
  }

  private static void run(Rig rig) throws Exception {
    Rig.Discovery discovery = rig.new Discovery();
    Rig.Server upstream =
        rig.upstream(
            (request, socket) -> {
              Rig.sleep(0.05);
              socket
                  .getOutputStream()
                  .write(Rig.bytes(Rig.response(200, "answer to " + request.id())));
            });
    discovery.set("s-0", Rig.entry("s-0", upstream.port(), "up", 0), false);
    Rig.Settings settings = new Rig.Settings();
    Rig.Balancer balancer = rig.startBalancer(settings, discovery);
    double end = rig.seconds() + MAX_SECONDS;
    AtomicLong[] sent = new AtomicLong[PEERS];
    for (int i = 0; i < PEERS; i++) {
      AtomicLong sentByPeer = new AtomicLong();
      sent[i] = sentByPeer;
      int number = i;
      rig.thread(() -> peer(rig, balancer.port, number, sentByPeer, end));
    }
    AtomicInteger served = new AtomicInteger();
    rig.thread(() -> soundClient(rig, balancer.port, served, end));
    double nextReport = 0;
    double maxResident = 0;
    while (rig.seconds() < end && balancer.process.isAlive()) {
      Rig.sleep(0.1);
      maxResident = Math.max(maxResident, balancer.residentMb());
      if (rig.seconds() > nextReport) {
        nextReport = rig.seconds() + 2;
        StringBuilder line = new StringBuilder("bytes sent by each peer:");
        for (AtomicLong bytes : sent) {
          line.append(' ').append(bytes);
        }
        rig.record(
            line + "; resident MB " + Math.round(balancer.residentMb()) + " of " + settings.memoryMb
                + "; sound client served " + served);
      }
    }
    boolean alive = balancer.process.isAlive();
    Rig.sleep(0.5);
    rig.record("largest resident MB " + Math.round(maxResident));
    if (alive) {
      rig.finish(Rig.KEPT, "the balancer is alive after " + MAX_SECONDS + " s");
    }
    rig.finish(
        Rig.BROKEN, "the balancer ended by itself with status " + balancer.process.exitValue());
  }

  private static void peer(Rig rig, int port, int number, AtomicLong sent, double end)
      throws IOException {
    Rig.Client flood = rig.add(new Rig.Client(port, rig.trouble ? 4096 : 0));
    Rig.Client pace = rig.add(new Rig.Client(port));
    byte[] requests = Rig.bytes(HEALTH.repeat(REQUESTS_AT_ONCE));
    try {
      while (rig.seconds() < end && sent.get() < MAX_BYTES_OF_A_PEER) {
        flood.out.write(requests);
        sent.addAndGet(requests.length);
        for (int i = 0; i < REQUESTS_AT_ONCE && !rig.trouble; i++) {
          flood.read(10);
        }
        pace.write(HEALTH);
        pace.read(60);
      }
    } catch (IOException e) {
      rig.record("peer " + number + " ends: " + e.getMessage());
      return;
    }
    rig.record("peer " + number + " has sent all");
  }

  /** Sends a request a second, and waits for each answer. */
  private static void soundClient(Rig rig, int port, AtomicInteger served, double end) {
    while (rig.seconds() < end) {
      String id = Rig.newId();
      try (Rig.Client client = new Rig.Client(port)) {
        client.write(Rig.request(id, "proof-sign", 6, "body"));
        Rig.Message answer = client.read(10);
        if (answer != null && answer.status() == 200) {
          served.incrementAndGet();
        } else {
          rig.record("sound client: " + id + " " + (answer == null ? "closed" : answer.firstLine()));
        }
      } catch (IOException e) {
        rig.record("sound client: " + id + " " + e.getMessage());
      }
      Rig.sleep(1);
    }
  }
}
