package loadbalancer.policy;

import java.util.SplittableRandom;
import loadbalancer.model.AttemptOutcome;
import loadbalancer.model.EndpointState;
import loadbalancer.model.PolicySettings;

/**
 * When discovery is asked again: with backoff after failed calls, and when endpoints that are
 * listed as ready accept nothing, as the watch may be stale without a sign.
 */
final class DiscoveryRefresh {

  /** First wait after a failed call, as a share of the poll interval; it doubles. */
  private static final double FIRST_BACKOFF_POLL_SHARE = 0.0125;

  /** Longest wait after a failed call, as a share of the poll interval. */
  private static final double MAX_BACKOFF_POLL_SHARE = 0.1;

  /**
   * Longest wait where updates are pushed, as a share of the drain grace: an update counts as
   * notified even while no watch is open, and must be acted on within the grace.
   */
  private static final double MAX_BACKOFF_DRAIN_GRACE_SHARE = 0.25;

  /** Longest wait: updates count as notified soon after discovery could be reached. */
  private static final double MAX_BACKOFF_MILLIS = 1_000;

  private static final double BACKOFF_FACTOR = 2;

  /**
   * Rejected or unconnected attempts in a row, at an endpoint listed as ready, that make the list
   * suspect.
   */
  private static final int STALE_LIST_REJECTIONS = 3;

  /** Least time since the last contact before the watch is replaced, as a share of the interval. */
  private static final double STALENESS_POLL_SHARE = 0.3;

  /** Growth of that time while no update comes: a crashed endpoint looks like a stale list. */
  private static final double STALENESS_BACKOFF_FACTOR = 2;

  private final PolicySettings settings;
  private final PolicyActions actions;
  private final SplittableRandom random;
  private double lastContactAtMillis;
  private double stalenessTimeoutMillis;
  private int consecutiveFailures;

  DiscoveryRefresh(
      PolicySettings settings, PolicyActions actions, SplittableRandom random, double now) {
    this.settings = settings;
    this.actions = actions;
    this.random = random;
    lastContactAtMillis = now;
    resetStalenessTimeout();
  }

  /** Begins to watch, where discovery notifies only those who do. */
  void start() {
    if (settings.explicitWatch()) {
      actions.watchEndpoints(true);
    }
  }

  /** Begins the watch anew, after a failed call. */
  void restartWatch() {
    actions.watchEndpoints(true);
  }

  /** An update, or the failure of a call, has come from discovery. */
  void recordContact(boolean withEndpoints, double now) {
    lastContactAtMillis = now;
    if (withEndpoints) {
      resetStalenessTimeout();
    }
  }

  void callSucceeded() {
    consecutiveFailures = 0;
  }

  /** Schedules the next call, after the backoff and up to as much again at random. */
  void callFailed(double now) {
    double backoff = backoffMillis();
    consecutiveFailures++;
    actions.scheduleTimer(TimerToken.DISCOVERY_RETRY, now + backoff * (1 + random.nextDouble()));
  }

  private double backoffMillis() {
    double pollShare =
        Math.min(
            MAX_BACKOFF_POLL_SHARE,
            FIRST_BACKOFF_POLL_SHARE * Math.pow(BACKOFF_FACTOR, consecutiveFailures));
    double backoff = pollShare * settings.rules().pollIntervalMillis();
    if (!settings.explicitWatch()) {
      backoff =
          Math.min(backoff, MAX_BACKOFF_DRAIN_GRACE_SHARE * settings.rules().drainGraceMillis());
    }
    return Math.min(backoff, MAX_BACKOFF_MILLIS);
  }

  /** Begins the watch anew if the outcome of an attempt makes the list suspect. */
  void attemptFinished(EndpointStatistics endpoint, AttemptOutcome outcome, double now) {
    if (outcome == AttemptOutcome.REJECTED || outcome == AttemptOutcome.CONNECT_FAILED) {
      endpoint.recordRejection();
    } else if (outcome == AttemptOutcome.OK) {
      endpoint.clearRejections();
    }
    if (settings.explicitWatch()
        && endpoint.consecutiveRejections() >= STALE_LIST_REJECTIONS
        && endpoint.listedEndpoint().state() == EndpointState.READY
        && now - lastContactAtMillis >= stalenessTimeoutMillis) {
      lastContactAtMillis = now;
      stalenessTimeoutMillis *= STALENESS_BACKOFF_FACTOR;
      actions.watchEndpoints(true);
    }
  }

  private void resetStalenessTimeout() {
    stalenessTimeoutMillis = STALENESS_POLL_SHARE * settings.rules().pollIntervalMillis();
  }
}
