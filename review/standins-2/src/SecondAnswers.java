import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One of four upstreams sends one in ten answers twice, the second copy some milliseconds after the
 * first. Every answer names the request that it was made for.
 */
final class SecondAnswers {

  private static final int UPSTREAMS = 4;
  private static final int CLIENTS = 8;
  private static final double SECOND_ANSWER_AFTER = 0.024;

  /** Foreign answers count only if the second copy was sent at most this late, as measured. */
  private static final double MAX_GAP_MILLIS = 30;

  private static final int ANSWERS_FOR_EACH_SECOND_ONE = 10;
  private static final double WORK_SECONDS = 0.06;
  private static final double SECONDS = 30;

  public static void main(String[] args) throws Exception {
    Rig.run(args, SecondAnswers::run);
  }

  private static void run(Rig rig) throws Exception {
    Rig.Discovery discovery = rig.new Discovery();
    AtomicInteger answers = new AtomicInteger();
    AtomicInteger second = new AtomicInteger();
    Map<String, Double> gaps = new ConcurrentHashMap<>();
    for (int i = 0; i < UPSTREAMS; i++) {
      boolean spoilt = i == 0;
      Rig.Server upstream =
          rig.upstream(
              (request, socket) -> {
                byte[] answer = Rig.bytes(Rig.response(200, "answer to " + request.id()));
                Rig.sleep(WORK_SECONDS);
                socket.getOutputStream().write(answer);
                long written = System.nanoTime();
                if (spoilt
                    && rig.trouble
                    && answers.incrementAndGet() % ANSWERS_FOR_EACH_SECOND_ONE == 0) {
                  // Beside the next request, as from another thread of the upstream.
                  rig.thread(
                      () -> {
                        Rig.sleep(SECOND_ANSWER_AFTER);
                        try {
                          socket.getOutputStream().write(answer);
                          second.incrementAndGet();
                          gaps.put(request.id(), (System.nanoTime() - written) / 1e6);
                        } catch (IOException e) {
                          // The balancer has closed the connection.
                        }
                      });
                }
              });
      discovery.set("s-" + i, Rig.entry("s-" + i, upstream.port(), "up", 0), false);
    }
    Rig.Balancer balancer = rig.startBalancer(new Rig.Settings(), discovery);
    AtomicInteger served = new AtomicInteger();
    AtomicInteger foreign = new AtomicInteger();
    double end = rig.seconds() + SECONDS;
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      clients.add(rig.thread(() -> client(rig, balancer.port, end, served, foreign, gaps)));
    }
    for (Thread client : clients) {
      client.join();
    }
    rig.record("served " + served + ", second answers " + second + ", foreign answers " + foreign);
    if (served.get() < 100) {
      rig.finish(Rig.COULD_NOT_RUN, "too few requests were served");
    }
    rig.finish(
        foreign.get() == 0 ? Rig.KEPT : Rig.BROKEN,
        foreign + " clients got the answer to another request");
  }

  private static void client(
      Rig rig,
      int port,
      double end,
      AtomicInteger served,
      AtomicInteger foreign,
      Map<String, Double> gaps)
      throws IOException {
    Rig.Client client = new Rig.Client(port);
    while (rig.seconds() < end) {
      String id = Rig.newId();
      client.write(Rig.request(id, "proof-sign", 6, "pages of " + id));
      Rig.Message answer = client.read(8);
      if (answer == null) {
        client = new Rig.Client(port);
      } else if (answer.status() == 200) {
        served.incrementAndGet();
        String madeFor = answer.text().replace("answer to ", "");
        if (!madeFor.equals(id)) {
          Rig.sleep(0.05);
          double gap = gaps.getOrDefault(madeFor, Double.MAX_VALUE);
          foreign.addAndGet(gap <= MAX_GAP_MILLIS ? 1 : 0);
          rig.record(
              "client: request " + id + " got the answer to " + madeFor + ", "
                  + (gap == Double.MAX_VALUE
                      ? "of which no second copy is known (not counted)"
                      : String.format("whose second copy was sent %.1f ms after the first%s",
                          gap, gap <= MAX_GAP_MILLIS ? "" : " (not counted)")));
        }
      } else {
        rig.record("client: request " + id + " answered " + answer.status());
      }
      Rig.sleep(0.02);
    }
  }
}
