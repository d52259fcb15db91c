import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Bad clients send most of the head of a request, stop and stay until the balancer answers or
 * closes. The requests of other clients, before, during and long after, must get their answers.
 */
final class Case1 {

  private static final int BAD_CLIENTS = 300;
  private static final int HEADER_LINES = 3_900;
  private static final int GOOD_CLIENTS = 4;
  private static final double REMAINING_SECONDS = 3.0;
  private static final double BAD_CLIENTS_COME_AT_MILLIS = 3_000;
  private static final double LENGTH_MILLIS = 30_000;

  public static void main(String[] args) {
    Deployment.main(Case1::run);
  }

  private static boolean run(Deployment deployment) throws Exception {
    List<Deployment.Upstream> upstreams = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      upstreams.add(deployment.plainUpstream("s-" + i, 50));
    }
    Deployment.Agent agent = deployment.agent(upstreams);
    Deployment.Balancer balancer = deployment.balancer(agent, upstreams);
    balancer.awaitReady();

    double start = deployment.now();
    Traffic traffic = new Traffic(deployment, balancer);
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < GOOD_CLIENTS; i++) {
      String name = "c" + i;
      Thread client =
          new Thread(
              () -> {
                for (int n = 0; deployment.now() - start < LENGTH_MILLIS; n++) {
                  String id = name + "-" + n;
                  traffic.request(id, Deployment.view(id, REMAINING_SECONDS), REMAINING_SECONDS);
                  Deployment.sleep(250);
                }
              });
      client.start();
      clients.add(client);
    }
    Deployment.sleep(BAD_CLIENTS_COME_AT_MILLIS);
    Map<String, Integer> badOutcomes = new TreeMap<>();
    if (Deployment.TROUBLE) {
      sendBadHeads(deployment, balancer, badOutcomes);
    }
    for (Thread client : clients) {
      client.join();
    }
    boolean healthy = isHealthy(deployment, balancer);
    deployment.verdict("requests of the good clients: " + traffic.counts());
    synchronized (badOutcomes) {
      deployment.verdict("bad clients: " + badOutcomes);
    }
    deployment.verdict(
        "at the end: GET /_health is "
            + (healthy ? "answered" : "not answered within 3 s")
            + ", the process is "
            + (balancer.process.isAlive() ? "alive" : "dead")
            + ", its peak memory "
            + balancer.statusKb("VmHWM") / 1_024
            + " MB of 192");
    return traffic.lost() == 0 && balancer.process.isAlive();
  }

  /** Each bad client sends 16 KB of a head that does not end, and waits for an error or a close. */
  private static void sendBadHeads(
      Deployment deployment, Deployment.Balancer balancer, Map<String, Integer> outcomes) {
    StringBuilder head = new StringBuilder("GET /view/7 HTTP/1.1\r\n");
    for (int i = 0; i < HEADER_LINES; i++) {
      head.append((char) ('a' + i % 26)).append(":\r\n");
    }
    deployment.log(BAD_CLIENTS + " bad clients send " + head.length() + " bytes each and stay");
    for (int i = 0; i < BAD_CLIENTS; i++) {
      Deployment.thread(
          "bad client",
          () -> {
            String outcome;
            try (Deployment.Client client = deployment.client(balancer)) {
              client.send(head.toString());
              Deployment.Message answer = client.receive(6_000);
              outcome = answer == null ? "closed" : "answered " + answer.status();
            } catch (java.net.SocketTimeoutException e) {
              outcome = "neither an error nor a close within 6 s";
            } catch (IOException e) {
              outcome = "closed";
            }
            synchronized (outcomes) {
              outcomes.merge(outcome, 1, Integer::sum);
            }
          });
    }
  }

  private static boolean isHealthy(Deployment deployment, Deployment.Balancer balancer) {
    try (Deployment.Client client = deployment.client(balancer)) {
      client.send("GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n");
      Deployment.Message answer = client.receive(3_000);
      return answer != null && answer.status() == 200;
    } catch (IOException e) {
      return false;
    }
  }
}
