package loadbalancer.benchmark;

import java.io.File;
import java.io.IOException;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** The deploy file's {@code run} for tests. */
final class ServeCommand {

  private ServeCommand() {}

  /**
   * The command with an option in place of the class archive, on the compiled classes and the
   * libraries of the serving jar, as jar and archive are built after the tests.
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
    return BalancerProcess.readRunCommand()
        .replaceAll("-XX:SharedArchiveFile=\\S+", option)
        .replaceAll("-jar \\S+", "-cp " + libraries + " loadbalancer.proxy.Main");
  }
}
