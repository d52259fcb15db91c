package loadbalancer.proxy.upstream;

import io.netty.channel.EventLoop;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Notices a response that has begun and makes no progress, or too little: endpoints write a
 * response at once, so one that stays incomplete will not be complete in time. Confined to the
 * event loop.
 */
final class ResponseStallDetector {

  /** A response that has begun must make progress in each such interval. */
  private static final long CHECK_INTERVAL_MILLIS = 300;

  /** A response must be complete within this many intervals. */
  private static final int MAX_CHECKS = 5;

  private enum Progress {
    /** No part of a response has arrived. */
    NOT_BEGUN,
    /** A part has arrived, and no more since the last check. */
    UNCHANGED,
    /** A part has arrived, some of it since the last check. */
    ADVANCED
  }

  private final EventLoop loop;
  private final Runnable onStall;
  private Progress progress = Progress.NOT_BEGUN;
  private int checks;
  private Future<?> nextCheck;

  ResponseStallDetector(EventLoop loop, Runnable onStall) {
    this.loop = loop;
    this.onStall = onStall;
  }

  /** A request is about to be written. */
  void requestStarted() {
    checks = 0;
  }

  /** Bytes of a response have arrived. */
  void bytesReceived() {
    progress = Progress.ADVANCED;
  }

  /** All bytes that were available have been decoded; a response is awaited. */
  void readCompleted() {
    if (progress != Progress.NOT_BEGUN && nextCheck == null) {
      scheduleCheck();
    }
  }

  /** A message is complete; tells whether bytes of another one have arrived. */
  void messageCompleted(boolean moreReceived) {
    progress = moreReceived ? Progress.ADVANCED : Progress.NOT_BEGUN;
    cancel();
  }

  /** Stops checking. */
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
    if (progress == Progress.UNCHANGED || ++checks >= MAX_CHECKS) {
      onStall.run();
    } else {
      scheduleCheck();
    }
  }
}
