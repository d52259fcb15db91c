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

/** The command line of the scale run. It ends by itself, at the latest when its time is over. */
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

  private static final int BAD_ARGUMENTS = 2;
  private static final int FAILED = 1;
  private static final int OUT_OF_TIME = 3;
  private static final int LONGEST_SECONDS = 1_800;

  @Option(
      names = "--limit",
      defaultValue = "600",
      scope = CommandLine.ScopeType.INHERIT,
      description = "Seconds after which the run is broken off.")
  private int limit;

  @Spec private CommandSpec spec;

  private BenchmarkMain() {}

  /**
   * Runs the subcommand that the arguments name; whatever it started has ended when this returns.
   */
  public static void main(String[] args) {
    System.exit(run(args));
  }

  /** The exit status: 0, 1 for a run that failed, 2 for arguments that are amiss. */
  static int run(String... args) {
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
    line.setParameterExceptionHandler((e, given) -> say(e.getMessage(), BAD_ARGUMENTS));
    line.setExecutionExceptionHandler(
        (e, command, parsed) ->
            say(e instanceof BenchmarkException ? e.getMessage() : e.toString(), FAILED));
    line.setExecutionStrategy(
        parsed -> {
          try {
            Arguments.within("--limit", main.limit, 1, LONGEST_SECONDS);
          } catch (BenchmarkException e) {
            return say(e.getMessage(), BAD_ARGUMENTS);
          }
          main.endInTime();
          return new CommandLine.RunLast().execute(parsed);
        });
    return line.execute(args);
  }

  @Override
  public void run() {
    throw new ParameterException(
        spec.commandLine(), "names no command: calls, control, processes or fit");
  }

  private void endInTime() {
    Thread watchdog =
        new Thread(
            () -> {
              try {
                TimeUnit.SECONDS.sleep(limit);
                System.exit(say("broken off after " + limit + " s", OUT_OF_TIME));
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            },
            "watchdog");
    watchdog.setDaemon(true);
    watchdog.start();
  }

  private static int say(String message, int status) {
    System.err.println(
        "load-balancer-benchmark: " + String.valueOf(message).lines().findFirst().orElse(""));
    return status;
  }
}
