import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
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
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * What the cases of the second review share: the record, a balancer process that is started with
 * the command {@code run} of the deploy file, and stand-ins for discovery, upstreams and clients.
 * Everything is on loopback addresses and the real clock.
 */
final class Rig implements Closeable {

  static final int KEPT = 0;
  static final int BROKEN = 1;
  static final int COULD_NOT_RUN = 2;

  /** False with TROUBLE=0: the same course without the disruption. */
  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

  final Path temp;
  private final StringBuilder record = new StringBuilder();
  private final Path recordFile;
  private final long startNanos = System.nanoTime();
  private final List<Closeable> open = new ArrayList<>();

  Rig(String recordFile) throws IOException {
    this.recordFile = Path.of(recordFile);
    temp = Files.createTempDirectory("review-2-");
    record("trouble=" + trouble);
  }

  interface Case {
    void run(Rig rig) throws Exception;
  }

  /** Runs a case; it could not run if it throws an exception or takes over 115 s. */
  static void run(String[] args, Case runnable) throws IOException {
    Rig rig = new Rig(args[0]);
    Runtime.getRuntime().addShutdownHook(new Thread(rig::endProcesses));
    rig.thread(
        () -> {
          sleep(115);
          rig.finish(COULD_NOT_RUN, "not done after 115 s");
        });
    try {
      runnable.run(rig);
      rig.finish(COULD_NOT_RUN, "the case gave no verdict");
    } catch (Exception e) {
      rig.finish(COULD_NOT_RUN, "the case failed: " + e);
    }
  }

  private void endProcesses() {
    synchronized (open) {
      for (Closeable closeable : open) {
        if (closeable instanceof Balancer balancer) {
          balancer.close();
        }
      }
    }
  }

  /** Starts a balancer with these settings and waits until it is ready. */
  Balancer startBalancer(Settings settings, Discovery discovery) throws IOException {
    Balancer balancer = new Balancer(settings, discovery.server.port(), discovery.whole());
    if (!balancer.awaitReady()) {
      finish(COULD_NOT_RUN, "the balancer was not ready after 30 s");
    }
    return balancer;
  }

  double seconds() {
    return (System.nanoTime() - startNanos) / 1e9;
  }

  synchronized void record(String line) {
    String text = String.format(Locale.ROOT, "%8.3f %s", seconds(), line);
    record.append(text).append('\n');
    System.out.println(text);
  }

  <T extends Closeable> T add(T closeable) {
    synchronized (open) {
      open.add(closeable);
    }
    return closeable;
  }

  /** Writes the record, ends all processes and exits. */
  void finish(int status, String verdict) throws IOException {
    record("verdict: " + verdict + " (exit " + status + ")");
    close();
    System.exit(status);
  }

  @Override
  public void close() throws IOException {
    synchronized (open) {
      for (int i = open.size() - 1; i >= 0; i--) {
        try {
          open.get(i).close();
        } catch (IOException e) {
          // The next ones have to be closed too.
        }
      }
      open.clear();
    }
    synchronized (this) {
      Files.writeString(recordFile, record.toString());
    }
    try (var files = Files.list(temp)) {
      for (Path file : files.toList()) {
        Files.deleteIfExists(file);
      }
    }
    Files.deleteIfExists(temp);
  }

  static int freePort() throws IOException {
    try (ServerSocket any = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return any.getLocalPort();
    }
  }

  static void sleep(double seconds) {
    try {
      Thread.sleep((long) (seconds * 1000));
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  interface Task {
    void run() throws Exception;
  }

  Thread thread(Task task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (Exception e) {
                record("stand-in thread: " + e);
              }
            });
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  // ---- Configuration

  /** One entry of a list in discovery's form. */
  static String entry(String id, int port, String state, long startedMillis) {
    return String.format(
        "{\"id\":\"%s\",\"addr\":\"127.0.0.1:%d\",\"zone\":\"new-norfolk\",\"kind\":\"layout-fast\","
            + "\"cell\":1,\"state\":\"%s\",\"weight\":1.0,\"started_ms\":%d}",
        id, port, state, startedMillis);
  }

  static String list(long version, boolean full, List<String> entries) {
    return "{\"version\":" + version + ",\"full\":" + full + ",\"servers\":["
        + String.join(",", entries) + "]}";
  }

  /** What a case may set; the other settings are those of the example in WIRE-yewdoor.md. */
  static final class Settings {
    int sockets = 256;
    int memoryMb = 144;
    int tier;
    int deadlineMillis = 6000;
    int aimMillis = 2500;
    String registryMode = "automatic";
    boolean parallelTries;
    String group = "all";
  }

  static String config(Settings s, int listenPort, int discoveryPort, String known) {
    String[][] services = {
      {"page-view", "idempotent", "1.0", "5000.0"},
      {"page-save", "idempotent", "1.0", "5000.0"},
      {"proof-sign", "at_most_once", "2.0", "5000.0"},
      {"copy-order", "deduplicated", "8.0", "10000.0"}
    };
    List<String> classes = new ArrayList<>();
    for (String[] service : services) {
      classes.add(
          "{\"name\":\"" + service[0] + "\",\"aim\":" + s.aimMillis + ".0,\"deadline\":"
              + s.deadlineMillis + ".0,\"worth\":" + service[2] + ",\"lateValue\":0.0,"
              + "\"idempotency\":\"" + service[1] + "\",\"group\":\"" + s.group + "\",\"memorySpan\":"
              + service[3] + ",\"streamed\":false}");
    }
    return "{\"name\":\"n1\",\"listen\":\"127.0.0.1:" + listenPort + "\",\"discovery\":\"127.0.0.1:"
        + discoveryPort + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":"
        + s.memoryMb + ",\"sockets\":" + s.sockets + "},\"known\":" + known
        + ",\"settings\":{\"position\":0,\"siblings\":1,\"tier\":" + s.tier
        + ",\"stages\":[\"front\",\"layout\",\"store\"],\"zone\":0,\"zones\":[\"new-norfolk\"],"
        + "\"machineTypes\":[\"layout-fast\",\"layout-std\"],\"registryMode\":\"" + s.registryMode
        + "\",\"family\":\"chain\",\"familyInfo\":{\"passesDeadline\":true},"
        + "\"callers\":{\"marksRetry\":true},\"worthBy\":\"work\",\"overShareWorth\":0.2,"
        + "\"weightKind\":\"silent\",\"stats\":{\"how\":\"silent\",\"fields\":[]},\"tick\":5.0,"
        + "\"tenants\":[{\"name\":\"riverside-high\",\"fraction\":0.53,\"quotaPerS\":61.0},"
        + "{\"name\":\"glenora-primary\",\"fraction\":0.47,\"quotaPerS\":54.0}],\"services\":["
        + String.join(",", classes)
        + "],\"limits\":{\"attemptsCap\":5,\"cancel\":true,\"connIdle\":60000.0,"
        + "\"connectTimeout\":200.0,\"cpuUsPerRequest\":0.0,\"cpuUsPerS\":800000,\"maxOpen\":20000,"
        + "\"maxRetryAfter\":2000.0,\"parallelTries\":" + s.parallelTries + ",\"peers\":false,\"probes\":true,"
        + "\"retryAfter\":false,\"streamsPerConn\":100},\"rules\":{\"askEvery\":10000.0,"
        + "\"drainGrace\":250.0,\"fallMultiple\":4.0,\"graceToAnswer\":20.0,\"startCapacity\":0.14,"
        + "\"tipAfter\":3000.0,\"warmUp\":24000.0},\"goal\":{\"whole\":0.65,\"worstClass\":0.2,"
        + "\"worstTenant\":0.1,\"worstWindow\":0.05},\"prices\":{\"connection\":0.06,"
        + "\"crossZone\":0.0,\"handshake\":0.06,\"lateFail\":0.08,\"moves\":0.0,\"origin\":0.0,"
        + "\"peer\":0.0,\"probe\":0.01,\"registryMode\":0.0,\"waste\":0.05}}}";
  }

  // ---- The balancer

  /** A balancer process, started with the command {@code run} of deploy/balancer.toml. */
  final class Balancer implements Closeable {
    final int port = freePort();
    final Process process;
    final Path configFile = temp.resolve("config.json");

    Balancer(Settings settings, int discoveryPort, String known) throws IOException {
      Files.writeString(configFile, config(settings, port, discoveryPort, known));
      String run = null;
      for (String line : Files.readAllLines(Path.of("deploy/balancer.toml"))) {
        if (line.startsWith("run = \"")) {
          run = line.substring(7, line.lastIndexOf('"'));
        }
      }
      ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run);
      builder.environment().put("PROXY_NAME", "n1");
      builder.environment().put("PROXY_LISTEN", "127.0.0.1:" + port);
      builder.environment().put("PROXY_DISCOVERY", "127.0.0.1:" + discoveryPort);
      builder.environment().put("PROXY_CONFIG", configFile.toString());
      builder.environment().put("TMPDIR", temp.toString());
      builder.redirectErrorStream(true);
      process = builder.start();
      add(this);
      thread(
          () -> {
            try (var log = process.inputReader()) {
              for (String line = log.readLine(); line != null; line = log.readLine()) {
                record("balancer: " + line);
              }
            }
          });
    }

    /** Waits until GET /_health returns 200, as the front does; false after 30 s. */
    boolean awaitReady() throws IOException {
      double end = seconds() + 30;
      while (seconds() < end && process.isAlive()) {
        try (Client client = new Client(port)) {
          client.write("GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n");
          Message answer = client.read(1);
          if (answer != null && answer.status() == 200) {
            record("balancer ready");
            return true;
          }
        } catch (IOException e) {
          sleep(0.05);
        }
      }
      return false;
    }

    /** The memory that the process holds by itself (RssAnon), in MB; -1 if it has ended. */
    double anonymousMb() {
      return status("RssAnon:");
    }

    double residentMb() {
      return status("VmRSS:");
    }

    private double status(String key) {
      try {
        for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
          if (line.startsWith(key)) {
            return Long.parseLong(line.replaceAll("[^0-9]", "")) / 1024.0;
          }
        }
      } catch (IOException e) {
        // The process has ended.
      }
      return -1;
    }

    void signal(String name) throws IOException, InterruptedException {
      record("signal " + name);
      new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    @Override
    public void close() {
      process.destroyForcibly();
      try {
        process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        throw new IllegalStateException(e);
      }
    }
  }

  // ---- HTTP

  /** A message: its first line, its header fields by lower-case name, and its body. */
  record Message(String firstLine, Map<String, String> headers, byte[] body) {
    int status() {
      return Integer.parseInt(firstLine.split(" ")[1]);
    }

    String text() {
      return new String(body, StandardCharsets.ISO_8859_1);
    }

    String id() {
      return headers.get("x-txn");
    }
  }

  /** Reads one message with Content-Length (none means an empty body); null at a clean end. */
  static Message readMessage(InputStream in) throws IOException {
    ByteArrayOutputStream head = new ByteArrayOutputStream();
    int matched = 0;
    while (matched < 4) {
      int b = in.read();
      if (b < 0) {
        if (head.size() == 0) {
          return null;
        }
        throw new EOFException("end inside a head");
      }
      head.write(b);
      matched = b == "\r\n\r\n".charAt(matched) ? matched + 1 : b == '\r' ? 1 : 0;
    }
    String[] lines = head.toString(StandardCharsets.ISO_8859_1).split("\r\n");
    Map<String, String> headers = new TreeMap<>();
    for (int i = 1; i < lines.length; i++) {
      int colon = lines[i].indexOf(':');
      headers.put(
          lines[i].substring(0, colon).toLowerCase(Locale.ROOT), lines[i].substring(colon + 1).strip());
    }
    int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
    byte[] body = in.readNBytes(length);
    if (body.length < length) {
      throw new EOFException("end inside a body");
    }
    return new Message(lines[0], headers, body);
  }

  static String response(int status, String body, String... fields) {
    StringBuilder text = new StringBuilder("HTTP/1.1 " + status + " X\r\n");
    for (String field : fields) {
      text.append(field).append("\r\n");
    }
    return text + "Content-Length: " + body.length() + "\r\n\r\n" + body;
  }

  static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  /** A client's connection. */
  static final class Client implements Closeable {
    final Socket socket = new Socket();
    final InputStream in;
    final OutputStream out;

    Client(int port) throws IOException {
      this(port, 0);
    }

    Client(int port, int receiveBuffer) throws IOException {
      if (receiveBuffer > 0) {
        socket.setReceiveBufferSize(receiveBuffer);
      }
      socket.setTcpNoDelay(true);
      socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 5000);
      in = new java.io.BufferedInputStream(socket.getInputStream());
      out = socket.getOutputStream();
    }

    void write(String text) throws IOException {
      out.write(bytes(text));
    }

    /** Reads an answer; null if the connection ended cleanly before one. */
    Message read(double timeoutSeconds) throws IOException {
      socket.setSoTimeout((int) Math.max(1, timeoutSeconds * 1000));
      return readMessage(in);
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  private static final AtomicInteger IDS = new AtomicInteger();

  static String newId() {
    return String.format("%08x%08x", System.nanoTime() & 0xffffffffL, IDS.incrementAndGet());
  }

  /** A request in the form of PROTOCOL-yewdoor.md. */
  static String request(String id, String lane, double remaining, String body) {
    boolean get = lane.startsWith("page-");
    return (get ? "GET /" : "POST /") + lane + "/" + id + " HTTP/1.1\r\nHost: app.svc\r\nX-Txn: " + id
        + "\r\nX-Lane: " + lane + "\r\nX-Org: riverside-high\r\nX-Remaining: "
        + String.format(Locale.ROOT, "%.3f", remaining) + "\r\n"
        + (lane.equals("copy-order") ? "Idempotency-Key: k" + id + "\r\n" : "")
        + (get ? "" : "Content-Length: " + body.length() + "\r\n") + "\r\n" + (get ? "" : body);
  }

  // ---- Listeners

  interface Handler {
    void handle(Socket socket) throws Exception;
  }

  /** Accepts connections on a port, each handled by a thread of its own. */
  final class Server implements Closeable {
    final ServerSocket listener;
    final List<Socket> sockets = new ArrayList<>();

    Server(int port, Handler handler) throws IOException {
      listener = new ServerSocket(port, 1024, InetAddress.getLoopbackAddress());
      add(this);
      thread(
          () -> {
            while (!listener.isClosed()) {
              Socket socket;
              try {
                socket = listener.accept();
              } catch (IOException e) {
                return;
              }
              synchronized (sockets) {
                sockets.add(socket);
              }
              Thread handling =
                  new Thread(
                      () -> {
                        try (socket) {
                          socket.setTcpNoDelay(true);
                          handler.handle(socket);
                        } catch (IOException e) {
                          // The balancer has ended the connection.
                        } catch (Exception e) {
                          record("stand-in: " + e);
                        }
                      });
              handling.setDaemon(true);
              handling.start();
            }
          });
    }

    int port() {
      return listener.getLocalPort();
    }

    @Override
    public void close() throws IOException {
      listener.close();
      synchronized (sockets) {
        for (Socket socket : sockets) {
          socket.close();
        }
      }
    }
  }

  /** Answers one request that an upstream has received. */
  interface Work {
    void run(Message request, Socket socket) throws Exception;
  }

  /** An upstream: reads requests one after another; probes and unknown paths are answered here. */
  Server upstream(Work work) throws IOException {
    return new Server(
        0,
        socket -> {
          InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
          for (Message m = readMessage(in); m != null; m = readMessage(in)) {
            if (m.firstLine().startsWith("GET /ping ")) {
              socket.getOutputStream().write(bytes(response(200, "")));
            } else if (m.id() == null) {
              socket.getOutputStream().write(bytes(response(404, "")));
            } else {
              work.run(m, socket);
            }
            if (socket.isClosed()) {
              return;
            }
          }
        });
  }

  /** Discovery's agent: the whole list, and watches, as PROTOCOL-yewdoor.md describes them. */
  final class Discovery {
    private final Map<String, String> entries = new LinkedHashMap<>();
    private final Map<String, Long> changedAt = new LinkedHashMap<>();
    private long version = 41;
    final Server server;

    /** Seconds for which each call waits for its turn, before it is handled. */
    volatile double delay;

    final AtomicInteger answered = new AtomicInteger();

    Discovery() throws IOException {
      server = new Server(0, this::handle);
    }

    synchronized void set(String id, String entry, boolean removed) {
      version++;
      entries.put(id, entry);
      changedAt.put(id, version);
      if (removed) {
        gone.add(id);
      } else {
        gone.remove(id);
      }
      notifyAll();
    }

    private final java.util.Set<String> gone = new java.util.HashSet<>();

    synchronized String whole() {
      List<String> up = new ArrayList<>();
      entries.forEach(
          (id, entry) -> {
            if (!gone.contains(id)) {
              up.add(entry);
            }
          });
      return list(version, true, up);
    }

    private synchronized String changesSince(long index, long waitMillis) throws InterruptedException {
      long end = System.nanoTime() + waitMillis * 1_000_000;
      while (version <= index && System.nanoTime() < end) {
        wait(Math.max(1, (end - System.nanoTime()) / 1_000_000));
      }
      List<String> changed = new ArrayList<>();
      changedAt.forEach(
          (id, at) -> {
            if (at > index) {
              changed.add(entries.get(id));
            }
          });
      return list(version, false, changed);
    }

    private void handle(Socket socket) throws Exception {
      InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
      for (Message m = readMessage(in); m != null; m = readMessage(in)) {
        String target = m.firstLine().split(" ")[1];
        String body;
        if (delay > 0) {
          sleep(delay);
        }
        if (target.contains("index=")) {
          long index = Long.parseLong(target.replaceAll(".*index=(-?[0-9]+).*", "$1"));
          long wait =
              target.contains("wait=")
                  ? Long.parseLong(target.replaceAll(".*wait=([0-9]+).*", "$1"))
                  : 0;
          body = changesSince(index, Math.min(60_000, wait));
        } else {
          body = whole();
        }
        socket.getOutputStream().write(bytes(response(200, body)));
        answered.incrementAndGet();
      }
    }
  }
}
