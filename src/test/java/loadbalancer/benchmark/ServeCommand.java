package loadbalancer.benchmark;

import java.io.File;
import java.io.IOException;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** The command {@code run} in deploy/balancer.toml, adapted for tests. */
final class ServeCommand {

  private ServeCommand() {}

  /**
   * Returns the command with the compiled classes and libraries of the serving jar on the class
   * path instead of the jar, as the jar and its class archive are built only after the tests.
   *
   * @param jvmOption replaces the option that names the class archive
   */
  static String fromClasses(String jvmOption) throws IOException {
    String classPath =
        Stream.of(System.getProperty("java.class.path").split(File.pathSeparator))
            .filter(
                path ->
                    path.contains("netty")
                        || path.contains("jackson")
                        || path.endsWith("target" + File.separator + "classes"))
            .collect(Collectors.joining(File.pathSeparator));
    return BalancerProcess.readRunCommand()
        .replaceAll("-XX:SharedArchiveFile=\\S+", jvmOption)
        .replaceAll("-jar \\S+", "-cp " + classPath + " loadbalancer.proxy.Main");
  }
}
