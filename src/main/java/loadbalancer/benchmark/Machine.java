package loadbalancer.benchmark;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.management.OperatingSystemMXBean;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** The machine of a run: what its results depend on, and the resources that a run may use. */
final class Machine {

  private static final int BYTES_PER_MB = 1 << 20;

  /** Memory of a real balancer, by the limit in its configuration. */
  private static final long MB_PER_REAL_BALANCER = 192;

  private static final int MAX_REAL_BALANCERS = 64;

  private Machine() {}

  /** Throws unless a run fits in half of the memory and in the limit of descriptors. */
  static void requireCapacity(long sockets, int real) {
    OperatingSystemMXBean system = system();
    long taken = Runtime.getRuntime().maxMemory() / BYTES_PER_MB + real * MB_PER_REAL_BALANCER;
    long half = system.getTotalMemorySize() / BYTES_PER_MB / 2;
    if (taken > half) {
      throw new BenchmarkException(
          "would take up to "
              + taken
              + " MB, over half of the machine's memory ("
              + half
              + " MB): give it a smaller -Xmx or fewer real balancers");
    }
    if (real > MAX_REAL_BALANCERS) {
      throw new BenchmarkException(
          real + " real balancers are over the bound of " + MAX_REAL_BALANCERS);
    }
    if (system instanceof com.sun.management.UnixOperatingSystemMXBean unix
        && sockets > unix.getMaxFileDescriptorCount()) {
      throw new BenchmarkException(
          "needs " + sockets + " descriptors and may have " + unix.getMaxFileDescriptorCount());
    }
  }

  /** Writes processors, memory, virtual machine with its flags, and the present load. */
  static void describe(ObjectNode to) {
    OperatingSystemMXBean system = system();
    to.put("processors", system.getAvailableProcessors());
    to.put("processor", processor());
    to.put("memory_mb", system.getTotalMemorySize() / BYTES_PER_MB);
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
