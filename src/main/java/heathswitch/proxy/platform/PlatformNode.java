package heathswitch.proxy.platform;

import heathswitch.proxy.node.Node;
import heathswitch.proxy.operations.OperationsService;
import java.nio.file.Path;
import java.util.Map;

/**
 * A balancer on the platform: its list comes from discovery, SIGHUP moves to another one, and
 * operators reach it at its second address where it has one.
 */
public final class PlatformNode {
  private static final long WATCH_NANOS = 100_000_000L;

  private final NodeConfig config;
  private final Node node;
  private final ConfigReload reload;
  private final OperationsService operations;
  private DiscoveryClient discovery;

  public PlatformNode(NodeConfig config, Map<String, String> environment) {
    this.config = config;
    node =
        new Node(
            config.node(),
            loop -> {
              DiscoveryTimeouts clock = DiscoveryTimeouts.of(config.settings());
              discovery = new DiscoveryClient(loop, config.discovery(), clock, config.known());
              return discovery;
            },
            WATCH_NANOS);
    reload = new ConfigReload(node, config, environment, discovery);
    operations = config.console() == null ? null : new OperationsService(node, folder(environment));
  }

  /** Shared by the processes of one balancer, and empty when the first of them starts. */
  private static Path folder(Map<String, String> environment) {
    String folder = environment.get("TMPDIR");
    return folder == null || folder.isEmpty() ? null : Path.of(folder, "heathswitch");
  }

  /** Returns once clients can connect; fails if an address is taken. */
  public void start() throws InterruptedException {
    if (operations == null) {
      node.start();
      return;
    }
    if (operations.hasPredecessor()) {
      discovery.askAtOnce();
    }
    operations.start(config.console());
    node.start();
    operations.announceServing();
  }

  public Node node() {
    return node;
  }

  public ConfigReload reload() {
    return reload;
  }

  /** What operators can do with it, or null where it has no second address. */
  public OperationsService operations() {
    return operations;
  }

  /** Ends at once, without a drain. */
  public void stop() {
    if (operations != null) {
      operations.stop();
    }
    node.stop();
  }
}
