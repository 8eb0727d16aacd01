package heathswitch.policy.adapter;

import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;

/**
 * The command line: {@code adapter} runs balancers by events from standard input and writes their
 * actions to standard output.
 */
public final class Main {
  private Main() {}

  /** Runs the adapter and exits with its status. */
  public static void main(String[] args) {
    InputStream in = new FileInputStream(FileDescriptor.in);
    OutputStream out = new FileOutputStream(FileDescriptor.out);
    System.exit(run(args, in, out, System.err));
  }

  /** Exit status: 0 at the end of the input, 1 on invalid input, 2 on a wrong command line. */
  static int run(String[] args, InputStream in, OutputStream out, PrintStream err) {
    if (args.length != 1 || !args[0].equals("adapter")) {
      err.println("usage: java -jar heathswitch.jar adapter");
      return 2;
    }
    try {
      new WireReader(in, out, err).run();
      return 0;
    } catch (ProtocolException e) {
      err.println(e.getMessage());
    } catch (IOException e) {
      err.println("standard input or output failed: " + e.getMessage());
    }
    return 1;
  }
}
