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
   * Runs the subcommand that the arguments name. If they name none, exits with status 2; if the
   * instance cannot be started, with status 1. Either way prints one line on standard error.
   */
  public static void main(String[] args) throws InterruptedException {
    if (args.length == 1 && args[0].equals("wire")) {
      SimulationMain.main(args);
    } else if (args.length == 1 && args[0].equals("serve")) {
      serve();
    } else {
      exit(
          "usage: java -jar load-balancer.jar serve | wire"
              + " (serve: run the load balancer; wire: run its policy for a simulator,"
              + " over standard input and output)",
          EXIT_USAGE);
    }
  }

  private static void serve() throws InterruptedException {
    // Netty would otherwise prefer another logging library to the JDK's if the class path had one.
    InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
    CompletableFuture<ProxyServer> startedServer = new CompletableFuture<>();
    reloadOnHangup(startedServer);
    try {
      ProxyServer server = ProxyServer.prepare(ProxyConfig.read(System.getenv(CONFIG_VARIABLE)));
      exitIfEventLoopTerminates(server);
      serveUntilShutdown(server);
      startedServer.complete(server);
    } catch (ConfigurationException e) {
      exit("load-balancer: " + e.getMessage(), EXIT_FAILURE);
    } catch (IllegalStateException e) {
      ProxyLogger.LOGGER.info("shutdown requested before the start was complete");
    }
    // All other threads are daemons; this one keeps the process alive until its shutdown hook ends.
    new CountDownLatch(1).await();
  }

  /**
   * Accepts clients, after registering a shutdown hook. SIGTERM runs the hook, which shuts down
   * gracefully, and the process ends when the hook returns.
   *
   * @throws IllegalStateException if the process is already shutting down
   */
  private static void serveUntilShutdown(ProxyServer server)
      throws ConfigurationException, InterruptedException {
    Thread shutdownHook = new Thread(() -> shutDownGracefully(server), "graceful-shutdown");
    Runtime.getRuntime().addShutdownHook(shutdownHook);
    try {
      server.serve();
    } catch (ConfigurationException e) {
      Runtime.getRuntime().removeShutdownHook(shutdownHook);
      throw e;
    }
  }

  /**
   * Ends the process with status 1 if the event loop ends, as after an error in Netty: the process
   * would otherwise accept connections and never answer. A graceful shutdown would be of no use.
   */
  static void exitIfEventLoopTerminates(ProxyServer server) {
    server.onEventLoopTerminated(
        () -> {
          ProxyLogger.LOGGER.severe("event loop terminated, ending the process");
          Runtime.getRuntime().halt(EXIT_FAILURE);
        });
  }

  private static void shutDownGracefully(ProxyServer server) {
    try {
      server.shutDownGracefully();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Makes SIGHUP reload the configuration; by default it would end the process. Registered before
   * the start, during which a signal may come too. A single thread carries out all reloads, so that
   * the file as of the last signal is the one that is applied last.
   */
  private static void reloadOnHangup(CompletableFuture<ProxyServer> startedServer) {
    ExecutorService reloadExecutor =
        Executors.newSingleThreadExecutor(
            task -> {
              Thread thread = new Thread(task, "reload");
              thread.setDaemon(true);
              return thread;
            });
    onHangup(() -> reloadExecutor.execute(() -> reload(startedServer)));
  }

  /** Waits for the start to complete and reloads; an invalid configuration changes nothing. */
  private static void reload(CompletableFuture<ProxyServer> startedServer) {
    try {
      ProxyServer server = startedServer.join();
      server.reload(ProxyConfig.read(System.getenv(CONFIG_VARIABLE)));
    } catch (ConfigurationException | RuntimeException e) {
      ProxyLogger.LOGGER.warning(
          "configuration reload failed, keeping the current one: error=" + e.getMessage());
    }
  }

  /**
   * Sets the handler of SIGHUP. Uses reflection because javac warns of each direct use of
   * sun.misc.Signal and the warning can't be suppressed.
   */
  private static void onHangup(Runnable action) {
    try {
      Class<?> signalType = Class.forName("sun.misc.Signal");
      Class<?> handlerType = Class.forName("sun.misc.SignalHandler");
      Object signalHandler =
          Proxy.newProxyInstance(
              Main.class.getClassLoader(),
              new Class<?>[] {handlerType},
              (proxy, method, arguments) -> {
                action.run();
                return null;
              });
      signalType
          .getMethod("handle", signalType, handlerType)
          .invoke(null, signalType.getConstructor(String.class).newInstance("HUP"), signalHandler);
    } catch (ReflectiveOperationException e) {
      exit("load-balancer: cannot install a handler for SIGHUP: " + e, EXIT_FAILURE);
    }
  }

  private static void exit(String message, int status) {
    System.err.println(message);
    System.exit(status);
  }
}
