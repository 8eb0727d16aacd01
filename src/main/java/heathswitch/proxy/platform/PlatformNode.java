package heathswitch.proxy.platform;

import heathswitch.proxy.node.Node;
import heathswitch.proxy.operations.OperationsService;
import java.nio.file.Path;
import java.util.Map;

/**
 * A balancer on the platform. It gets its list from discovery, reloads its configuration at SIGHUP
 * and serves the operations API at a second address if one is configured.
 */
public final class PlatformNode {
  private static final long LOOP_WATCH_NANOS = 100_000_000L;

  private final NodeConfig config;
  private final Node node;
  private final ConfigReload reload;
  private final OperationsService operations;
  private DiscoveryClient discovery;

  public PlatformNode(NodeConfig config, Map<String, String> environment) {
    this.config = config;
    node =
        new Node(
            config.nodeSettings(),
            loop -> {
              DiscoveryTimeouts timeouts = DiscoveryTimeouts.of(config.settings());
              discovery =
                  new DiscoveryClient(loop, config.discovery(), timeouts, config.knownList());
              return discovery;
            },
            LOOP_WATCH_NANOS);
    reload = new ConfigReload(node, config, environment, discovery);
    operations =
        config.operationsAddress() == null
            ? null
            : new OperationsService(node, sharedDirectory(environment));
  }

  /**
   * The directory that all processes of one balancer share; empty when the first of them starts.
   * Null if the environment names no {@code TMPDIR}.
   */
  private static Path sharedDirectory(Map<String, String> environment) {
    String tempDirectory = environment.get("TMPDIR");
    return tempDirectory == null || tempDirectory.isEmpty()
        ? null
        : Path.of(tempDirectory, "heathswitch");
  }

  /** Returns once clients can connect; fails if an address is in use. */
  public void start() throws InterruptedException {
    if (operations == null) {
      node.start();
      return;
    }
    if (operations.hasPredecessor()) {
      discovery.queryAtStartup();
    }
    operations.start(config.operationsAddress());
    node.start();
    operations.announceServing();
  }

  public Node node() {
    return node;
  }

  public ConfigReload reload() {
    return reload;
  }

  /** The operations API, or null if no address is configured for it. */
  public OperationsService operations() {
    return operations;
  }

  /** Stops at once, without a drain. */
  public void stop() {
    if (operations != null) {
      operations.stop();
    }
    node.stop();
  }
}
