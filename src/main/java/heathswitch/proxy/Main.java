package heathswitch.proxy;

import heathswitch.proxy.cli.Commands;
import heathswitch.proxy.platform.CdsTrainingRun;
import heathswitch.proxy.platform.NodeConfig;
import heathswitch.proxy.platform.PlatformNode;
import heathswitch.proxy.runtime.Log;
import java.util.Map;

/**
 * The command line: {@code serve} without a file is the balancer of the platform, {@code adapter}
 * the simulator's, {@code rehearse} belongs to the build, and the rest is for all other
 * installations.
 */
public final class Main {
  private Main() {}

  /** Runs until the process is told to end. */
  public static void main(String[] args) {
    // The platform's three commands load nothing of what other installations need.
    switch (args.length == 1 ? args[0] : "") {
      case "serve" -> exit(serve(System.getenv()));
      case "rehearse" -> System.exit(rehearse());
      case "adapter" -> heathswitch.policy.adapter.Main.main(args);
      default -> exit(Commands.run(args));
    }
  }

  /** Ends the process on an error or a finished command; a balancer goes on. */
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
    // Before it can be seen as ready: a SIGHUP that finds no handler ends the process.
    balancer.reload().install();
    // And before anything can be taken: a SIGTERM that finds no handler loses what has been.
    balancer.node().shutdown().installHook();
    try {
      balancer.start();
    } catch (Exception e) { // Netty throws the cause of a failed bind undeclared.
      System.err.println("listen: cannot use " + config.listen() + ": " + e.getMessage());
      balancer.node().shutdown().removeHook();
      return 1;
    }
    Log.info("start", config.name() + " listens on " + balancer.node().address());
    return -1;
  }
}
