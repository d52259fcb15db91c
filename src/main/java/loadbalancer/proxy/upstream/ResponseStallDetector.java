package loadbalancer.proxy.upstream;

import io.netty.channel.EventLoop;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Detects a response that has begun and then stalls or progresses too slowly. Endpoints write a
 * response in one go, so one that stays incomplete is not expected to be complete before the
 * deadline. Used on the event loop thread only.
 */
final class ResponseStallDetector {

  /** A response that has begun must receive more bytes in each such interval. */
  private static final long CHECK_INTERVAL_MILLIS = 300;

  /** The number of intervals after which a response that is still incomplete has stalled. */
  private static final int MAX_CHECKS = 5;

  private enum Progress {
    /** No bytes of a response have arrived. */
    NOT_BEGUN,
    /** Part of a response has arrived, but no bytes since the last check. */
    UNCHANGED,
    /** Part of a response has arrived, some of its bytes since the last check. */
    ADVANCED
  }

  private final EventLoop loop;
  private final Runnable onStall;
  private Progress progress = Progress.NOT_BEGUN;

  /** How many checks the response to the current request has passed. */
  private int passedChecks;

  private Future<?> nextCheck;

  /**
   * Creates the detector of one connection.
   *
   * @param onStall called when a response has stalled
   */
  ResponseStallDetector(EventLoop loop, Runnable onStall) {
    this.loop = loop;
    this.onStall = onStall;
  }

  /** Called when a request is about to be written to the connection. */
  void requestStarted() {
    passedChecks = 0;
  }

  /** Called when bytes of a response have arrived. */
  void bytesReceived() {
    progress = Progress.ADVANCED;
  }

  /** Called when all received bytes have been decoded and the final response is not complete. */
  void readCompleted() {
    if (progress != Progress.NOT_BEGUN && nextCheck == null) {
      scheduleCheck();
    }
  }

  /**
   * Called when an interim or final response is complete.
   *
   * @param moreReceived whether further bytes have arrived after it
   */
  void messageCompleted(boolean moreReceived) {
    progress = moreReceived ? Progress.ADVANCED : Progress.NOT_BEGUN;
    cancel();
  }

  /** Cancels the pending check. */
  void cancel() {
    if (nextCheck != null) {
      nextCheck.cancel(false);
      nextCheck = null;
    }
  }

  private void scheduleCheck() {
    progress = Progress.UNCHANGED;
    nextCheck = loop.schedule(this::check, CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void check() {
    nextCheck = null;
    if (progress == Progress.UNCHANGED || ++passedChecks >= MAX_CHECKS) {
      onStall.run();
    } else {
      scheduleCheck();
    }
  }
}
