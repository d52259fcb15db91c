package loadbalancer.proxy.eventloop;

import java.util.Optional;

/** Reports that the descriptor budget was used up since the last report. */
public final class DescriptorLimitReport {

  private final DescriptorBudget budget;
  private long reportedClientEvictions;
  private long reportedUpstreamEvictions;
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
    long clients = budget.clientEvictions() - reportedClientEvictions;
    long upstreams = budget.upstreamEvictions() - reportedUpstreamEvictions;
    double newlyPausedMillis = pausedMillis - reportedPausedMillis;
    if (clients == 0 && upstreams == 0 && newlyPausedMillis == 0) {
      return Optional.empty();
    }
    reportedClientEvictions += clients;
    reportedUpstreamEvictions += upstreams;
    reportedPausedMillis = pausedMillis;
    return Optional.of(
        "descriptor limit reached: evicted_clients="
            + clients
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
