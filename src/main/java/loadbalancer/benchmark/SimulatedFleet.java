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

/** Many balancers without clients on a few event loops, and the updates they have applied. */
final class SimulatedFleet implements AutoCloseable {

  private static final long POLL_INTERVAL_MILLIS = 5;

  private final SimulatedBalancer.Template template;
  private final long seed;
  private final Propagation propagation;
  private final List<EventLoop> loops = new ArrayList<>();
  private final long[] threads;
  private final MultiThreadIoEventLoopGroup group;
  private final SimulatedBalancer[] balancers;

  /** The version that each balancer has; -1 for a stopped one. */
  private final AtomicLongArray versions;

  private final AtomicLong failedCalls = new AtomicLong();
  private final AtomicLong fullListsApplied = new AtomicLong();
  private final AtomicLong deltasApplied = new AtomicLong();

  SimulatedFleet(
      SimulatedBalancer.Template template,
      int count,
      int loopCount,
      long seed,
      Propagation propagation) {
    this.template = template;
    this.seed = seed;
    this.propagation = propagation;
    group =
        new MultiThreadIoEventLoopGroup(
            loopCount,
            new DefaultThreadFactory("simulated-balancers", true),
            NioIoHandler.newFactory());
    threads = new long[loopCount];
    for (int i = 0; i < loopCount; i++) {
      loops.add((EventLoop) group.next());
      threads[i] =
          loops.get(i).submit(() -> Thread.currentThread().getId()).syncUninterruptibly().getNow();
    }
    balancers = new SimulatedBalancer[count];
    versions = new AtomicLongArray(count);
    for (int i = 0; i < count; i++) {
      versions.set(i, -1);
    }
  }

  /** Starts the balancers at the positions. */
  void start(IntPredicate which) {
    for (int i = 0; i < balancers.length; i++) {
      if (which.test(i)) {
        versions.set(i, 0);
        balancers[i] =
            SimulatedBalancer.start(
                template,
                i,
                seed + i,
                loops.get(i % loops.size()),
                PooledByteBufAllocator.DEFAULT,
                this::onUpdateApplied);
      }
    }
  }

  /** Stops the balancers at the positions. */
  void stop(IntPredicate which) {
    for (int i = 0; i < balancers.length; i++) {
      if (which.test(i) && versions.getAndSet(i, -1) >= 0) {
        balancers[i].stop();
      }
    }
  }

  private void onUpdateApplied(
      SimulatedBalancer balancer, EndpointUpdateType change, long version) {
    long now = System.nanoTime();
    int position = balancer.instanceIndex();
    if (change == EndpointUpdateType.FAILED) {
      failedCalls.incrementAndGet();
      return;
    }
    long before = versions.get(position);
    if (before < 0 || balancers[position] != balancer) {
      return;
    }
    versions.set(position, version);
    if (change == EndpointUpdateType.FULL) {
      fullListsApplied.incrementAndGet();
    } else if (version > before) {
      deltasApplied.incrementAndGet();
    }
    propagation.recordApplied(before, version, now);
  }

  /** Waits until all have a version, up to a timeout; returns how many don't. */
  int awaitVersion(long version, double seconds) throws InterruptedException {
    long end = System.nanoTime() + (long) (seconds * 1e9);
    int missing = countBehind(version);
    while (missing > 0 && System.nanoTime() < end) {
      TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
      missing = countBehind(version);
    }
    return missing;
  }

  private int countBehind(long version) {
    int missing = 0;
    for (int i = 0; i < balancers.length; i++) {
      long has = versions.get(i);
      missing += has >= 0 && has < version ? 1 : 0;
    }
    return missing;
  }

  int runningCount() {
    int running = 0;
    for (int i = 0; i < balancers.length; i++) {
      running += versions.get(i) >= 0 ? 1 : 0;
    }
    return running;
  }

  /** Full lists applied so far. */
  long fullListsApplied() {
    return fullListsApplied.get();
  }

  long deltasApplied() {
    return deltasApplied.get();
  }

  long failedCalls() {
    return failedCalls.get();
  }

  /** Processor time of the event loops, in nanoseconds. */
  long cpuNanos() {
    long sum = 0;
    for (long thread : threads) {
      sum += ManagementFactory.getThreadMXBean().getThreadCpuTime(thread);
    }
    return sum;
  }

  @Override
  public void close() {
    stop(position -> true);
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }
}
