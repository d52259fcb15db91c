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

/**
 * The command line: {@code serve} runs one balancer, {@code wire} the same decisions for the
 * simulator.
 */
public final class Main {

  private Main() {}

  /** Runs the subcommand that the arguments name. */
  public static void main(String[] args) throws InterruptedException {
    if (args.length == 1 && args[0].equals("wire")) {
      loadbalancer.simulation.SimulationMain.main(args);
    } else if (args.length == 1 && args[0].equals("serve")) {
      serve();
    } else {
      exit("usage: java -jar load-balancer.jar serve | wire", 2);
    }
  }

  private static void serve() throws InterruptedException {
    // Guards against a logging library on the class path that Netty would prefer to the JDK's.
    InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
    CompletableFuture<ProxyServer> started = new CompletableFuture<>();
    reloadAtHangup(started);
    try {
      ProxyServer node = ProxyServer.prepare(ProxyConfig.read(System.getenv("PROXY_CONFIG")));
      serve(node);
      started.complete(node);
    } catch (ConfigurationException e) {
      exit("load-balancer: " + e.getMessage(), 1);
    } catch (IllegalStateException e) {
      ProxyLogger.LOGGER.info("ends before it has begun to serve");
    }
    // The node's own threads are daemons, so that the end of the shutdown hook ends the process.
    new CountDownLatch(1).await();
  }

  /**
   * SIGTERM starts the hook, and the virtual machine lives on until the hook returns. It is there
   * ahead of the first caller; once the virtual machine is to end, it can't be set or taken back
   * any more.
   */
  private static void serve(ProxyServer node) throws ConfigurationException, InterruptedException {
    Thread drain =
        new Thread(
            () -> {
              try {
                node.drain();
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            },
            "drain");
    Runtime.getRuntime().addShutdownHook(drain);
    try {
      node.serve();
    } catch (ConfigurationException e) {
      Runtime.getRuntime().removeShutdownHook(drain);
      throw e;
    }
  }

  /**
   * SIGHUP would end the virtual machine, also one that has only just begun to serve; here it means
   * that the configuration was replaced. The file is read off the node's loop, one reading after
   * another, so that the last signal sees the last file. One that is of no use changes nothing.
   */
  private static void reloadAtHangup(CompletableFuture<ProxyServer> started) {
    ExecutorService readings =
        Executors.newSingleThreadExecutor(
            work -> {
              Thread thread = new Thread(work, "reload");
              thread.setDaemon(true);
              return thread;
            });
    onHangup(
        () ->
            readings.execute(
                () -> {
                  try {
                    ProxyServer node = started.join();
                    node.reload(ProxyConfig.read(System.getenv("PROXY_CONFIG")));
                  } catch (ConfigurationException | RuntimeException e) {
                    ProxyLogger.LOGGER.warning(
                        "the configuration stays as it was: " + e.getMessage());
                  }
                }));
  }

  /** By reflection, as javac has a warning for each use of this class that nothing can silence. */
  private static void onHangup(Runnable reaction) {
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handler = Class.forName("sun.misc.SignalHandler");
      Object handling =
          Proxy.newProxyInstance(
              Main.class.getClassLoader(),
              new Class<?>[] {handler},
              (self, method, arguments) -> {
                reaction.run();
                return null;
              });
      signal
          .getMethod("handle", signal, handler)
          .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), handling);
    } catch (ReflectiveOperationException e) {
      exit("load-balancer: SIGHUP can't be handled: " + e, 1);
    }
  }

  private static void exit(String message, int status) {
    System.err.println(message);
    System.exit(status);
  }
}
