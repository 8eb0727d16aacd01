package maplehall;

import java.util.Map;

/**
 * The command line: {@code serve} is the real balancer, {@code adapter} the simulator's, and {@code
 * rehearse} belongs to the build.
 */
public final class Main {
  private Main() {}

  /** Runs until the process is told to end. */
  public static void main(String[] args) {
    String command = args.length == 1 ? args[0] : "";
    switch (command) {
      case "serve" -> {
        int code = serve(System.getenv());
        if (code != 0) {
          System.exit(code);
        }
      }
      case "rehearse" -> System.exit(rehearse());
      case "adapter" -> meadowtrack.adapter.Main.main(args);
      default -> {
        System.err.println("usage: java -jar maplehall.jar serve|adapter");
        System.exit(2);
      }
    }
  }

  private static int rehearse() {
    Log.setUp();
    try {
      Rehearsal.play();
      return 0;
    } catch (Exception e) {
      Log.error("rehearsal", "failed", e);
      return 1;
    }
  }

  private static int serve(Map<String, String> environment) {
    Log.setUp();
    NodeConfig config;
    try {
      config = NodeConfig.load(environment);
    } catch (NodeConfig.Invalid e) {
      System.err.println(e.getMessage());
      return 1;
    }
    Node node = new Node(config, environment);
    try {
      node.start(config);
    } catch (Exception e) { // Netty throws the cause of a failed bind undeclared.
      System.err.println("listen: cannot use " + config.listen() + ": " + e.getMessage());
      return 1;
    }
    node.shutdown().install();
    node.reload().install();
    Log.info("start", config.name() + " listens on " + node.address());
    return 0;
  }
}
