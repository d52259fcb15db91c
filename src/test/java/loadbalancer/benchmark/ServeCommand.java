package loadbalancer.benchmark;

import java.io.File;
import java.io.IOException;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** The deploy file's {@code run} for tests. */
final class ServeCommand {

  private ServeCommand() {}

  /**
   * With run's own flags, one more for the virtual machine in place of the class archive, and the
   * libraries of its jar alone; from the compiled classes, as jar and archive are made after the
   * tests.
   */
  static String fromClasses(String option) throws IOException {
    String libraries =
        Stream.of(System.getProperty("java.class.path").split(File.pathSeparator))
            .filter(
                path ->
                    path.contains("netty")
                        || path.contains("jackson")
                        || path.endsWith("target" + File.separator + "classes"))
            .collect(Collectors.joining(File.pathSeparator));
    return BalancerProcess.run()
        .replaceAll("-XX:SharedArchiveFile=\\S+", option)
        .replaceAll("-jar \\S+", "-cp " + libraries + " loadbalancer.proxy.Main");
  }
}
