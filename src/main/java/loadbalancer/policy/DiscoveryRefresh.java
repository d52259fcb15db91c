package loadbalancer.policy;

import java.util.SplittableRandom;
import loadbalancer.model.AttemptOutcome;
import loadbalancer.model.EndpointState;
import loadbalancer.model.PolicySettings;

/**
 * Decides when discovery is called again: with backoff after failed calls, and when endpoints that
 * are listed as ready accept no requests, as a watch can become stale without any error.
 */
final class DiscoveryRefresh {

  /** Backoff after the first failed call, as a share of the poll interval. */
  private static final double INITIAL_BACKOFF_POLL_SHARE = 0.0125;

  /** Growth of the backoff with each further failed call. */
  private static final double BACKOFF_FACTOR = 2;

  /** Longest backoff as a share of the poll interval. */
  private static final double MAX_BACKOFF_POLL_SHARE = 0.1;

  /**
   * Longest backoff as a share of the drain grace, where discovery is a local agent: an update
   * counts as notified even while no watch is open, and has to be acted on within the drain grace.
   */
  private static final double MAX_BACKOFF_DRAIN_GRACE_SHARE = 0.25;

  /**
   * Longest backoff: the platform counts an update as notified at the latest 6 s after discovery
   * had it and could be reached, or after a watch fell silent, even if it has not arrived.
   */
  private static final double MAX_BACKOFF_MILLIS = 1_000;

  /**
   * The endpoint list is suspect after this many consecutive rejected attempts or failed connects
   * at an endpoint that is listed as ready.
   */
  private static final int STALE_LIST_REJECTIONS = 3;

  /**
   * Least time since the last contact with discovery before a watch whose list is suspect is
   * restarted, as a share of the poll interval.
   */
  private static final double STALENESS_POLL_SHARE = 0.3;

  /**
   * Factor by which the least time before a restart ({@link #STALENESS_POLL_SHARE}) grows with each
   * restart of a watch whose list is suspect, until an update arrives: an endpoint that has crashed
   * but is still listed looks like a stale list, and a restart does not help then.
   */
  private static final double STALENESS_BACKOFF_FACTOR = 2;

  private final PolicySettings settings;
  private final PolicyActions actions;
  private final SplittableRandom random;
  private double lastContactAtMillis;
  private double stalenessTimeoutMillis;
  private int consecutiveFailedCalls;

  DiscoveryRefresh(
      PolicySettings settings, PolicyActions actions, SplittableRandom random, double now) {
    this.settings = settings;
    this.actions = actions;
    this.random = random;
    lastContactAtMillis = now;
    resetStalenessTimeout();
  }

  /** Starts the first watch, if discovery notifies only instances that watch. */
  void start() {
    if (settings.explicitWatch()) {
      actions.watchEndpoints(true);
    }
  }

  /** Restarts the watch after the backoff that follows a failed call. */
  void restartWatch() {
    actions.watchEndpoints(true);
  }

  /** Records an update from discovery or a failed call. */
  void recordContact(boolean hasEndpoints, double now) {
    lastContactAtMillis = now;
    if (hasEndpoints) {
      resetStalenessTimeout();
    }
  }

  void callSucceeded() {
    consecutiveFailedCalls = 0;
  }

  /** Schedules the next call after the backoff plus a random jitter of up to the same length. */
  void callFailed(double now) {
    double backoffMillis = nextBackoffMillis();
    consecutiveFailedCalls++;
    actions.scheduleTimer(
        TimerToken.DISCOVERY_RETRY, now + backoffMillis * (1 + random.nextDouble()));
  }

  private double nextBackoffMillis() {
    double pollShare =
        Math.min(
            MAX_BACKOFF_POLL_SHARE,
            INITIAL_BACKOFF_POLL_SHARE * Math.pow(BACKOFF_FACTOR, consecutiveFailedCalls));
    double backoffMillis = pollShare * settings.rules().pollIntervalMillis();
    if (!settings.explicitWatch()) {
      backoffMillis =
          Math.min(
              backoffMillis, MAX_BACKOFF_DRAIN_GRACE_SHARE * settings.rules().drainGraceMillis());
    }
    return Math.min(backoffMillis, MAX_BACKOFF_MILLIS);
  }

  /**
   * Counts the consecutive rejections of an endpoint and restarts the watch if they make the
   * endpoint list suspect.
   */
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
