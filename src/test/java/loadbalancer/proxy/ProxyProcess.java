package loadbalancer.proxy;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A process that serves, and its configuration file; closing this ends and deletes them. */
final class ProxyProcess implements AutoCloseable {

  private static final String JAVA =
      Path.of(System.getProperty("java.home"), "bin", "java").toString();
  private static final String CLASSES = System.getProperty("java.class.path");

  final Process process;
  final InetSocketAddress address;

  /** The configuration at its start. */
  final String config;

  private final Path file;

  private ProxyProcess(ProxyFixture fixture, ProcessBuilder command) throws IOException {
    address = freeAddress();
    config = fixture.config().replace("127.0.0.1:0", "127.0.0.1:" + address.getPort());
    file = Files.createTempFile("proxy", ".json");
    Files.writeString(file, config);
    command.environment().put("PROXY_CONFIG", file.toString());
    process = command.redirectOutput(ProcessBuilder.Redirect.DISCARD).start();
  }

  private static InetSocketAddress freeAddress() throws IOException {
    try (ServerSocket free = new ServerSocket(0)) {
      return new InetSocketAddress(InetAddress.getLoopbackAddress(), free.getLocalPort());
    }
  }

  /** Starts the process with the upstreams and discovery of the fixture and the JVM flags. */
  static ProxyProcess start(ProxyFixture fixture, String... flags) throws IOException {
    List<String> command = new ArrayList<>(List.of(JAVA));
    command.addAll(List.of(flags));
    command.addAll(List.of("-cp", CLASSES, Main.class.getName(), "serve"));
    return new ProxyProcess(fixture, new ProcessBuilder(command));
  }

  /** Starts it from a shell that runs {@code commandPrefix} first; its output is not read. */
  static ProxyProcess startInShell(ProxyFixture fixture, String commandPrefix) throws IOException {
    ProcessBuilder command =
        new ProcessBuilder(
            "/bin/sh",
            "-c",
            commandPrefix
                + " \""
                + JAVA
                + "\" -cp \"$CLASSES\" "
                + Main.class.getName()
                + " serve");
    command.environment().put("CLASSES", CLASSES);
    return new ProxyProcess(fixture, command.redirectErrorStream(true));
  }

  /** Starts the command line; {@code config} is its configuration file, null for none. */
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

  /** Connects once the process serves. */
  HttpPeer connect() throws IOException {
    return HttpPeer.connectWhenServing(address, process);
  }

  /** Replaces the configuration file and sends SIGHUP. */
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
