package loadbalancer.benchmark;

import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.function.IntPredicate;
import loadbalancer.model.EndpointUpdateType;

/**
 * Simulated balancers that share a few event loops, and counts of the updates they have applied.
 */
final class SimulatedBalancerFleet implements AutoCloseable {

  private static final long POLL_INTERVAL_MILLIS = 5;

  private final SimulatedBalancer.Template template;
  private final long seed;
  private final PropagationTimes propagationTimes;
  private final List<EventLoop> eventLoops = new ArrayList<>();
  private final long[] threadIds;
  private final MultiThreadIoEventLoopGroup eventLoopGroup;
  private final SimulatedBalancer[] balancers;

  /** The version that each balancer has: 0 before its first list, -1 if it is not running. */
  private final AtomicLongArray versions;

  private final AtomicLong failedCalls = new AtomicLong();
  private final AtomicLong fullListsApplied = new AtomicLong();
  private final AtomicLong deltasApplied = new AtomicLong();

  SimulatedBalancerFleet(
      SimulatedBalancer.Template template,
      int count,
      int eventLoopCount,
      long seed,
      PropagationTimes propagationTimes) {
    this.template = template;
    this.seed = seed;
    this.propagationTimes = propagationTimes;
    eventLoopGroup =
        new MultiThreadIoEventLoopGroup(
            eventLoopCount,
            new DefaultThreadFactory("simulated-balancers", true),
            NioIoHandler.newFactory());
    threadIds = new long[eventLoopCount];
    for (int i = 0; i < eventLoopCount; i++) {
      eventLoops.add((EventLoop) eventLoopGroup.next());
      threadIds[i] =
          eventLoops
              .get(i)
              .submit(() -> Thread.currentThread().getId())
              .syncUninterruptibly()
              .getNow();
    }
    balancers = new SimulatedBalancer[count];
    versions = new AtomicLongArray(count);
    for (int i = 0; i < count; i++) {
      versions.set(i, -1);
    }
  }

  /** Starts the balancers with the matching instance indexes. */
  void start(IntPredicate filter) {
    for (int i = 0; i < balancers.length; i++) {
      if (filter.test(i)) {
        versions.set(i, 0);
        balancers[i] =
            SimulatedBalancer.start(
                template,
                i,
                seed + i,
                eventLoops.get(i % eventLoops.size()),
                PooledByteBufAllocator.DEFAULT,
                this::onUpdateApplied);
      }
    }
  }

  /** Stops the balancers with the matching instance indexes. */
  void stop(IntPredicate filter) {
    for (int i = 0; i < balancers.length; i++) {
      if (filter.test(i) && versions.getAndSet(i, -1) >= 0) {
        balancers[i].stop();
      }
    }
  }

  private void onUpdateApplied(
      SimulatedBalancer balancer, EndpointUpdateType updateType, long version) {
    long nowNanos = System.nanoTime();
    int index = balancer.instanceIndex();
    if (updateType == EndpointUpdateType.FAILED) {
      failedCalls.incrementAndGet();
      return;
    }
    long previousVersion = versions.get(index);
    // The balancer has been stopped, or replaced by another instance with the same index.
    if (previousVersion < 0 || balancers[index] != balancer) {
      return;
    }
    versions.set(index, version);
    if (updateType == EndpointUpdateType.FULL) {
      fullListsApplied.incrementAndGet();
    } else if (version > previousVersion) {
      deltasApplied.incrementAndGet();
    }
    propagationTimes.recordApplied(previousVersion, version, nowNanos);
  }

  /**
   * Waits until all running balancers have a version or a later one, up to a timeout. Returns how
   * many do not have it then.
   */
  int awaitVersion(long version, double timeoutSeconds) throws InterruptedException {
    long deadlineNanos = System.nanoTime() + (long) (timeoutSeconds * 1e9);
    int outdatedCount = countOutdated(version);
    while (outdatedCount > 0 && System.nanoTime() < deadlineNanos) {
      TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
      outdatedCount = countOutdated(version);
    }
    return outdatedCount;
  }

  private int countOutdated(long version) {
    int outdatedCount = 0;
    for (int i = 0; i < balancers.length; i++) {
      long currentVersion = versions.get(i);
      outdatedCount += currentVersion >= 0 && currentVersion < version ? 1 : 0;
    }
    return outdatedCount;
  }

  int runningCount() {
    int count = 0;
    for (int i = 0; i < balancers.length; i++) {
      count += versions.get(i) >= 0 ? 1 : 0;
    }
    return count;
  }

  /** Returns the number of full lists that all balancers together have applied. */
  long fullListsApplied() {
    return fullListsApplied.get();
  }

  long deltasApplied() {
    return deltasApplied.get();
  }

  long failedCalls() {
    return failedCalls.get();
  }

  /** Returns the processor time that the event loop threads have used, in nanoseconds. */
  long cpuNanos() {
    long cpuNanos = 0;
    for (long threadId : threadIds) {
      cpuNanos += ManagementFactory.getThreadMXBean().getThreadCpuTime(threadId);
    }
    return cpuNanos;
  }

  @Override
  public void close() {
    stop(index -> true);
    eventLoopGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }
}
