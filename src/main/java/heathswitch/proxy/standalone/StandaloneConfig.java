package heathswitch.proxy.standalone;

import heathswitch.policy.api.Settings;
import heathswitch.proxy.admin.AdminConfig;
import heathswitch.proxy.config.ConfigDocument;
import heathswitch.proxy.config.ValidationError;
import heathswitch.proxy.gateway.GatewayTable;
import heathswitch.proxy.gossip.PeersTable;
import heathswitch.proxy.grpc.GrpcConfig;
import heathswitch.proxy.logging.LogConfig;
import heathswitch.proxy.maintenance.MaintenanceConfig;
import heathswitch.proxy.members.MembersConfig;
import heathswitch.proxy.node.NodeSettings;
import heathswitch.proxy.subsetting.SubsetTable;
import java.nio.file.Path;
import java.util.List;

/**
 * The configuration of a standalone balancer, read from one TOML file. Each subsystem reads and
 * validates its own table; {@link #read} calls each of them.
 *
 * @param node the HTTP/1.1 listener and the settings of the policy
 * @param members the files with the list of servers
 * @param admin the admin listener, or null if it is off
 * @param grpc the gRPC listener, or null if it is off
 * @param gateway the gateway to other sites, or null if it is off
 * @param maintenance orders to take machines out, or null if they are off
 * @param peers gossip with other balancers, or null if it is off
 * @param subset the subset of servers to use, or null if all are used
 * @param log the format and the lowest level of log lines
 */
public record StandaloneConfig(
    NodeSettings node,
    MembersConfig members,
    AdminConfig admin,
    GrpcConfig grpc,
    GatewayTable gateway,
    MaintenanceConfig maintenance,
    PeersTable peers,
    SubsetTable subset,
    LogConfig log) {
  /**
   * The outcome of reading a configuration file.
   *
   * @param config the configuration, or null if there are errors
   * @param errors what is wrong with the file; empty if it is valid
   * @param unreadable whether reading failed with an I/O error that may be temporary
   */
  public record Result(StandaloneConfig config, List<ValidationError> errors, boolean unreadable) {}

  private static MaintenanceConfig readMaintenance(ConfigDocument document, NodeSettings node) {
    Settings.Obligations obligations = node == null ? null : node.policySettings().obligations();
    return obligations == null
        ? MaintenanceConfig.read(document, 0, 1)
        : MaintenanceConfig.read(
            document, obligations.warmUpNanos() / 1_000_000, obligations.startCapacity());
  }

  /** Returns the instance name of {@code [work]} or {@code [peers]}, else the balancer's name. */
  public String instance() {
    return maintenance != null
        ? maintenance.instance()
        : peers != null ? peers.instance() : node.name();
  }

  /** Reads the file and validates all of it. */
  public static Result read(Path path) {
    ConfigDocument document = ConfigDocument.read(path);
    if (document.root() == null) {
      return new Result(null, document.errors(), document.unreadable());
    }
    NodeSettings node = NodeSettingsReader.read(document.root());
    StandaloneConfig config =
        new StandaloneConfig(
            node,
            MembersConfig.read(document),
            AdminConfig.read(document.root()),
            GrpcConfig.read(
                document.root(), node == null ? List.of() : node.policySettings().classes()),
            GatewayTable.read(document),
            readMaintenance(document, node),
            PeersTable.read(document, node == null ? null : node.policySettings().zone()),
            SubsetTable.read(document.root()),
            LogConfig.read(document.root()));
    if (config.maintenance() != null
        && config.peers() != null
        && !config.maintenance().instance().equals(config.peers().instance())) {
      document
          .root()
          .table("peers")
          .addError("instance", "differs from the one in [work]; the same name expected");
    }
    document.root().rejectUnknownKeys();
    List<ValidationError> errors = document.errors();
    return new Result(errors.isEmpty() ? config : null, errors, false);
  }
}
