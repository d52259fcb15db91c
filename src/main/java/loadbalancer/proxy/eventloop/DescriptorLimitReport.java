package loadbalancer.proxy.eventloop;

import java.util.Optional;

/** Reports that the descriptor budget was used up since the last report. */
public final class DescriptorLimitReport {

  private final DescriptorBudget budget;
  private long reportedIdleClients;
  private long reportedPartialRequests;
  private long reportedUpstreams;
  private double reportedPausedMillis;

  /** Creates a report that has reported nothing yet. */
  public DescriptorLimitReport(DescriptorBudget budget) {
    this.budget = budget;
  }

  /**
   * Returns a log line, or empty if no connection was evicted and accepting was not paused since
   * the last call.
   *
   * @param pausedMillis for how long accepting has been paused in total
   */
  public Optional<String> next(double pausedMillis) {
    long idleClients = budget.idleClientEvictions() - reportedIdleClients;
    long partialRequests = budget.partialRequestEvictions() - reportedPartialRequests;
    long upstreams = budget.upstreamEvictions() - reportedUpstreams;
    double newlyPausedMillis = pausedMillis - reportedPausedMillis;
    if (idleClients + partialRequests + upstreams == 0 && newlyPausedMillis == 0) {
      return Optional.empty();
    }
    reportedIdleClients += idleClients;
    reportedPartialRequests += partialRequests;
    reportedUpstreams += upstreams;
    reportedPausedMillis = pausedMillis;
    return Optional.of(
        "descriptor limit reached: evicted_clients="
            + idleClients
            + " rejected_requests="
            + partialRequests
            + " evicted_upstreams="
            + upstreams
            + " accept_paused_ms="
            + Math.round(newlyPausedMillis)
            + " open_connections="
            + budget.openConnections()
            + " max_connections="
            + budget.maxConnections());
  }
}
