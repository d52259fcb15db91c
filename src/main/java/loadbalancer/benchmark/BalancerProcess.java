package loadbalancer.benchmark;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A real balancer that runs in a process of its own, started with the command {@code run} in
 * deploy/balancer.toml. Processes that still run when the benchmark exits are killed.
 */
final class BalancerProcess implements AutoCloseable {

  /** The longest time from start to readiness that the deployment documentation allows. */
  static final double READY_TIMEOUT_SECONDS = 30;

  private static final Path DEPLOY_FILE = Path.of("deploy/balancer.toml");
  private static final Pattern RUN_COMMAND = Pattern.compile("(?m)^run = \"(.*)\"$");
  private static final Set<Process> RUNNING = ConcurrentHashMap.newKeySet();
  private static final long POLL_INTERVAL_MILLIS = 10;
  private static final int CONNECT_TIMEOUT_MILLIS = 200;
  private static final int RESPONSE_TIMEOUT_MILLIS = 10_000;
  private static final double NANOS_PER_MILLI = 1e6;

  /** Linux reports processor times in units of 1/100 s. */
  private static final double MILLIS_PER_TICK = 10;

  // Indexes of processor times among the fields that follow the program name in /proc/PID/stat.

  private static final int USER_TIME_FIELD = 11;

  private static final int SYSTEM_TIME_FIELD = 12;

  static {
    Runtime.getRuntime()
        .addShutdownHook(new Thread(() -> RUNNING.forEach(Process::destroyForcibly)));
  }

  private final Process process;
  private final Path configFile;
  private final Path logFile;
  private final InetSocketAddress listenAddress;
  private final long startNanos = System.nanoTime();
  private double readyMillis;
  private double readyCpuMillis;

  /** Creates the configuration of each balancer. */
  interface ConfigurationFactory {

    /** Returns the content of a balancer's configuration file. */
    String create(int balancerIndex, InetSocketAddress listenAddress);
  }

  private BalancerProcess(String runCommand, ConfigurationFactory configurations, int balancerIndex)
      throws IOException {
    try (ServerSocket freePort = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      listenAddress = (InetSocketAddress) freePort.getLocalSocketAddress();
    }
    configFile = Files.createTempFile("balancer", ".json");
    logFile = Files.createTempFile("balancer", ".log");
    configFile.toFile().deleteOnExit();
    logFile.toFile().deleteOnExit();
    Files.writeString(configFile, configurations.create(balancerIndex, listenAddress));
    ProcessBuilder processBuilder = new ProcessBuilder("/bin/sh", "-c", runCommand);
    processBuilder.environment().put("PROXY_CONFIG", configFile.toString());
    process = processBuilder.redirectErrorStream(true).redirectOutput(logFile.toFile()).start();
    RUNNING.add(process);
  }

  /** Reads the shell command that starts a balancer from deploy/balancer.toml. */
  static String readRunCommand() throws IOException {
    Matcher runLine =
        RUN_COMMAND.matcher(Files.exists(DEPLOY_FILE) ? Files.readString(DEPLOY_FILE) : "");
    if (!runLine.find()) {
      throw new BenchmarkException(
          "found no run command in "
              + DEPLOY_FILE
              + ": start the benchmark in the root directory of the project");
    }
    return runLine.group(1).replace("\\\"", "\"");
  }

  /**
   * Starts balancers that get their endpoint list from a discovery service, all at the same time,
   * and returns when all are ready. If one does not become ready, kills all of them and throws.
   */
  static List<BalancerProcess> start(
      int count, String runCommand, FakeDiscoveryService discovery, long seed, int tier, int zones)
      throws IOException, InterruptedException {
    InetSocketAddress discoveryAddress = discovery.address(FakeDiscoveryService.REAL_BALANCERS);
    return start(
        count,
        runCommand,
        (balancerIndex, listenAddress) ->
            SyntheticDeployment.configJson(
                listenAddress, discoveryAddress, seed + balancerIndex, count, tier, zones));
  }

  /** Starts balancers in the same way, but with the given configurations. */
  static List<BalancerProcess> start(
      int count, String runCommand, ConfigurationFactory configurations)
      throws IOException, InterruptedException {
    List<BalancerProcess> balancers = new ArrayList<>();
    try {
      for (int i = 0; i < count; i++) {
        balancers.add(new BalancerProcess(runCommand, configurations, i));
      }
      boolean anyNotReady = true;
      while (anyNotReady) {
        anyNotReady = false;
        for (BalancerProcess balancer : balancers) {
          anyNotReady |= !balancer.isReady();
        }
        TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
      }
    } catch (IOException | InterruptedException | RuntimeException e) {
      balancers.forEach(BalancerProcess::close);
      throw e;
    }
    return balancers;
  }

  private boolean isReady() throws IOException {
    if (readyMillis > 0) {
      return true;
    }
    double elapsedMillis = (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
    checkAlive();
    if (elapsedMillis > READY_TIMEOUT_SECONDS * 1_000) {
      throw new BenchmarkException(
          "balancer process "
              + process.pid()
              + " is not ready after "
              + READY_TIMEOUT_SECONDS
              + " s; last log line: "
              + lastLogLine());
    }
    try (Socket socket = connectHealthy()) {
      readyMillis = (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
      readyCpuMillis = cpuMillis();
      return socket.isConnected();
    } catch (IOException e) {
      return false;
    }
  }

  /** Throws if the process has exited. */
  void checkAlive() throws IOException {
    if (!process.isAlive()) {
      throw new BenchmarkException(
          "balancer process "
              + process.pid()
              + " exited with status "
              + process.exitValue()
              + "; last log line: "
              + lastLogLine());
    }
  }

  private String lastLogLine() throws IOException {
    List<String> lines = Files.readAllLines(logFile);
    return lines.isEmpty() ? "none" : lines.get(lines.size() - 1);
  }

  /** Returns the address at which the balancer listens for clients. */
  InetSocketAddress address() {
    return listenAddress;
  }

  /**
   * Opens a connection and performs a health check on it, which has to succeed. The caller closes
   * the connection.
   */
  Socket connectHealthy() throws IOException {
    Socket socket = new Socket();
    try {
      socket.connect(listenAddress, CONNECT_TIMEOUT_MILLIS);
      socket.setSoTimeout(RESPONSE_TIMEOUT_MILLIS);
      socket
          .getOutputStream()
          .write(
              "GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
      InputStream in = socket.getInputStream();
      String statusLine =
          new String(in.readNBytes("HTTP/1.1 200".length()), StandardCharsets.US_ASCII);
      if (!statusLine.equals("HTTP/1.1 200")) {
        throw new IOException(
            "response to the health check begins with '"
                + statusLine
                + "' instead of 'HTTP/1.1 200'");
      }
      return socket;
    } catch (IOException e) {
      socket.close();
      throw e;
    }
  }

  /** Returns the time from the start of the process until it was ready. */
  double readyMillis() {
    return readyMillis;
  }

  /** Returns the processor time that the process had used when it was ready. */
  double readyCpuMillis() {
    return readyCpuMillis;
  }

  /** Returns the processor time used so far in milliseconds, in steps of 10 ms. */
  double cpuMillis() throws IOException {
    checkAlive();
    String statLine = Files.readString(Path.of("/proc/" + process.pid() + "/stat"));
    String[] fields = statLine.substring(statLine.lastIndexOf(')') + 2).split(" ");
    return (Long.parseLong(fields[USER_TIME_FIELD]) + Long.parseLong(fields[SYSTEM_TIME_FIELD]))
        * MILLIS_PER_TICK;
  }

  /**
   * Returns a field of /proc/PID/status that is in KB, such as VmRSS for the resident memory, VmHWM
   * for its peak and RssAnon for the anonymous part of it.
   */
  double memoryKb(String fieldName) throws IOException {
    checkAlive();
    return Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream()
        .filter(line -> line.startsWith(fieldName + ":"))
        .findFirst()
        .map(line -> Double.parseDouble(line.replaceAll("[^0-9]", "")))
        .orElse(Double.NaN);
  }

  @Override
  public void close() {
    process.destroyForcibly();
    process.onExit().join();
    RUNNING.remove(process);
    try {
      Files.deleteIfExists(configFile);
      Files.deleteIfExists(logFile);
    } catch (IOException e) {
      throw new BenchmarkException(
          "can't delete a temporary file of a balancer: " + e.getMessage());
    }
  }
}
