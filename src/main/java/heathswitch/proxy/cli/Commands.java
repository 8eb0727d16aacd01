package heathswitch.proxy.cli;

import heathswitch.proxy.config.ValidationError;
import heathswitch.proxy.gateway.GatewayTable;
import heathswitch.proxy.gateway.SiteGateway;
import heathswitch.proxy.gossip.GossipService;
import heathswitch.proxy.gossip.PeersTable;
import heathswitch.proxy.logging.StructuredLog;
import heathswitch.proxy.maintenance.MaintenanceConfigCheck;
import heathswitch.proxy.maintenance.MaintenanceService;
import heathswitch.proxy.members.MembersCheck;
import heathswitch.proxy.members.MembersWatcher;
import heathswitch.proxy.runtime.Log;
import heathswitch.proxy.runtime.Signals;
import heathswitch.proxy.standalone.StandaloneConfig;
import heathswitch.proxy.standalone.StandaloneNode;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * The top-level command of standalone installations, which are configured by a TOML file: {@code
 * serve}, {@code check} and the groups of subcommands.
 */
@Command(
    name = "heathswitch",
    description = "A load balancer that picks servers by a delay window for each of them.",
    mixinStandardHelpOptions = true,
    subcommands = {
      MembersCommand.class,
      GatewayCommand.class,
      WorkCommand.class,
      PeersCommand.class,
      SubsetCommand.class
    })
public final class Commands {
  /** Exit code of a command after which the process keeps running. */
  static final int RUNNING = -1;

  @Spec private CommandSpec spec;

  private Commands() {}

  /** Executes a command line; returns the exit code, or -1 if the process is to keep running. */
  public static int run(String... args) {
    return new CommandLine(new Commands()).execute(args);
  }

  private PrintWriter out() {
    return spec.commandLine().getOut();
  }

  private PrintWriter err() {
    return spec.commandLine().getErr();
  }

  @Command(name = "serve", description = "Runs a balancer.")
  int serve(
      @Option(names = "--config", required = true, paramLabel = "FILE", description = "TOML file")
          Path file) {
    Log.installConsoleHandler();
    StandaloneConfig.Result result = StandaloneConfig.read(file);
    if (result.config() == null) {
      result.errors().forEach(fault -> err().println(fault));
      return 1;
    }
    StructuredLog.install(result.config().log(), result.config().instance());
    StandaloneNode balancer;
    try {
      balancer = new StandaloneNode(file, result.config());
    } catch (MembersWatcher.StartException
        | SiteGateway.InvalidCertificateException
        | MaintenanceService.StartException
        | GossipService.StartException e) {
      err().println(file + ": " + e.getMessage());
      return 1;
    }
    Signals.onHangUp(balancer::reload); // Before the balancer can report readiness.
    balancer.node().shutdown().installHook();
    try {
      balancer.start();
    } catch (Exception e) { // Netty throws the cause of a failed bind without declaring it.
      err().println(file + ": cannot listen: " + e.getMessage());
      balancer.node().shutdown().removeHook();
      balancer.stop();
      return 1;
    }
    String name = result.config().node().name();
    Log.info("start", name + " listens on " + balancer.node().address());
    return RUNNING;
  }

  @Command(
      name = "check",
      description = "Validates all files that serve would read and prints every fault.")
  int check(@Parameters(paramLabel = "FILE", description = "TOML file") Path file) {
    StandaloneConfig.Result result = StandaloneConfig.read(file);
    result.errors().forEach(fault -> out().println(fault));
    if (result.config() == null) {
      return 1;
    }
    List<Path> files = result.config().members().files();
    MembersCheck.Report report =
        MembersCheck.check(result.config().members(), files, System.currentTimeMillis());
    for (ValidationError fault : report.faults()) {
      out().println(fault);
    }
    report.lines().forEach(out()::println);
    GatewayTable gateway = result.config().gateway();
    String gatewayFault = gateway == null ? null : SiteGateway.certificateFault(gateway);
    if (gatewayFault != null) {
      out().println(gatewayFault);
    }
    PeersTable peers = result.config().peers();
    String peersFault = peers == null ? null : GossipService.keyFileError(peers);
    if (peersFault != null) {
      out().println(peersFault);
    }
    MaintenanceConfigCheck.Found floors =
        result.config().maintenance() == null || !report.faults().isEmpty()
            ? new MaintenanceConfigCheck.Found(List.of(), List.of())
            : MaintenanceConfigCheck.check(result.config().maintenance(), report.servers());
    floors.faults().forEach(out()::println);
    floors.notes().forEach(out()::println);
    boolean good =
        report.acceptable()
            && gatewayFault == null
            && peersFault == null
            && floors.faults().isEmpty();
    if (good) {
      out().println(file + ": ok");
    }
    return good ? 0 : 1;
  }
}
