package loadbalancer.benchmark;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.management.OperatingSystemMXBean;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * The machine that the benchmark runs on: its properties that results depend on, and limits on what
 * a run may use.
 */
final class BenchmarkMachine {

  private static final int BYTES_PER_MB = 1 << 20;

  /** Memory of a real balancer: the limit in its configuration, {@link SyntheticDeployment}. */
  private static final long MB_PER_REAL_BALANCER = 192;

  private static final int MAX_REAL_BALANCERS = 64;

  private BenchmarkMachine() {}

  /**
   * Throws {@link BenchmarkException} unless a run fits into half of the machine's memory and into
   * the limit of file descriptors.
   *
   * @param descriptors how many file descriptors this process needs
   * @param realBalancers how many real balancers run at the same time
   */
  static void requireCapacity(long descriptors, int realBalancers) {
    OperatingSystemMXBean system = system();
    long neededMb =
        Runtime.getRuntime().maxMemory() / BYTES_PER_MB + realBalancers * MB_PER_REAL_BALANCER;
    long limitMb = system.getTotalMemorySize() / BYTES_PER_MB / 2;
    if (neededMb > limitMb) {
      throw new BenchmarkException(
          "the run may take up to "
              + neededMb
              + " MB, which exceeds half of the machine's memory ("
              + limitMb
              + " MB): use a smaller -Xmx or fewer real balancers");
    }
    if (realBalancers > MAX_REAL_BALANCERS) {
      throw new BenchmarkException(
          realBalancers + " real balancers exceed the limit of " + MAX_REAL_BALANCERS);
    }
    if (system instanceof com.sun.management.UnixOperatingSystemMXBean unix
        && descriptors > unix.getMaxFileDescriptorCount()) {
      throw new BenchmarkException(
          "the run needs "
              + descriptors
              + " file descriptors, but the limit of the process is "
              + unix.getMaxFileDescriptorCount());
    }
  }

  /**
   * Writes the processors, memory, Java virtual machine with its flags, and current load average.
   */
  static void describe(ObjectNode machineNode) {
    OperatingSystemMXBean system = system();
    machineNode.put("processors", system.getAvailableProcessors());
    machineNode.put("processor", processorModel());
    machineNode.put("memory_mb", system.getTotalMemorySize() / BYTES_PER_MB);
    machineNode.put("java", System.getProperty("java.vm.version"));
    List<String> jvmFlags = ManagementFactory.getRuntimeMXBean().getInputArguments();
    machineNode.put("flags", String.join(" ", jvmFlags));
    machineNode.put("load", MeasuredPoint.rounded(system.getSystemLoadAverage()));
  }

  private static OperatingSystemMXBean system() {
    return (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
  }

  private static String processorModel() {
    try {
      return Files.readAllLines(Path.of("/proc/cpuinfo")).stream()
          .filter(line -> line.startsWith("model name"))
          .findFirst()
          .map(line -> line.substring(line.indexOf(':') + 1).strip())
          .orElse("unknown");
    } catch (IOException e) {
      return "unknown";
    }
  }
}
