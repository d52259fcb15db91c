import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small deployment on loopback addresses: balancers started with the command of the deploy file,
 * and stand-ins for clients, upstreams and the discovery agent. All of it ends with {@link #close}.
 */
public final class Deployment implements AutoCloseable {

  /** Whether the case applies its disruption. */
  public static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

  private final Path root = Path.of(System.getProperty("review.root"));
  private final Path folder = Files.createTempDirectory("review");
  private final PrintWriter record;
  private final long startNanos = System.nanoTime();
  private final List<AutoCloseable> parts = new ArrayList<>();

  /** The members of the "settings" and "limits" that a case may change before it starts balancers. */
  public final Map<String, String> values = new LinkedHashMap<>();

  public Deployment() throws IOException {
    record = new PrintWriter(System.getProperty("review.record"), StandardCharsets.UTF_8);
    values.put("memory_mb", "192");
    values.put("sockets", "1024");
    values.put("registryMode", "\"automatic\"");
    values.put("attemptsCap", "5");
    values.put("connectTimeout", "200.0");
    values.put("connIdle", "60000.0");
    values.put("drainGrace", "250.0");
    values.put("askEvery", "10000.0");
    values.put("graceToAnswer", "20.0");
    values.put("deadline", "6000.0");
    values.put("aim", "2500.0");
    values.put("parallelTries", "false");
    values.put("group", "\"all\"");
    values.put("memorySpan", "10000.0");
    values.put("tier", "0");
  }

  /** A case: returns whether the rule held. */
  public interface Case {
    boolean run(Deployment deployment) throws Exception;
  }

  /** Runs a case and ends the process: status 1 if the rule was broken, 0 if it held, else 2. */
  static void main(Case test) {
    int status = 2;
    try (Deployment deployment = new Deployment()) {
      // Ends the balancers also if this process is told to end.
      Runtime.getRuntime().addShutdownHook(new Thread(deployment::killBalancers));
      deployment.log(TROUBLE ? "with the disruption" : "without the disruption (TROUBLE=0)");
      boolean held = test.run(deployment);
      deployment.verdict(held ? "the rule held" : "the rule was broken");
      status = held ? 0 : 1;
    } catch (Throwable e) {
      System.out.println("the case could not run: " + e);
      e.printStackTrace(System.out);
    }
    System.exit(status);
  }

  private synchronized void killBalancers() {
    for (AutoCloseable part : parts) {
      if (part instanceof Balancer balancer) {
        balancer.process.destroyForcibly();
      }
    }
  }

  /** Writes a line to record.txt and to the standard output. */
  public void verdict(String line) {
    log(line);
    System.out.println(line);
  }

  /** Milliseconds since the case began. */
  public double now() {
    return (System.nanoTime() - startNanos) / 1e6;
  }

  /** Writes one line to record.txt. */
  public synchronized void log(String line) {
    record.printf("%10.1f ms  %s%n", now(), line);
    record.flush();
  }

  public static void sleep(double millis) {
    try {
      TimeUnit.NANOSECONDS.sleep((long) (millis * 1e6));
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  static void thread(String name, Runnable task) {
    Thread thread = new Thread(null, task, name, 256 * 1024);
    thread.setDaemon(true);
    thread.start();
  }

  static int freePort() throws IOException {
    try (ServerSocket any = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return any.getLocalPort();
    }
  }

  @Override
  public void close() {
    for (AutoCloseable part : parts) {
      try {
        part.close();
      } catch (Exception e) {
        log("close failed: " + e);
      }
    }
    File[] files = folder.toFile().listFiles();
    if (files != null) {
      for (File file : files) {
        file.delete();
      }
    }
    folder.toFile().delete();
    record.close();
  }

  // ---- Messages

  /** A request or a response; the names of the headers are in lower case. */
  public record Message(String startLine, Map<String, String> headers, byte[] body) {
    public int status() {
      return Integer.parseInt(startLine.split(" ")[1]);
    }

    public String header(String name) {
      return headers.get(name);
    }

    public String text() {
      return new String(body, StandardCharsets.ISO_8859_1);
    }
  }

  private static String readLine(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int c = in.read(); c >= 0; c = in.read()) {
      if (c == '\n') {
        return line.toString();
      }
      if (c != '\r') {
        line.append((char) c);
      }
    }
    if (line.length() > 0) {
      throw new IOException("the stream ended inside a line");
    }
    return null;
  }

  /** Reads a message with Content-Length; null at the end of the stream. */
  static Message readMessage(InputStream in) throws IOException {
    String start = readLine(in);
    if (start == null) {
      return null;
    }
    Map<String, String> headers = new TreeMap<>();
    for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
      int colon = line.indexOf(':');
      headers.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).strip());
      if (headers.size() > 1000) {
        throw new IOException("too many headers");
      }
    }
    int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
    byte[] body = in.readNBytes(length);
    if (body.length < length) {
      throw new IOException("the stream ended inside a body");
    }
    return new Message(start, headers, body);
  }

  static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  public static String ok(String body) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
  }

  // ---- Upstreams

  /** One connection to an upstream. */
  public static final class Peer {
    public final Socket socket;

    Peer(Socket socket) {
      this.socket = socket;
    }

    public void write(String text) {
      try {
        socket.getOutputStream().write(bytes(text));
      } catch (IOException e) {
        // The balancer has closed the connection.
      }
    }

    public void close() {
      try {
        socket.close();
      } catch (IOException e) {
        // Nothing to do.
      }
    }

    public void reset() {
      try {
        socket.setSoLinger(true, 0);
      } catch (IOException e) {
        // Nothing to do.
      }
      close();
    }
  }

  /** An upstream: a listener whose handler answers each request on the connection's thread. */
  public final class Upstream implements AutoCloseable {
    public final String id;
    private final ServerSocket listener;
    public volatile BiConsumer<Message, Peer> handler;
    public volatile String state = "up";
    public volatile long startedMillis;

    Upstream(String id, BiConsumer<Message, Peer> handler) throws IOException {
      this.id = id;
      this.handler = handler;
      listener = new ServerSocket(0, 512, InetAddress.getLoopbackAddress());
      thread("upstream " + id, this::accept);
    }

    public String address() {
      return "127.0.0.1:" + listener.getLocalPort();
    }

    private void accept() {
      try {
        while (true) {
          Socket socket = listener.accept();
          socket.setTcpNoDelay(true);
          thread("connection of " + id, () -> serve(new Peer(socket)));
        }
      } catch (IOException e) {
        // Closed.
      }
    }

    private void serve(Peer peer) {
      try (Socket socket = peer.socket) {
        InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
        for (Message request = readMessage(in); request != null; request = readMessage(in)) {
          log(
              "upstream " + id + " got " + request.startLine() + " id=" + request.header("x-txn")
                  + " remaining=" + request.header("x-remaining")
                  + " body_bytes=" + request.body().length);
          handler.accept(request, peer);
        }
      } catch (IOException e) {
        // The connection broke.
      }
    }

    String entry() {
      return ("{\"id\":\"%s\",\"addr\":\"%s\",\"zone\":\"room\",\"kind\":\"std\",\"cell\":1,"
              + "\"state\":\"%s\",\"weight\":1.0,\"started_ms\":%d}")
          .formatted(id, address(), state, startedMillis);
    }

    @Override
    public void close() throws IOException {
      listener.close();
    }
  }

  public Upstream upstream(String id, BiConsumer<Message, Peer> handler) throws IOException {
    Upstream upstream = new Upstream(id, handler);
    parts.add(upstream);
    return upstream;
  }

  /** An upstream that answers each request with its ID after a time. */
  public Upstream plainUpstream(String id, double millis) throws IOException {
    return upstream(
        id,
        (request, peer) -> {
          sleep(millis);
          peer.write(ok("answer to " + request.header("x-txn")));
        });
  }

  static String list(long version, boolean full, List<Upstream> upstreams) {
    List<String> entries = new ArrayList<>();
    for (Upstream upstream : upstreams) {
      entries.add(upstream.entry());
    }
    return "{\"version\":%d,\"full\":%b,\"servers\":[%s]}"
        .formatted(version, full, String.join(",", entries));
  }

  // ---- Discovery

  /** The agent of one balancer. It answers at once what it has, and is silent while it is down. */
  public final class Agent implements AutoCloseable {
    private final ServerSocket listener;
    private final List<Upstream> members;
    private long version = 41;
    private final List<Upstream> changed = new ArrayList<>();
    private boolean down;

    /** How long the agent takes for each answer. */
    public volatile double delayMillis;

    Agent(List<Upstream> members) throws IOException {
      this.members = List.copyOf(members);
      listener = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
      thread("agent", this::accept);
    }

    public String address() {
      return "127.0.0.1:" + listener.getLocalPort();
    }

    public synchronized void setDown(boolean isDown) {
      down = isDown;
      notifyAll();
    }

    /** Changes the state of an upstream; open watches are answered with the change. */
    public synchronized void change(Upstream upstream, String state) {
      upstream.state = state;
      changed.add(upstream);
      version++;
      log("agent has version " + version + ": " + upstream.id + " is " + state);
      notifyAll();
    }

    private void accept() {
      try {
        while (true) {
          Socket socket = listener.accept();
          socket.setTcpNoDelay(true);
          thread("agent connection", () -> serve(socket));
        }
      } catch (IOException e) {
        // Closed.
      }
    }

    private void serve(Socket connection) {
      try (Socket socket = connection) {
        InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
        for (Message request = readMessage(in); request != null; request = readMessage(in)) {
          String target = request.startLine().split(" ")[1];
          log("agent was asked " + target);
          String answer = answer(target);
          sleep(delayMillis);
          log("agent answers " + target + " with " + answer.length() + " bytes");
          new Peer(socket).write(ok(answer));
        }
      } catch (IOException e) {
        // The connection broke.
      }
    }

    private synchronized String answer(String target) {
      Matcher watch = Pattern.compile("index=(\\d+)&wait=(\\d+)").matcher(target);
      boolean isWatch = watch.find();
      long known = isWatch ? Long.parseLong(watch.group(1)) : 0;
      double until = now() + (isWatch ? Long.parseLong(watch.group(2)) : 0);
      try {
        while (down || (isWatch && known >= version && now() < until)) {
          wait(Math.max(1, down ? 1000 : (long) (until - now()) + 1));
        }
      } catch (InterruptedException e) {
        throw new IllegalStateException(e);
      }
      if (!isWatch) {
        return list(version, true, members);
      }
      int news = (int) Math.max(0, version - known);
      return list(version, false, changed.subList(changed.size() - news, changed.size()));
    }

    @Override
    public void close() throws IOException {
      listener.close();
    }
  }

  public Agent agent(List<Upstream> members) throws IOException {
    Agent agent = new Agent(members);
    parts.add(agent);
    return agent;
  }

  // ---- Balancers

  /** One balancer process. */
  public final class Balancer implements AutoCloseable {
    public final Process process;
    public final int port;
    private final Path config;
    private final Path output;

    Balancer(String discovery, String known) throws IOException {
      port = freePort();
      config = folder.resolve("config-" + port + ".json");
      output = folder.resolve("log-" + port + ".txt");
      Files.writeString(config, config(discovery, known));
      String deploy = Files.readString(root.resolve("deploy/balancer.toml"));
      Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
      if (!run.find()) {
        throw new IOException("the deploy file has no run command");
      }
      ProcessBuilder command = new ProcessBuilder("/bin/sh", "-c", run.group(1));
      command.directory(root.toFile());
      command.environment().put("PROXY_NAME", "n1");
      command.environment().put("PROXY_LISTEN", "127.0.0.1:" + port);
      command.environment().put("PROXY_DISCOVERY", discovery);
      command.environment().put("PROXY_CONFIG", config.toString());
      command.environment().put("TMPDIR", folder.toString());
      command.environment().remove("JAVA_TOOL_OPTIONS");
      command.redirectErrorStream(true).redirectOutput(output.toFile());
      process = command.start();
      log("started balancer pid=" + process.pid() + " port=" + port);
    }

    private String config(String discovery, String known) {
      return """
          {"name":"n1","listen":"127.0.0.1:%d","discovery":"%s","seed":"8c1f30d27a5be964",
           "limits":{"cores":1.0,"memory_mb":${memory_mb},"sockets":${sockets}},"known":%s,
           "settings":{"position":0,"siblings":1,"tier":${tier},"stages":["front","store"],"zone":0,
           "zones":["room"],"machineTypes":["std"],"registryMode":${registryMode},
           "family":"chain","familyInfo":{"passesDeadline":true},"callers":{"marksRetry":true},
           "worthBy":"request","overShareWorth":0.2,"weightKind":"silent",
           "stats":{"how":"silent","fields":[]},
           "tenants":[{"name":"school","fraction":1.0,"quotaPerS":60.0}],
           "services":[
            {"name":"view","aim":${aim},"deadline":${deadline},"worth":1.0,"lateValue":0.0,
             "idempotency":"idempotent","group":"all","memorySpan":5000.0,"streamed":false},
            {"name":"sign","aim":${aim},"deadline":${deadline},"worth":2.0,"lateValue":0.0,
             "idempotency":"at_most_once","group":"all","memorySpan":5000.0,"streamed":false},
            {"name":"order","aim":${aim},"deadline":${deadline},"worth":8.0,"lateValue":0.0,
             "idempotency":"deduplicated","group":${group},"memorySpan":${memorySpan},
             "streamed":false}],
           "limits":{"attemptsCap":${attemptsCap},"maxOpen":20000,"cancel":true,
            "parallelTries":${parallelTries},"probes":true,"peers":false,"retryAfter":false,
            "maxRetryAfter":2000.0,"connectTimeout":${connectTimeout},"connIdle":${connIdle},
            "streamsPerConn":1,"cpuUsPerS":800000,"cpuUsPerRequest":0.0},
           "rules":{"graceToAnswer":${graceToAnswer},"drainGrace":${drainGrace},
            "askEvery":${askEvery},"startCapacity":0.14,"warmUp":24000.0,"fallMultiple":4.0,
            "tipAfter":3000.0},
           "goal":{"whole":0.65,"worstWindow":0.05,"worstClass":0.2,"worstTenant":0.1},
           "prices":{"connection":0.06,"crossZone":0.0,"handshake":0.06,"lateFail":0.08,
            "moves":0.0,"origin":0.0,"peer":0.0,"probe":0.01,"registryMode":0.0,"waste":0.05},
           "tick":5.0}}
          """
          .formatted(port, discovery, known)
          .transform(
              text -> {
                String filled = text;
                for (Map.Entry<String, String> value : values.entrySet()) {
                  filled = filled.replace("${" + value.getKey() + "}", value.getValue());
                }
                return filled;
              });
    }

    /** Replaces the configuration file by one with another discovery and sends SIGHUP. */
    public void reload(String discovery, String known) throws Exception {
      Path next = folder.resolve("next-" + port + ".json");
      Files.writeString(next, config(discovery, known));
      Files.move(next, config, java.nio.file.StandardCopyOption.ATOMIC_MOVE);
      signal("HUP");
    }

    /** Waits until the balancer answers GET /_health with 200. */
    public void awaitReady() throws Exception {
      double until = now() + 30_000;
      while (true) {
        try (Client client = client(this)) {
          client.send("GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n");
          Message answer = client.receive(2_000);
          if (answer != null && answer.status() == 200) {
            log("balancer is ready");
            return;
          }
        } catch (IOException e) {
          // Not listening yet.
        }
        if (!process.isAlive() || now() > until) {
          throw new IOException("the balancer did not become ready: " + output());
        }
        sleep(20);
      }
    }

    public void signal(String name) throws Exception {
      log("send SIG" + name + " to the balancer");
      new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    /** A value of /proc/PID/status in kB, such as VmHWM; 0 if the process has ended. */
    public long statusKb(String key) {
      try {
        for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
          if (line.startsWith(key + ":")) {
            return Long.parseLong(line.replaceAll("[^0-9]", ""));
          }
        }
      } catch (IOException e) {
        // Ended.
      }
      return 0;
    }

    public String output() throws IOException {
      return Files.readString(output);
    }

    @Override
    public void close() throws Exception {
      process.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
      String text = output();
      log("output of the balancer:\n" + text.substring(0, Math.min(4_000, text.length())));
    }
  }

  /** Starts a balancer whose configuration has the given discovery address and list. */
  public Balancer balancer(String discovery, String known) throws IOException {
    Balancer balancer = new Balancer(discovery, known);
    parts.add(0, balancer);
    return balancer;
  }

  public Balancer balancer(Agent agent, List<Upstream> known) throws IOException {
    return balancer(agent.address(), list(41, true, known));
  }

  // ---- Clients

  /** A client connection to a balancer. */
  public static final class Client implements AutoCloseable {
    public final Socket socket = new Socket();
    private InputStream in;

    Client(int port) throws IOException {
      socket.setTcpNoDelay(true);
      socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 3_000);
      in = new java.io.BufferedInputStream(socket.getInputStream());
    }

    public void send(String text) throws IOException {
      socket.getOutputStream().write(bytes(text));
    }

    /**
     * Waits for an answer; null if the balancer closed the connection.
     *
     * @throws java.net.SocketTimeoutException if nothing comes in this time
     */
    public Message receive(double millis) throws IOException {
      socket.setSoTimeout((int) Math.max(1, millis));
      return readMessage(in);
    }

    @Override
    public void close() {
      try {
        socket.close();
      } catch (IOException e) {
        // Nothing to do.
      }
    }
  }

  public Client client(Balancer balancer) throws IOException {
    return new Client(balancer.port);
  }

  /** A request of the class that is safe to repeat. */
  public static String view(String id, double remainingSeconds) {
    return "GET /view/7 HTTP/1.1\r\nHost: app.svc\r\nX-Txn: %s\r\nX-Lane: view\r\nX-Org: school\r\nX-Remaining: %.3f\r\n\r\n"
        .formatted(id, remainingSeconds);
  }

  /** A request of the class that must never run twice. */
  public static String sign(String id, double remainingSeconds, String body) {
    return "POST /sign HTTP/1.1\r\nHost: app.svc\r\nX-Txn: %s\r\nX-Lane: sign\r\nX-Org: school\r\nX-Remaining: %.3f\r\nContent-Length: %d\r\n\r\n%s"
        .formatted(id, remainingSeconds, body.length(), body);
  }

  /** A request of the class whose repeats the upstreams drop. */
  public static String order(String id, String key, double remainingSeconds, String body) {
    return "POST /order HTTP/1.1\r\nHost: app.svc\r\nX-Txn: %s\r\nX-Lane: order\r\nX-Org: school\r\nX-Remaining: %.3f\r\nIdempotency-Key: %s\r\nContent-Length: %d\r\n\r\n%s"
        .formatted(id, remainingSeconds, key, body.length(), body);
  }
}
