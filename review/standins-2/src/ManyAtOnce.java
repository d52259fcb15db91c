import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Each client sends a request and, without waiting for its answer, eleven more at once on the same
 * connection, and reads the answers. Without the disruption the clients send the same requests one
 * at a time.
 */
final class ManyAtOnce {

  private static final int CLIENTS = 20;
  private static final int AT_ONCE = 12;
  private static final int BODY_BYTES = 60_000;
  private static final double WORK_SECONDS = 0.3;
  private static final double PAUSE_AFTER_FIRST = 0.15;
  private static final double REMAINING = 6;

  public static void main(String[] args) throws Exception {
    Rig.run(args, ManyAtOnce::run);
  }

  private static void run(Rig rig) throws Exception {
    Rig.Discovery discovery = rig.new Discovery();
    Set<String> ran = ConcurrentHashMap.newKeySet();
    for (int i = 0; i < 4; i++) {
      Rig.Server upstream =
          rig.upstream(
              (request, socket) -> {
                ran.add(request.id());
                rig.record("upstream: run " + request.id());
                Rig.sleep(WORK_SECONDS);
                socket
                    .getOutputStream()
                    .write(Rig.bytes(Rig.response(200, "answer to " + request.id())));
              });
      discovery.set("s-" + i, Rig.entry("s-" + i, upstream.port(), "up", 0), false);
    }
    Rig.Settings settings = new Rig.Settings();
    settings.memoryMb = 192;
    Rig.Balancer balancer = rig.startBalancer(settings, discovery);
    AtomicInteger answered = new AtomicInteger();
    AtomicInteger lost = new AtomicInteger();
    List<Thread> clients = new ArrayList<>();
    CountDownLatch connected = new CountDownLatch(CLIENTS);
    for (int i = 0; i < CLIENTS; i++) {
      clients.add(rig.thread(() -> client(rig, balancer.port, connected, ran, answered, lost)));
    }
    for (Thread client : clients) {
      client.join();
    }
    rig.record("requests " + CLIENTS * AT_ONCE + ", answered " + answered + ", lost " + lost);
    if (answered.get() + lost.get() < CLIENTS * AT_ONCE) {
      rig.finish(Rig.COULD_NOT_RUN, "not all requests were sent");
    }
    rig.finish(
        lost.get() == 0 ? Rig.KEPT : Rig.BROKEN, lost + " requests were taken and never answered");
  }

  private static void client(
      Rig rig,
      int port,
      CountDownLatch connected,
      Set<String> ran,
      AtomicInteger answered,
      AtomicInteger lost)
      throws Exception {
    Rig.Client client = new Rig.Client(port);
    client.write("GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n");
    client.read(10);
    connected.countDown();
    connected.await();
    List<String> ids = new ArrayList<>();
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < AT_ONCE; i++) {
      String id = Rig.newId();
      ids.add(id);
      String request = Rig.request(id, "proof-sign", REMAINING, "p".repeat(BODY_BYTES));
      if (rig.trouble) {
        text.append(request);
      } else {
        client.write(request);
        read(rig, client, id, answered);
      }
    }
    if (!rig.trouble) {
      return;
    }
    rig.thread(
        () -> {
          int firstEnd = text.indexOf("POST ", 5);
          client.write(text.substring(0, firstEnd));
          Rig.sleep(PAUSE_AFTER_FIRST);
          client.write(text.substring(firstEnd));
          rig.record("client: sent " + AT_ONCE + " requests, " + ids.get(0) + " the first");
        });
    int next = 0;
    try {
      while (next < ids.size() && read(rig, client, ids.get(next), answered)) {
        next++;
      }
    } catch (IOException e) {
      rig.record("client: " + e.getMessage());
    }
    for (String id : ids.subList(next, ids.size())) {
      lost.incrementAndGet();
      rig.record("client: no answer to " + id + (ran.contains(id) ? ", which was run" : ""));
    }
    client.close();
  }

  /** Reads the answer to a request; false if the connection ended without one. */
  private static boolean read(Rig rig, Rig.Client client, String id, AtomicInteger answered)
      throws IOException {
    Rig.Message answer = client.read(REMAINING + 0.5);
    if (answer == null) {
      rig.record("client: the balancer has closed the connection");
      return false;
    }
    answered.incrementAndGet();
    rig.record(
        "client: " + id + " answered " + answer.status() + " " + answer.text().strip());
    return true;
  }
}
