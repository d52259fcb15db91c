package loadbalancer.policy;

import java.util.Objects;
import loadbalancer.model.RequestClass;

/** What was seen of a class of requests over all servers. */
final class RequestClassStatistics {

  final int index;
  final RequestClass type;

  /** Served latency in ms for a request of mean cost on a mean server. */
  final ExponentialMovingAverage latency;

  /** Hinted cost. */
  final ExponentialMovingAverage cost;

  /** Share of its requests that are marked as a client's retry. */
  final ExponentialMovingAverage clientRetryShare;

  /** Its share of the requests that arrive. */
  double share;

  /** The part of them to refuse at once. */
  double rejectedShare;

  /** The first class of the same placement: the two below are kept there for all of them. */
  RequestClassStatistics leader;

  /** Share of the work asked for that is refused at once, and when it was last moved. */
  double overloadLevel;

  double overloadUpdatedAt;

  /**
   * Share served of the calls that were sent while little was refused, and when one last told of
   * it.
   */
  double servedWhileAdmitting = 1;

  double servedWhileAdmittingAt;

  /** When those of its requests that are held look for a server again. */
  double nextSelectionAt = Double.NEGATIVE_INFINITY;

  /** How many times the expected latency only the slowest calls take. */
  double slowRatio;

  RequestClassStatistics(
      int index, RequestClass type, double firstLatency, double firstRatio, double gain) {
    this.index = index;
    this.type = type;
    latency = new ExponentialMovingAverage(firstLatency, gain);
    cost = new ExponentialMovingAverage(0, gain);
    clientRetryShare = new ExponentialMovingAverage(0, gain);
    slowRatio = firstRatio;
  }

  boolean sharesPlacement(RequestClassStatistics other) {
    return Objects.equals(type.allowedZones(), other.type.allowedZones())
        && Objects.equals(type.allowedMachineTypes(), other.type.allowedMachineTypes());
  }

  boolean hasPlacement() {
    return type.allowedZones() != null || type.allowedMachineTypes() != null;
  }
}
