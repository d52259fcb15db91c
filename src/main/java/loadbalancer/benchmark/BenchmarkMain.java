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

/** The benchmark's command line. The process exits after {@code --limit} at the latest. */
@Command(
    name = "load-balancer-benchmark",
    mixinStandardHelpOptions = true,
    description =
        "Measures how processor time, memory and discovery traffic grow with the length of the"
            + " endpoint list and the number of balancers. Prints a line of JSON for each measured"
            + " point.",
    subcommands = {
      CallsCommand.class,
      ControlCommand.class,
      ProcessesCommand.class,
      FitCommand.class
    })
public final class BenchmarkMain implements Runnable {

  private static final int STATUS_INVALID_ARGUMENTS = 2;
  private static final int STATUS_FAILED = 1;
  private static final int STATUS_TIME_LIMIT = 3;
  private static final int MAX_LIMIT_SECONDS = 1_800;

  @Option(
      names = "--limit",
      defaultValue = "600",
      scope = CommandLine.ScopeType.INHERIT,
      description =
          "Seconds after which the benchmark is aborted with status 3, at most 1800"
              + " (default ${DEFAULT-VALUE}).")
  private int limitSeconds;

  @Spec private CommandSpec spec;

  private BenchmarkMain() {}

  /**
   * Runs the subcommand that the arguments name, and ends whatever it started before it returns.
   */
  public static void main(String[] args) {
    System.exit(runCommand(args));
  }

  /**
   * Returns the exit status: 0, 1 for a failed run, 2 for invalid arguments. After {@code --limit},
   * the process exits with status 3 instead.
   */
  static int runCommand(String... args) {
    Level previousLevel = ProxyLogger.LOGGER.getLevel();
    ProxyLogger.LOGGER.setLevel(Level.SEVERE);
    try {
      return execute(args);
    } finally {
      ProxyLogger.LOGGER.setLevel(previousLevel);
    }
  }

  private static int execute(String... args) {
    BenchmarkMain main = new BenchmarkMain();
    CommandLine commandLine = new CommandLine(main);
    commandLine.setParameterExceptionHandler(
        (e, arguments) -> reportError(e.getMessage(), STATUS_INVALID_ARGUMENTS));
    commandLine.setExecutionExceptionHandler(
        (e, command, parsed) ->
            reportError(
                e instanceof BenchmarkException ? e.getMessage() : e.toString(), STATUS_FAILED));
    commandLine.setExecutionStrategy(
        parsed -> {
          try {
            OptionValidator.requireBetween("--limit", main.limitSeconds, 1, MAX_LIMIT_SECONDS);
          } catch (BenchmarkException e) {
            return reportError(e.getMessage(), STATUS_INVALID_ARGUMENTS);
          }
          main.startWatchdog();
          return new CommandLine.RunLast().execute(parsed);
        });
    return commandLine.execute(args);
  }

  @Override
  public void run() {
    throw new ParameterException(
        spec.commandLine(), "missing command: calls, control, processes or fit");
  }

  private void startWatchdog() {
    Thread watchdog =
        new Thread(
            () -> {
              try {
                TimeUnit.SECONDS.sleep(limitSeconds);
                System.exit(
                    reportError(
                        "aborted after the --limit of " + limitSeconds + " s", STATUS_TIME_LIMIT));
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
