package loadbalancer.proxy;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.lang.reflect.Proxy;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import loadbalancer.proxy.config.ConfigurationException;
import loadbalancer.proxy.config.ProxyConfig;
import loadbalancer.proxy.logging.ProxyLogger;
import loadbalancer.simulation.SimulationMain;

/**
 * The command line: {@code serve} runs one load balancer instance, {@code wire} runs its policy for
 * the simulator.
 */
public final class Main {

  private static final String CONFIG_VARIABLE = "PROXY_CONFIG";
  private static final int EXIT_FAILURE = 1;
  private static final int EXIT_USAGE = 2;

  private Main() {}

  /**
   * Runs the subcommand that the arguments name. Exits with status 2 if there is none, and with 1
   * if the instance cannot be started; either way with one line on standard error.
   */
  public static void main(String[] args) throws InterruptedException {
    if (args.length == 1 && args[0].equals("wire")) {
      SimulationMain.main(args);
    } else if (args.length == 1 && args[0].equals("serve")) {
      serve();
    } else {
      exit("usage: java -jar load-balancer.jar serve | wire", EXIT_USAGE);
    }
  }

  private static void serve() throws InterruptedException {
    // Guards against a logging library on the class path that Netty would prefer to the JDK's.
    InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
    CompletableFuture<ProxyServer> started = new CompletableFuture<>();
    reloadOnHangup(started);
    try {
      ProxyServer server = ProxyServer.prepare(ProxyConfig.read(System.getenv(CONFIG_VARIABLE)));
      serveUntilShutdown(server);
      started.complete(server);
    } catch (ConfigurationException e) {
      exit("load-balancer: " + e.getMessage(), EXIT_FAILURE);
    } catch (IllegalStateException e) {
      ProxyLogger.LOGGER.info("shutdown before start completed");
    }
    // The threads of the server are daemons, so the process ends with its shutdown hook.
    new CountDownLatch(1).await();
  }

  /**
   * Registers the graceful shutdown and accepts clients. SIGTERM runs the hook, and the process
   * lives until the hook returns. The hook is registered before the first client is accepted.
   *
   * @throws IllegalStateException if the process is already shutting down
   */
  private static void serveUntilShutdown(ProxyServer server)
      throws ConfigurationException, InterruptedException {
    Thread hook = new Thread(() -> shutDownGracefully(server), "graceful-shutdown");
    Runtime.getRuntime().addShutdownHook(hook);
    try {
      server.serve();
    } catch (ConfigurationException e) {
      Runtime.getRuntime().removeShutdownHook(hook);
      throw e;
    }
  }

  private static void shutDownGracefully(ProxyServer server) {
    try {
      server.shutDownGracefully();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Makes SIGHUP reload the configuration; by default it would end the process, also during the
   * start. A single thread reads the file, so that the last signal sees the last file.
   */
  private static void reloadOnHangup(CompletableFuture<ProxyServer> started) {
    ExecutorService reloader =
        Executors.newSingleThreadExecutor(
            work -> {
              Thread thread = new Thread(work, "reload");
              thread.setDaemon(true);
              return thread;
            });
    onHangup(() -> reloader.execute(() -> reload(started)));
  }

  /** Waits for the start to complete; a configuration with an error changes nothing. */
  private static void reload(CompletableFuture<ProxyServer> started) {
    try {
      ProxyServer server = started.join();
      server.reload(ProxyConfig.read(System.getenv(CONFIG_VARIABLE)));
    } catch (ConfigurationException | RuntimeException e) {
      ProxyLogger.LOGGER.warning(
          "configuration reload failed, keeping the current one: error=" + e.getMessage());
    }
  }

  /** Uses reflection because javac warns of each use of this class, and nothing can silence it. */
  private static void onHangup(Runnable action) {
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handlerType = Class.forName("sun.misc.SignalHandler");
      Object handler =
          Proxy.newProxyInstance(
              Main.class.getClassLoader(),
              new Class<?>[] {handlerType},
              (proxy, method, arguments) -> {
                action.run();
                return null;
              });
      signal
          .getMethod("handle", signal, handlerType)
          .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), handler);
    } catch (ReflectiveOperationException e) {
      exit("load-balancer: SIGHUP can't be handled: " + e, EXIT_FAILURE);
    }
  }

  private static void exit(String message, int status) {
    System.err.println(message);
    System.exit(status);
  }
}
