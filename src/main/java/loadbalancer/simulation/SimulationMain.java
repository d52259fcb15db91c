package loadbalancer.simulation;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import loadbalancer.policy.LatencyWeightedPolicy;
import loadbalancer.settings.MalformedInputException;

/**
 * The command {@code wire}, which runs the policy for the simulator: it reads frames of events from
 * standard input and writes a reply to each to standard output.
 */
public final class SimulationMain {

  private static final String COMMAND = "wire";
  private static final int STATUS_OK = 0;
  private static final int STATUS_FAILED = 1;
  private static final int STATUS_USAGE = 2;
  private static final int BUFFER_BYTES = 1 << 16;

  private SimulationMain() {}

  /**
   * Runs the command and exits: with status 0 when the input has ended after a complete frame, 1 if
   * the input is malformed or can't be read or the output can't be written, 2 for invalid
   * arguments.
   */
  public static void main(String[] args) {
    InputStream in = new BufferedInputStream(new FileInputStream(FileDescriptor.in), BUFFER_BYTES);
    OutputStream out =
        new BufferedOutputStream(new FileOutputStream(FileDescriptor.out), BUFFER_BYTES);
    System.exit(run(args, in, out, System.err));
  }

  static int run(String[] args, InputStream in, OutputStream out, PrintStream err) {
    if (args.length != 1 || !args[0].equals(COMMAND)) {
      err.println("usage: java -jar load-balancer.jar " + COMMAND);
      return STATUS_USAGE;
    }
    try {
      new SimulationHost(LatencyWeightedPolicy::new).serve(in, out);
      return STATUS_OK;
    } catch (MalformedInputException | IOException e) {
      err.println("load-balancer: " + e.getMessage());
      return STATUS_FAILED;
    }
  }
}
