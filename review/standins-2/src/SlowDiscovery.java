import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Discovery has to be asked (subscribe) and is crowded: every answer comes some seconds late. An
 * upstream begins to drain meanwhile, and stays up.
 */
final class SlowDiscovery {

  private static final double ANSWER_DELAY = 3.5;

  /** From PROTOCOL and STANDING: told 6 s later at the latest; then the grace; 50 ms on sockets. */
  private static final double LATEST_SEND = 6 + 0.25 + 0.05;

  private static final int CLIENTS = 4;
  private static final double SECONDS_AFTER_DRAIN = 30;

  public static void main(String[] args) throws Exception {
    Rig.run(args, SlowDiscovery::run);
  }

  private static void run(Rig rig) throws Exception {
    Rig.Discovery discovery = rig.new Discovery();
    double[] drainedAt = {Double.MAX_VALUE};
    AtomicInteger late = new AtomicInteger();
    AtomicInteger served = new AtomicInteger();
    double[] lastSend = {0};
    int drainingPort = 0;
    for (int i = 0; i < 4; i++) {
      boolean drains = i == 0;
      Rig.Server upstream =
          rig.upstream(
              (request, socket) -> {
                double since = rig.seconds() - drainedAt[0];
                if (drains && since > 0) {
                  lastSend[0] = since;
                  if (since > LATEST_SEND && late.incrementAndGet() <= 20) {
                    rig.record(
                        String.format(
                            "upstream s-0, draining: %s sent %.2f s after discovery had it",
                            request.id(), since));
                  }
                  socket
                      .getOutputStream()
                      .write(Rig.bytes(Rig.response(503, "", "X-Turned-Away: 1")));
                  return;
                }
                Rig.sleep(0.05);
                socket
                    .getOutputStream()
                    .write(Rig.bytes(Rig.response(200, "answer to " + request.id())));
              });
      if (drains) {
        drainingPort = upstream.port();
      }
      discovery.set("s-" + i, Rig.entry("s-" + i, upstream.port(), "up", 0), false);
    }
    Rig.Settings settings = new Rig.Settings();
    settings.registryMode = "subscribe";
    Rig.Balancer balancer = rig.startBalancer(settings, discovery);
    double end = rig.seconds() + 6 + SECONDS_AFTER_DRAIN;
    for (int i = 0; i < CLIENTS; i++) {
      rig.thread(() -> client(rig, balancer.port, end, served));
    }
    Rig.sleep(3);
    if (rig.trouble) {
      discovery.delay = ANSWER_DELAY;
      rig.record("discovery answers " + ANSWER_DELAY + " s late from now on");
    }
    Rig.sleep(3);
    discovery.set("s-0", Rig.entry("s-0", drainingPort, "draining", 0), false);
    drainedAt[0] = rig.seconds();
    rig.record("discovery has it that s-0 drains");
    Rig.sleep(SECONDS_AFTER_DRAIN);
    rig.record(
        String.format(
            "served %d; calls that discovery answered %d; last send to s-0 %.2f s after; sends over %.2f s after: %d",
            served.get(), discovery.answered.get(), lastSend[0], LATEST_SEND, late.get()));
    rig.finish(
        late.get() == 0 ? Rig.KEPT : Rig.BROKEN, late + " requests were sent to a draining upstream");
  }

  private static void client(Rig rig, int port, double end, AtomicInteger served)
      throws IOException {
    Rig.Client client = new Rig.Client(port);
    while (rig.seconds() < end) {
      client.write(Rig.request(Rig.newId(), "page-view", 6, ""));
      Rig.Message answer = client.read(8);
      if (answer == null) {
        client = new Rig.Client(port);
      } else if (answer.status() == 200) {
        served.incrementAndGet();
      }
      Rig.sleep(0.1);
    }
  }
}
