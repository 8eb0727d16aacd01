package heathswitch.proxy;

import heathswitch.proxy.cli.Commands;
import heathswitch.proxy.platform.CdsTrainingRun;
import heathswitch.proxy.platform.NodeConfig;
import heathswitch.proxy.platform.PlatformNode;
import heathswitch.proxy.runtime.Log;
import java.util.Map;

/**
 * Entry point of the command line. {@code serve} without a file runs the balancer on the hosting
 * platform, {@code adapter} runs it for the simulator and {@code rehearse} is used by the build;
 * all other commands are for standalone installations.
 */
public final class Main {
  private Main() {}

  /** Runs a command; a balancer keeps running until the process is told to stop. */
  public static void main(String[] args) {
    // These three commands must not load classes that only standalone installations need.
    switch (args.length == 1 ? args[0] : "") {
      case "serve" -> exit(serve(System.getenv()));
      case "rehearse" -> System.exit(rehearse());
      case "adapter" -> heathswitch.policy.adapter.Main.main(args);
      default -> exit(Commands.run(args));
    }
  }

  /** Exits after an error or a finished command; a negative code keeps a balancer running. */
  private static void exit(int code) {
    if (code >= 0) {
      System.exit(code);
    }
  }

  private static int rehearse() {
    Log.installConsoleHandler();
    try {
      CdsTrainingRun.run();
      return 0;
    } catch (Exception e) {
      Log.error("rehearsal", "failed", e);
      return 1;
    }
  }

  private static int serve(Map<String, String> environment) {
    Log.installConsoleHandler();
    NodeConfig config;
    try {
      config = NodeConfig.loadAtStartup(environment);
    } catch (NodeConfig.InvalidConfigException e) {
      System.err.println(e.getMessage());
      return 1;
    }
    PlatformNode balancer = new PlatformNode(config, environment);
    // Must precede readiness: a SIGHUP without a handler terminates the process.
    balancer.reload().install();
    // Must precede the first request: a SIGTERM without a handler loses accepted requests.
    balancer.node().shutdown().installHook();
    try {
      balancer.start();
    } catch (Exception e) { // Netty rethrows the checked cause of a failed bind undeclared.
      System.err.println("listen: cannot use " + config.listen() + ": " + e.getMessage());
      balancer.node().shutdown().removeHook();
      return 1;
    }
    Log.info("start", config.name() + " listens on " + balancer.node().address());
    return -1;
  }
}
