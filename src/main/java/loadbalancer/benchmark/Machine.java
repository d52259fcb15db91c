package loadbalancer.benchmark;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.management.OperatingSystemMXBean;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** The machine of a run: what its figures depend on, and the bounds that a run keeps on it. */
final class Machine {

  private static final int MB = 1 << 20;

  /** Memory of a real balancer, by the limit in its configuration. */
  private static final long REAL_MB = 192;

  private static final int MOST_REAL = 64;

  private Machine() {}

  /** A run takes less than half of the machine's memory, and descriptors that it may have. */
  static void check(long sockets, int real) {
    OperatingSystemMXBean system = system();
    long taken = Runtime.getRuntime().maxMemory() / MB + real * REAL_MB;
    long half = system.getTotalMemorySize() / MB / 2;
    if (taken > half) {
      throw new BenchmarkException(
          "would take up to "
              + taken
              + " MB, over half of the machine's memory ("
              + half
              + " MB): give it a smaller -Xmx or fewer real balancers");
    }
    if (real > MOST_REAL) {
      throw new BenchmarkException(real + " real balancers are over the bound of " + MOST_REAL);
    }
    if (system instanceof com.sun.management.UnixOperatingSystemMXBean unix
        && sockets > unix.getMaxFileDescriptorCount()) {
      throw new BenchmarkException(
          "needs " + sockets + " descriptors and may have " + unix.getMaxFileDescriptorCount());
    }
  }

  /** Processors, memory, virtual machine with its flags, and the load at this moment. */
  static void describe(ObjectNode to) {
    OperatingSystemMXBean system = system();
    to.put("processors", system.getAvailableProcessors());
    to.put("processor", processor());
    to.put("memory_mb", system.getTotalMemorySize() / MB);
    to.put("java", System.getProperty("java.vm.version"));
    List<String> flags = ManagementFactory.getRuntimeMXBean().getInputArguments();
    to.put("flags", String.join(" ", flags));
    to.put("load", Point.rounded(system.getSystemLoadAverage()));
  }

  private static OperatingSystemMXBean system() {
    return (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
  }

  private static String processor() {
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
