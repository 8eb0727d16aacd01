package heathswitch.proxy.standalone;

import heathswitch.proxy.admin.AdminServer;
import heathswitch.proxy.config.ValidationError;
import heathswitch.proxy.gateway.SiteGateway;
import heathswitch.proxy.gossip.GossipService;
import heathswitch.proxy.grpc.GrpcServer;
import heathswitch.proxy.maintenance.MaintenanceService;
import heathswitch.proxy.members.MembersPages;
import heathswitch.proxy.members.MembersWatcher;
import heathswitch.proxy.metrics.Metrics;
import heathswitch.proxy.node.Node;
import heathswitch.proxy.node.NodeSettings;
import heathswitch.proxy.runtime.Log;
import heathswitch.proxy.runtime.SignalFileReader;
import heathswitch.proxy.subsetting.SubsetService;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.lang.management.MemoryPoolMXBean;
import java.lang.management.MemoryType;
import java.lang.management.MemoryUsage;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * A standalone balancer: it is configured by a TOML file, and its members come from watched files.
 */
public final class StandaloneNode {
  private static final long DEFAULT_LAG_SAMPLE_NANOS = 100_000_000L;

  /** The number of servers on the page {@code /servers}. */
  private static final int MAX_SERVERS_SHOWN = 1000;

  private final Path path;
  private final SignalFileReader configReader = new SignalFileReader(this::readConfig);
  private final StandaloneConfig config;
  private final MembersWatcher members;
  private final Node node;
  private AdminServer admin;
  private GrpcServer grpc;
  private SiteGateway gateway;
  private MaintenanceService maintenance;
  private GossipService gossip;
  private SubsetService subsets;

  /**
   * Reads the members and creates the services; fails if there is no usable list of servers, or if
   * a service cannot start, for example without its certificate.
   */
  public StandaloneNode(Path path, StandaloneConfig config)
      throws MembersWatcher.StartException,
          SiteGateway.InvalidCertificateException,
          MaintenanceService.StartException,
          GossipService.StartException {
    this.path = path;
    this.config = config;
    members = MembersWatcher.open(config.members());
    long lagSampleNanos =
        config.admin() == null ? DEFAULT_LAG_SAMPLE_NANOS : config.admin().lagSampleNanos();
    node = new Node(config.node(), members::bindTo, lagSampleNanos);
    if (config.grpc() != null) {
      NodeSettings settings = config.node();
      grpc =
          (GrpcServer)
              node.addListener(
                  parts ->
                      new GrpcServer(
                          parts, config.grpc(), settings.policySettings(), settings.seed()));
    }
    if (config.gateway() != null) {
      NodeSettings settings = config.node();
      gateway =
          new SiteGateway(
              node, config.gateway(), settings.policySettings().classes(), settings.seed() + 1);
      node.forbidHeader(SiteGateway.TRAIL);
      if (grpc != null) {
        grpc.setForbiddenHeader(SiteGateway.TRAIL);
      }
    }
    if (config.peers() != null) {
      gossip = new GossipService(node, config.peers());
    }
    if (config.maintenance() != null) {
      maintenance = new MaintenanceService(node, config.maintenance());
    }
    // Created after the maintenance service, so that no subset contains a server held by an order.
    if (config.subset() != null) {
      subsets =
          new SubsetService(
              node, gossip, config.subset(), config.peers().instance(), config.node().seed());
    }
  }

  /** Returns once clients can connect; fails if an address is already in use. */
  public void start() throws InterruptedException, IOException {
    if (config.admin() != null) {
      admin = new AdminServer(node.loop());
      MembersPages.add(admin, members);
      admin.get("status", (subPath, reply) -> reply.accept(AdminServer.Reply.ok(status())));
      admin.get("servers", (subPath, reply) -> reply.accept(AdminServer.Reply.ok(servers())));
      if (gateway != null) {
        gateway.addPages(admin);
      }
      if (maintenance != null) {
        maintenance.addPages(admin);
      }
      if (gossip != null) {
        gossip.addPages(admin);
      }
      if (subsets != null) {
        subsets.addPages(admin);
      }
      if (config.admin().metrics()) {
        createMetrics().addPage(admin);
      }
      admin.start(config.admin().listen());
    }
    if (gossip != null) {
      gossip.start();
    }
    if (subsets != null) {
      subsets.start();
    }
    if (maintenance != null) {
      maintenance.start();
    }
    node.start();
  }

  private Metrics createMetrics() {
    Metrics metrics =
        new Metrics(config.instance())
            .counter("requests", "requests that came in", () -> node.dispatcher().requestCount())
            .gauge("live.requests", "requests in work", () -> node.dispatcher().liveRequestCount())
            .gauge(
                "connected.servers",
                "servers to which there are connections",
                () -> node.dispatcher().connectedUpstreamCount());
    if (gossip != null) {
      gossip.addFigures(metrics);
    }
    if (subsets != null) {
      subsets.addFigures(metrics);
    }
    return metrics;
  }

  /** Returns the node that serves the clients. */
  public Node node() {
    return node;
  }

  /** Returns the admin listener, or null if it is off. */
  public AdminServer admin() {
    return admin;
  }

  /** Returns the gRPC listener, or null if it is off. */
  public GrpcServer grpc() {
    return grpc;
  }

  /** Returns the gateway to other sites, or null if it is off. */
  public SiteGateway gateway() {
    return gateway;
  }

  /** Returns the watcher of the member files. */
  public MembersWatcher members() {
    return members;
  }

  private Map<String, Object> status() {
    Map<String, Object> status = new LinkedHashMap<>();
    status.put("name", config.node().name());
    status.put("listen", config.node().listen().toString().substring(1));
    status.put("up_s", ManagementFactory.getRuntimeMXBean().getUptime() / 1000);
    status.put("live_requests", node.dispatcher().liveRequestCount());
    status.put("connected_servers", node.dispatcher().connectedUpstreamCount());
    // Admin pages run on the event loop, so the current thread is the one to measure.
    status.put("loop_cpu_ms", ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() / 1e6);
    status.put("loop_late_ms", node.lagMonitor().takeMaxLagForStatus() / 1e6);
    status.put("heap_after_gc_mb", heapBytesAfterCollection() / 1048576.0);
    status.put("view", node.dispatcher().figures());
    return status;
  }

  /**
   * Returns the calls in flight and the window of each server. The number of servers is limited
   * because the event loop writes the page.
   */
  private Map<String, Object> servers() {
    Map<String, Object> page = new LinkedHashMap<>();
    node.dispatcher()
        .loads(MAX_SERVERS_SHOWN)
        .forEach((name, load) -> page.put(name, Map.of("calls", load[0], "window", load[1])));
    return page;
  }

  /** Returns the heap usage in bytes after the last collection of each memory pool. */
  private static long heapBytesAfterCollection() {
    long bytes = 0;
    for (MemoryPoolMXBean pool : ManagementFactory.getMemoryPoolMXBeans()) {
      MemoryUsage usage = pool.getType() == MemoryType.HEAP ? pool.getCollectionUsage() : null;
      bytes += usage == null ? 0 : usage.getUsed();
    }
    return bytes;
  }

  /**
   * Handles SIGHUP: reads the configuration file again and applies its {@code [members]} table. A
   * file with errors changes nothing; the other tables take effect only at the next start.
   */
  public void reload() {
    configReader.onSignal();
  }

  private boolean readConfig(int signal) {
    StandaloneConfig.Result result = StandaloneConfig.read(path);
    if (result.config() == null) {
      Log.warn(
          "reload",
          "signal "
              + signal
              + ": configuration not reloaded: "
              + result.errors().stream()
                  .map(ValidationError::toString)
                  .collect(Collectors.joining("; ")));
      return !result.unreadable();
    }
    members.reconfigure(result.config().members());
    Log.info("reload", "members are read as configured in " + path);
    return true;
  }

  /** Stops immediately, without draining. */
  public void stop() {
    members.close();
    if (subsets != null) {
      subsets.close();
    }
    if (gateway != null) {
      gateway.close();
    }
    if (gossip != null) {
      gossip.close();
    }
    node.stop();
    if (maintenance != null) {
      maintenance.close();
    }
  }
}
