package loadbalancer.proxy;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A load balancer process with its configuration file; close() kills it and deletes the file. */
final class ProxyProcess implements AutoCloseable {

  private static final String JAVA =
      Path.of(System.getProperty("java.home"), "bin", "java").toString();
  private static final String CLASS_PATH = System.getProperty("java.class.path");

  final Process process;
  final InetSocketAddress address;

  /** The configuration with which the process started. */
  final String config;

  private final Path configFile;

  private ProxyProcess(ProxyFixture fixture, ProcessBuilder command) throws IOException {
    address = freeAddress();
    config = fixture.config().replace("127.0.0.1:0", "127.0.0.1:" + address.getPort());
    configFile = Files.createTempFile("proxy", ".json");
    Files.writeString(configFile, config);
    command.environment().put("PROXY_CONFIG", configFile.toString());
    process = command.redirectOutput(ProcessBuilder.Redirect.DISCARD).start();
  }

  private static InetSocketAddress freeAddress() throws IOException {
    try (ServerSocket anyPort = new ServerSocket(0)) {
      return new InetSocketAddress(InetAddress.getLoopbackAddress(), anyPort.getLocalPort());
    }
  }

  /** Starts a process with the fixture's configuration and the given JVM flags. */
  static ProxyProcess start(ProxyFixture fixture, String... jvmFlags) throws IOException {
    List<String> command = new ArrayList<>(List.of(JAVA));
    command.addAll(List.of(jvmFlags));
    command.addAll(List.of("-cp", CLASS_PATH, Main.class.getName(), "serve"));
    return new ProxyProcess(fixture, new ProcessBuilder(command));
  }

  /**
   * Starts a process through a shell; {@code commandPrefix} precedes the path of {@code java}. Both
   * its output and its errors are discarded.
   */
  static ProxyProcess startInShell(ProxyFixture fixture, String commandPrefix) throws IOException {
    ProcessBuilder command =
        new ProcessBuilder(
            "/bin/sh",
            "-c",
            commandPrefix
                + " \""
                + JAVA
                + "\" -cp \"$CLASS_PATH\" "
                + Main.class.getName()
                + " serve");
    command.environment().put("CLASS_PATH", CLASS_PATH);
    return new ProxyProcess(fixture, command.redirectErrorStream(true));
  }

  /** Runs the program; {@code config} is its configuration file, null for none. */
  static Process startProgram(Path config, String... arguments) throws IOException {
    List<String> command = new ArrayList<>(List.of(JAVA, "-cp", CLASS_PATH, Main.class.getName()));
    command.addAll(List.of(arguments));
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.environment().remove("PROXY_CONFIG");
    if (config != null) {
      builder.environment().put("PROXY_CONFIG", config.toString());
    }
    return builder.redirectOutput(ProcessBuilder.Redirect.DISCARD).start();
  }

  /** Connects as soon as the process accepts clients. */
  HttpPeer connect() throws IOException {
    return HttpPeer.connectWhenServing(address, process);
  }

  /** Replaces the configuration file and sends SIGHUP. */
  void reload(String newConfig) throws IOException, InterruptedException {
    Files.writeString(configFile, newConfig);
    sendSighup();
  }

  void sendSighup() throws IOException, InterruptedException {
    String pid = Long.toString(process.pid());
    int status = new ProcessBuilder("kill", "-HUP", pid).start().waitFor();
    if (status != 0) {
      throw new AssertionError("kill -HUP failed with exit status " + status);
    }
  }

  @Override
  public void close() throws IOException {
    process.destroyForcibly();
    Files.delete(configFile);
  }
}
