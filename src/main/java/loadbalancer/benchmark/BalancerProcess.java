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
 * A balancer started by the words of the deploy file's {@code run}, in a process of its own.
 * Whatever ends the scale run, these processes end with it.
 */
final class BalancerProcess implements AutoCloseable {

  /** How long a balancer may take to be ready, by the deployment page. */
  static final double READY_SECONDS = 30;

  private static final Path DEPLOY = Path.of("deploy/balancer.toml");
  private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");
  private static final Set<Process> RUNNING = ConcurrentHashMap.newKeySet();
  private static final long LOOK_MS = 10;
  private static final int CONNECT_MS = 200;
  private static final int ANSWER_MS = 10_000;
  private static final double NANOS_PER_MS = 1e6;
  private static final double MS_PER_TICK = 10;

  /**
   * Places of the processor time in user mode and in the system, counted after the program's name.
   */
  private static final int USER = 11;

  private static final int SYSTEM = 12;

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

  /** The words that start one, by the deploy file. */
  static String run() throws IOException {
    Matcher run = RUN.matcher(Files.exists(DEPLOY) ? Files.readString(DEPLOY) : "");
    if (!run.find()) {
      throw new BenchmarkException(
          "found no run in " + DEPLOY + ": start it from the root of the project");
    }
    return run.group(1).replace("\\\"", "\"");
  }

  /** Starts so many at once and returns once all are ready; one that isn't ends the scale run. */
  static List<BalancerProcess> start(
      int count, String run, DiscoveryStandIn discovery, long seed, int tier, int zones)
      throws IOException, InterruptedException {
    InetSocketAddress asked = discovery.address(DiscoveryStandIn.REAL);
    return start(
        count,
        run,
        (position, listen) -> Fleet.config(listen, asked, seed + position, count, tier, zones));
  }

  /** The same with configurations of the caller's own. */
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
        TimeUnit.MILLISECONDS.sleep(LOOK_MS);
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
    double millis = (System.nanoTime() - startedAt) / NANOS_PER_MS;
    checkAlive();
    if (millis > READY_SECONDS * 1_000) {
      throw new BenchmarkException(
          "a balancer is not ready after " + READY_SECONDS + " s: " + lastWords());
    }
    try (Socket socket = health()) {
      readyMillis = (System.nanoTime() - startedAt) / NANOS_PER_MS;
      readyCpuMillis = cpuMillis();
      return socket.isConnected();
    } catch (IOException e) {
      return false;
    }
  }

  /** One that has ended by itself ends the scale run. */
  void checkAlive() throws IOException {
    if (!process.isAlive()) {
      throw new BenchmarkException(
          "a balancer ended with status " + process.exitValue() + ": " + lastWords());
    }
  }

  private String lastWords() throws IOException {
    List<String> lines = Files.readAllLines(log);
    return lines.isEmpty() ? "no word of it" : lines.get(lines.size() - 1);
  }

  /** Where it serves. */
  InetSocketAddress address() {
    return listen;
  }

  /**
   * A connection on which the balancer has answered that it is well; it is the caller's to close.
   */
  Socket health() throws IOException {
    Socket socket = new Socket();
    try {
      socket.connect(listen, CONNECT_MS);
      socket.setSoTimeout(ANSWER_MS);
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

  /** Processor time so far, in steps of 10 ms. */
  double cpuMillis() throws IOException {
    checkAlive();
    String stat = Files.readString(Path.of("/proc/" + process.pid() + "/stat"));
    String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
    return (Long.parseLong(fields[USER]) + Long.parseLong(fields[SYSTEM])) * MS_PER_TICK;
  }

  /**
   * A figure of the system's in KB: VmRSS is held now, VmHWM was the most, RssAnon is nobody
   * else's.
   */
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
