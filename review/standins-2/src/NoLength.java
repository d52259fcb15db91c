import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Upstreams send one in three answers with no length: HTTP/1.1 200 and a body that the end of the
 * connection ends. The answers come whole: nothing is reset, and the upstream closes only after the
 * balancer has closed its side.
 */
final class NoLength {

  private static final int UPSTREAMS = 4;
  private static final int REQUESTS = 90;
  private static final String[] CLASSES = {"proof-sign", "copy-order", "page-view"};

  public static void main(String[] args) throws Exception {
    Rig.run(args, NoLength::run);
  }

  private static void run(Rig rig) throws Exception {
    Rig.Discovery discovery = rig.new Discovery();
    Set<String> ranFor = ConcurrentHashMap.newKeySet();
    Set<String> withoutLength = ConcurrentHashMap.newKeySet();
    int[] runs = {0};
    for (int i = 0; i < UPSTREAMS; i++) {
      Rig.Server upstream =
          rig.upstream(
              (request, socket) -> {
                int run;
                synchronized (runs) {
                  run = ++runs[0];
                }
                boolean noLength = rig.trouble && run % 3 == 0;
                ranFor.add(request.id());
                String body = "answer " + run + " to " + request.id();
                Rig.sleep(0.02);
                if (!noLength) {
                  socket.getOutputStream().write(Rig.bytes(Rig.response(200, body)));
                  return;
                }
                socket
                    .getOutputStream()
                    .write(Rig.bytes("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body));
                socket.shutdownOutput();
                socket.setSoTimeout(5000);
                if (socket.getInputStream().read() < 0) {
                  withoutLength.add(body);
                }
                rig.record("upstream: " + request.firstLine() + " run and answered with no length");
                socket.close();
              });
      discovery.set("s-" + i, Rig.entry("s-" + i, upstream.port(), "up", 0), false);
    }
    Rig.Balancer balancer = rig.startBalancer(new Rig.Settings(), discovery);
    int served = 0;
    Set<String> received = ConcurrentHashMap.newKeySet();
    int ranAndFailed = 0;
    Rig.Client client = new Rig.Client(balancer.port);
    for (int i = 0; i < REQUESTS; i++) {
      String id = Rig.newId();
      String lane = CLASSES[(i / 3) % CLASSES.length];
      client.write(Rig.request(id, lane, 6, "pages of " + id));
      Rig.Message answer = client.read(8);
      if (answer == null) {
        rig.finish(Rig.COULD_NOT_RUN, "the balancer closed the connection under a request");
      }
      boolean whole = answer.status() == 200 && answer.text().endsWith(" to " + id);
      served += whole ? 1 : 0;
      if (whole) {
        received.add(answer.text());
      }
      ranAndFailed += !whole && ranFor.contains(id) ? 1 : 0;
      rig.record("client: " + lane + " " + id + " answered " + answer.status());
      if ("close".equalsIgnoreCase(answer.headers().get("connection"))) {
        client.close();
        client = new Rig.Client(balancer.port);
      }
    }
    Rig.sleep(0.2);
    long forwarded = withoutLength.stream().filter(received::contains).count();
    rig.record(
        "served " + served + " of " + REQUESTS + "; run at an upstream but failed " + ranAndFailed
            + "; whole answers with no length " + withoutLength.size() + ", forwarded " + forwarded);
    if (rig.trouble && withoutLength.isEmpty()) {
      rig.finish(Rig.COULD_NOT_RUN, "no answer with no length came whole");
    }
    boolean broken = rig.trouble ? 2 * forwarded < withoutLength.size() : served < REQUESTS;
    rig.finish(
        broken ? Rig.BROKEN : Rig.KEPT,
        forwarded + " of " + withoutLength.size() + " whole answers with no length were forwarded");
  }
}
