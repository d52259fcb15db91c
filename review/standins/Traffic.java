import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.Map;
import java.util.TreeMap;

/**
 * Clients that follow the pages, and what became of their requests. A request counts as lost only
 * if the balancer had taken it, kept its connection open and wrote no final answer until half a
 * second after the request's time, plus the 50 ms by which the rules on sockets are longer. A
 * connection that could not be made or that was closed without an answer is not counted as lost.
 */
final class Traffic {

  /** By how much an answer may be late before its request counts as lost. */
  static final double LATE_MILLIS = 500 + 50;

  private final Deployment deployment;
  private final Deployment.Balancer balancer;
  private final Map<String, Integer> counts = new TreeMap<>();
  private int lost;

  Traffic(Deployment deployment, Deployment.Balancer balancer) {
    this.deployment = deployment;
    this.balancer = balancer;
  }

  /** Sends one request on a new connection and waits for its answer. */
  void request(String id, String request, double remainingSeconds) {
    double sentAt;
    try (Deployment.Client client = deployment.client(balancer)) {
      client.send(request);
      sentAt = deployment.now();
      deployment.log("client sent " + id + ", its time is " + remainingSeconds + " s");
      String outcome;
      try {
        Deployment.Message answer = client.receive(remainingSeconds * 1_000 + LATE_MILLIS);
        double tookMillis = deployment.now() - sentAt;
        if (answer == null) {
          outcome = "closed without an answer";
        } else if (tookMillis > remainingSeconds * 1_000 + LATE_MILLIS) {
          outcome = "LOST: answered " + answer.status() + " too late";
        } else {
          outcome = "answered " + answer.status();
        }
      } catch (SocketTimeoutException e) {
        outcome = "LOST: no answer, connection still open";
      } catch (IOException e) {
        outcome = "closed without an answer";
      }
      deployment.log(
          "client of %s: %s after %.0f ms".formatted(id, outcome, deployment.now() - sentAt));
      count(outcome);
    } catch (IOException e) {
      deployment.log("client of " + id + " could not connect: " + e.getMessage());
      count("could not connect");
    }
  }

  private synchronized void count(String outcome) {
    counts.merge(outcome, 1, Integer::sum);
    if (outcome.startsWith("LOST")) {
      lost++;
    }
  }

  synchronized int lost() {
    return lost;
  }

  synchronized Map<String, Integer> counts() {
    return new TreeMap<>(counts);
  }
}
