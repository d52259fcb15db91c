package loadbalancer.benchmark;

import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import loadbalancer.proxy.logging.ProxyLogger;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The benchmark's command line. It ends by itself, at the latest after {@code --limit}. */
@Command(
    name = "load-balancer-benchmark",
    mixinStandardHelpOptions = true,
    description =
        "Measures how costs grow with lists and fleets; prints a line of JSON for each point.",
    subcommands = {
      CallsCommand.class,
      ControlCommand.class,
      ProcessesCommand.class,
      FitCommand.class
    })
public final class BenchmarkMain implements Runnable {

  private static final int INVALID_ARGUMENTS = 2;
  private static final int FAILED = 1;
  private static final int OUT_OF_TIME = 3;
  private static final int MAX_LIMIT_SECONDS = 1_800;

  @Option(
      names = "--limit",
      defaultValue = "600",
      scope = CommandLine.ScopeType.INHERIT,
      description = "Seconds after which the run is broken off.")
  private int limitSeconds;

  @Spec private CommandSpec spec;

  private BenchmarkMain() {}

  /**
   * Runs the subcommand that the arguments name, and ends whatever it started before it returns.
   */
  public static void main(String[] args) {
    System.exit(runCommand(args));
  }

  /** Returns the exit status: 0, 1 for a failed run, 2 for invalid arguments. */
  static int runCommand(String... args) {
    Level before = ProxyLogger.LOGGER.getLevel();
    ProxyLogger.LOGGER.setLevel(Level.SEVERE);
    try {
      return execute(args);
    } finally {
      ProxyLogger.LOGGER.setLevel(before);
    }
  }

  private static int execute(String... args) {
    BenchmarkMain main = new BenchmarkMain();
    CommandLine line = new CommandLine(main);
    line.setParameterExceptionHandler((e, given) -> reportError(e.getMessage(), INVALID_ARGUMENTS));
    line.setExecutionExceptionHandler(
        (e, command, parsed) ->
            reportError(e instanceof BenchmarkException ? e.getMessage() : e.toString(), FAILED));
    line.setExecutionStrategy(
        parsed -> {
          try {
            Arguments.requireBetween("--limit", main.limitSeconds, 1, MAX_LIMIT_SECONDS);
          } catch (BenchmarkException e) {
            return reportError(e.getMessage(), INVALID_ARGUMENTS);
          }
          main.startWatchdog();
          return new CommandLine.RunLast().execute(parsed);
        });
    return line.execute(args);
  }

  @Override
  public void run() {
    throw new ParameterException(
        spec.commandLine(), "names no command: calls, control, processes or fit");
  }

  private void startWatchdog() {
    Thread watchdog =
        new Thread(
            () -> {
              try {
                TimeUnit.SECONDS.sleep(limitSeconds);
                System.exit(reportError("broken off after " + limitSeconds + " s", OUT_OF_TIME));
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            },
            "watchdog");
    watchdog.setDaemon(true);
    watchdog.start();
  }

  private static int reportError(String message, int status) {
    System.err.println(
        "load-balancer-benchmark: " + String.valueOf(message).lines().findFirst().orElse(""));
    return status;
  }
}
