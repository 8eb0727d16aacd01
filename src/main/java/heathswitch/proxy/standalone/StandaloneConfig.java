package heathswitch.proxy.standalone;

import heathswitch.policy.api.Settings;
import heathswitch.proxy.admin.AdminTable;
import heathswitch.proxy.config.Document;
import heathswitch.proxy.config.Fault;
import heathswitch.proxy.gateway.GatewayTable;
import heathswitch.proxy.gossip.PeersTable;
import heathswitch.proxy.grpc.GrpcConfig;
import heathswitch.proxy.logging.LogTable;
import heathswitch.proxy.maintenance.MaintenanceConfig;
import heathswitch.proxy.members.MembersConfig;
import heathswitch.proxy.node.NodeSettings;
import heathswitch.proxy.subsetting.SubsetTable;
import java.nio.file.Path;
import java.util.List;

/**
 * The configuration of an installation of its own. A subsystem adds its table here with one line:
 * it reads and checks that table itself.
 *
 * @param admin null where the listener is off
 * @param grpc null where that listener is off
 * @param gateway null where no other site is spoken to
 * @param work null where machines are not taken out by orders
 * @param peers null where nobody is told who is there
 * @param subset null where all servers are used
 * @param log how lines are written
 */
public record StandaloneConfig(
    NodeSettings node,
    MembersConfig members,
    AdminTable admin,
    GrpcConfig grpc,
    GatewayTable gateway,
    MaintenanceConfig work,
    PeersTable peers,
    SubsetTable subset,
    LogTable log) {
  /**
   * A configuration, or what is wrong with the file; one of the two is empty.
   *
   * @param unreadable whether the file could not be read now, and may be in a moment
   */
  public record Result(StandaloneConfig config, List<Fault> faults, boolean unreadable) {}

  private static MaintenanceConfig work(Document document, NodeSettings node) {
    Settings.Obligations rules = node == null ? null : node.policySettings().obligations();
    return rules == null
        ? MaintenanceConfig.read(document, 0, 1)
        : MaintenanceConfig.read(document, rules.warmUpNanos() / 1_000_000, rules.startCapacity());
  }

  /** What this balancer is called among others, and else by its own name. */
  public String instance() {
    return work != null ? work.instance() : peers != null ? peers.instance() : node.name();
  }

  /** Reads the file and checks all of it. */
  public static Result read(Path path) {
    Document document = Document.read(path);
    if (document.root() == null) {
      return new Result(null, document.faults(), document.unreadable());
    }
    NodeSettings node = BalancerTables.read(document.root());
    StandaloneConfig config =
        new StandaloneConfig(
            node,
            MembersConfig.read(document),
            AdminTable.read(document.root()),
            GrpcConfig.read(
                document.root(), node == null ? List.of() : node.policySettings().classes()),
            GatewayTable.read(document),
            work(document, node),
            PeersTable.read(document, node == null ? null : node.policySettings().zone()),
            SubsetTable.read(document.root()),
            LogTable.read(document.root()));
    if (config.work() != null
        && config.peers() != null
        && !config.work().instance().equals(config.peers().instance())) {
      document
          .root()
          .table("peers")
          .fault("instance", "is not that of [work]; one name for one balancer expected");
    }
    document.root().end();
    List<Fault> faults = document.faults();
    return new Result(faults.isEmpty() ? config : null, faults, false);
  }
}
