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
 * A balancer in a process of its own, started by the deploy file's {@code run}. The processes end
 * with the benchmark.
 */
final class BalancerProcess implements AutoCloseable {

  /** How long a balancer may take to be ready, by the deployment page. */
  static final double READY_TIMEOUT_SECONDS = 30;

  private static final Path DEPLOY_FILE = Path.of("deploy/balancer.toml");
  private static final Pattern RUN_COMMAND = Pattern.compile("(?m)^run = \"(.*)\"$");
  private static final Set<Process> RUNNING = ConcurrentHashMap.newKeySet();
  private static final long POLL_INTERVAL_MILLIS = 10;
  private static final int CONNECT_TIMEOUT_MILLIS = 200;
  private static final int RESPONSE_TIMEOUT_MILLIS = 10_000;
  private static final double NANOS_PER_MILLI = 1e6;
  private static final double MILLIS_PER_TICK = 10;

  /** Indexes of the processor times in /proc/PID/stat, counted after the program's name. */
  private static final int USER_TIME_FIELD = 11;

  private static final int SYSTEM_TIME_FIELD = 12;

  static {
    Runtime.getRuntime()
        .addShutdownHook(new Thread(() -> RUNNING.forEach(Process::destroyForcibly)));
  }

  private final Process process;
  private final Path config;
  private final Path log;
  private final InetSocketAddress listen;
  private final long startedAt = System.nanoTime();
  private double readyMillis;
  private double readyCpuMillis;

  /** Gives each balancer its configuration file. */
  interface Configuration {

    /** The file of the balancer at a position that listens at an address. */
    String of(int position, InetSocketAddress listen);
  }

  private BalancerProcess(String run, Configuration configuration, int position)
      throws IOException {
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      listen = (InetSocketAddress) free.getLocalSocketAddress();
    }
    config = Files.createTempFile("balancer", ".json");
    log = Files.createTempFile("balancer", ".log");
    config.toFile().deleteOnExit();
    log.toFile().deleteOnExit();
    Files.writeString(config, configuration.of(position, listen));
    ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run);
    builder.environment().put("PROXY_CONFIG", config.toString());
    process = builder.redirectErrorStream(true).redirectOutput(log.toFile()).start();
    RUNNING.add(process);
  }

  /** Reads the shell command that starts a balancer from the deploy file. */
  static String readRunCommand() throws IOException {
    Matcher run =
        RUN_COMMAND.matcher(Files.exists(DEPLOY_FILE) ? Files.readString(DEPLOY_FILE) : "");
    if (!run.find()) {
      throw new BenchmarkException(
          "found no run in " + DEPLOY_FILE + ": start it from the root of the project");
    }
    return run.group(1).replace("\\\"", "\"");
  }

  /** Starts balancers at once and returns when all are ready; throws if one fails to be. */
  static List<BalancerProcess> start(
      int count, String run, DiscoveryStandIn discovery, long seed, int tier, int zones)
      throws IOException, InterruptedException {
    InetSocketAddress asked = discovery.address(DiscoveryStandIn.REAL_BALANCERS);
    return start(
        count,
        run,
        (position, listen) -> Fleet.config(listen, asked, seed + position, count, tier, zones));
  }

  /** The same with other configurations. */
  static List<BalancerProcess> start(int count, String run, Configuration configuration)
      throws IOException, InterruptedException {
    List<BalancerProcess> balancers = new ArrayList<>();
    try {
      for (int i = 0; i < count; i++) {
        balancers.add(new BalancerProcess(run, configuration, i));
      }
      boolean waiting = true;
      while (waiting) {
        waiting = false;
        for (BalancerProcess balancer : balancers) {
          waiting |= !balancer.isReady();
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
    double millis = (System.nanoTime() - startedAt) / NANOS_PER_MILLI;
    checkAlive();
    if (millis > READY_TIMEOUT_SECONDS * 1_000) {
      throw new BenchmarkException(
          "a balancer is not ready after " + READY_TIMEOUT_SECONDS + " s: " + lastLogLine());
    }
    try (Socket socket = connectHealthy()) {
      readyMillis = (System.nanoTime() - startedAt) / NANOS_PER_MILLI;
      readyCpuMillis = cpuMillis();
      return socket.isConnected();
    } catch (IOException e) {
      return false;
    }
  }

  /** Throws if the process has ended by itself. */
  void checkAlive() throws IOException {
    if (!process.isAlive()) {
      throw new BenchmarkException(
          "a balancer ended with status " + process.exitValue() + ": " + lastLogLine());
    }
  }

  private String lastLogLine() throws IOException {
    List<String> lines = Files.readAllLines(log);
    return lines.isEmpty() ? "no log line" : lines.get(lines.size() - 1);
  }

  /** The address that it listens on. */
  InetSocketAddress address() {
    return listen;
  }

  /** Opens a connection and makes a successful health check on it; the caller closes it. */
  Socket connectHealthy() throws IOException {
    Socket socket = new Socket();
    try {
      socket.connect(listen, CONNECT_TIMEOUT_MILLIS);
      socket.setSoTimeout(RESPONSE_TIMEOUT_MILLIS);
      socket
          .getOutputStream()
          .write(
              "GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
      InputStream in = socket.getInputStream();
      String status = new String(in.readNBytes("HTTP/1.1 200".length()), StandardCharsets.US_ASCII);
      if (!status.equals("HTTP/1.1 200")) {
        throw new IOException("health answered '" + status + "'");
      }
      return socket;
    } catch (IOException e) {
      socket.close();
      throw e;
    }
  }

  double readyMillis() {
    return readyMillis;
  }

  /** Processor time from its start until it was ready. */
  double readyCpuMillis() {
    return readyCpuMillis;
  }

  /** Processor time so far in milliseconds, in steps of 10 ms. */
  double cpuMillis() throws IOException {
    checkAlive();
    String stat = Files.readString(Path.of("/proc/" + process.pid() + "/stat"));
    String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
    return (Long.parseLong(fields[USER_TIME_FIELD]) + Long.parseLong(fields[SYSTEM_TIME_FIELD]))
        * MILLIS_PER_TICK;
  }

  /** A value in KB of /proc/PID/status: VmRSS is resident, VmHWM its peak, RssAnon private. */
  double memoryKb(String name) throws IOException {
    checkAlive();
    return Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream()
        .filter(line -> line.startsWith(name + ":"))
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
      Files.deleteIfExists(config);
      Files.deleteIfExists(log);
    } catch (IOException e) {
      throw new BenchmarkException("can't remove " + e.getMessage());
    }
  }
}
