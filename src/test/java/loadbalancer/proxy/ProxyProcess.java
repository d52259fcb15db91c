package loadbalancer.proxy;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The program as a process of its own, and its configuration file; both are gone once this is
 * closed.
 */
final class ProxyProcess implements AutoCloseable {

  private static final String JAVA =
      Path.of(System.getProperty("java.home"), "bin", "java").toString();
  private static final String CLASSES = System.getProperty("java.class.path");

  final Process process;
  final InetSocketAddress address;

  /** What it was configured with at its start. */
  final String config;

  private final Path file;

  private ProxyProcess(ProxyFixture stage, ProcessBuilder command) throws IOException {
    address = freeAddress();
    config = stage.config().replace("127.0.0.1:0", "127.0.0.1:" + address.getPort());
    file = Files.createTempFile("node", ".json");
    Files.writeString(file, config);
    command.environment().put("PROXY_CONFIG", file.toString());
    process = command.redirectOutput(ProcessBuilder.Redirect.DISCARD).start();
  }

  private static InetSocketAddress freeAddress() throws IOException {
    try (ServerSocket free = new ServerSocket(0)) {
      return new InetSocketAddress(InetAddress.getLoopbackAddress(), free.getLocalPort());
    }
  }

  /**
   * Starts it between the test's upstreams and discovery, with such flags for the virtual machine.
   */
  static ProxyProcess start(ProxyFixture stage, String... flags) throws IOException {
    List<String> command = new ArrayList<>(List.of(JAVA));
    command.addAll(List.of(flags));
    command.addAll(List.of("-cp", CLASSES, Main.class.getName(), "serve"));
    return new ProxyProcess(stage, new ProcessBuilder(command));
  }

  /** Likewise from a shell that does {@code before} first; what it writes is not kept. */
  static ProxyProcess startInShell(ProxyFixture stage, String before) throws IOException {
    ProcessBuilder command =
        new ProcessBuilder(
            "/bin/sh",
            "-c",
            before + " \"" + JAVA + "\" -cp \"$CLASSES\" " + Main.class.getName() + " serve");
    command.environment().put("CLASSES", CLASSES);
    return new ProxyProcess(stage, command.redirectErrorStream(true));
  }

  /** Starts the program with these arguments; {@code config} names its configuration, null none. */
  static Process startWith(Path config, String... arguments) throws IOException {
    List<String> command = new ArrayList<>(List.of(JAVA, "-cp", CLASSES, Main.class.getName()));
    command.addAll(List.of(arguments));
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.environment().remove("PROXY_CONFIG");
    if (config != null) {
      builder.environment().put("PROXY_CONFIG", config.toString());
    }
    return builder.redirectOutput(ProcessBuilder.Redirect.DISCARD).start();
  }

  /** A connection to it, on which it has said that it serves. */
  HttpPeer connect() throws IOException {
    return HttpPeer.connectWhenServing(address, process);
  }

  /** Replaces its configuration and tells it so. */
  void reload(String changed) throws IOException, InterruptedException {
    Files.writeString(file, changed);
    hangUp();
  }

  void hangUp() throws IOException, InterruptedException {
    String id = Long.toString(process.pid());
    int status = new ProcessBuilder("kill", "-HUP", id).start().waitFor();
    if (status != 0) {
      throw new AssertionError("SIGHUP could not be sent: " + status);
    }
  }

  @Override
  public void close() throws IOException {
    process.destroyForcibly();
    Files.delete(file);
  }
}
