package heathswitch.proxy.standalone;

import heathswitch.proxy.admin.AdminServer;
import heathswitch.proxy.config.Fault;
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

/** A balancer on its own: its configuration is a TOML file, its members come from watched files. */
public final class StandaloneNode {
  private static final long WATCH_NANOS = 100_000_000L;
  private static final int MOST_SERVERS_SHOWN = 1000;

  private final Path path;
  private final SignalFileReader file = new SignalFileReader(this::read);
  private final StandaloneConfig config;
  private final MembersWatcher members;
  private final Node node;
  private AdminServer admin;
  private GrpcServer grpc;
  private SiteGateway gateway;
  private MaintenanceService work;
  private GossipService peers;
  private SubsetService subsets;

  /** Reads the members; fails where there is no list to serve with, or no certificate. */
  public StandaloneNode(Path path, StandaloneConfig config)
      throws MembersWatcher.StartException,
          SiteGateway.CannotStart,
          MaintenanceService.StartException,
          GossipService.StartException {
    this.path = path;
    this.config = config;
    members = MembersWatcher.open(config.members());
    long watch = config.admin() == null ? WATCH_NANOS : config.admin().watchNanos();
    node = new Node(config.node(), members::bindTo, watch);
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
      peers = new GossipService(node, config.peers());
    }
    if (config.work() != null) {
      work = new MaintenanceService(node, config.work());
    }
    if (config.subset() != null) { // Over what work orders say: what is held is in no plan.
      subsets =
          new SubsetService(
              node, peers, config.subset(), config.peers().instance(), config.node().seed());
    }
  }

  /** Returns once clients can connect; fails if an address is taken. */
  public void start() throws InterruptedException, IOException {
    if (config.admin() != null) {
      admin = new AdminServer(node.loop());
      MembersPages.add(admin, members);
      admin.get("status", (rest, reply) -> reply.accept(AdminServer.Reply.ok(status())));
      admin.get("servers", (rest, reply) -> reply.accept(AdminServer.Reply.ok(servers())));
      if (gateway != null) {
        gateway.addPages(admin);
      }
      if (work != null) {
        work.addPages(admin);
      }
      if (peers != null) {
        peers.addPages(admin);
      }
      if (subsets != null) {
        subsets.addPages(admin);
      }
      if (config.admin().metrics()) {
        metrics().addPage(admin);
      }
      admin.start(config.admin().listen());
    }
    if (peers != null) {
      peers.start();
    }
    if (subsets != null) {
      subsets.start();
    }
    if (work != null) {
      work.start();
    }
    node.start();
  }

  private Metrics metrics() {
    Metrics metrics =
        new Metrics(config.instance())
            .counter("requests", "requests that came in", () -> node.dispatcher().requestCount())
            .gauge("live.requests", "requests in work", () -> node.dispatcher().liveRequestCount())
            .gauge(
                "connected.servers",
                "servers to which there are connections",
                () -> node.dispatcher().connectedUpstreamCount());
    if (peers != null) {
      peers.addFigures(metrics);
    }
    if (subsets != null) {
      subsets.addFigures(metrics);
    }
    return metrics;
  }

  public Node node() {
    return node;
  }

  /** The admin listener, or null where it is off. */
  public AdminServer admin() {
    return admin;
  }

  /** The gRPC listener, or null where it is off. */
  public GrpcServer grpc() {
    return grpc;
  }

  /** The gateway to other sites, or null where it is off. */
  public SiteGateway gateway() {
    return gateway;
  }

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
    // Pages are answered on the loop, so that its own thread is the one that is asked.
    status.put("loop_cpu_ms", ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() / 1e6);
    status.put("loop_late_ms", node.lagMonitor().takeMaxLagForStatus() / 1e6);
    status.put("heap_after_gc_mb", heapAfterCollection() / 1048576.0);
    status.put("view", node.dispatcher().figures());
    return status;
  }

  /** Calls in flight and window of each server, of a bounded number: the loop writes the page. */
  private Map<String, Object> servers() {
    Map<String, Object> page = new LinkedHashMap<>();
    node.dispatcher()
        .loads(MOST_SERVERS_SHOWN)
        .forEach((name, load) -> page.put(name, Map.of("calls", load[0], "window", load[1])));
    return page;
  }

  /** What was left on the heap after each pool's last collection, in bytes. */
  private static long heapAfterCollection() {
    long bytes = 0;
    for (MemoryPoolMXBean pool : ManagementFactory.getMemoryPoolMXBeans()) {
      MemoryUsage usage = pool.getType() == MemoryType.HEAP ? pool.getCollectionUsage() : null;
      bytes += usage == null ? 0 : usage.getUsed();
    }
    return bytes;
  }

  /**
   * SIGHUP: the file is read again, and the members follow it. A file with faults changes nothing;
   * other tables than that of the members are taken at the next start.
   */
  public void reload() {
    file.onSignal();
  }

  private boolean read(int signal) {
    StandaloneConfig.Result result = StandaloneConfig.read(path);
    if (result.config() == null) {
      Log.warn(
          "reload",
          "signal "
              + signal
              + ": configuration left as it was: "
              + result.faults().stream().map(Fault::toString).collect(Collectors.joining("; ")));
      return !result.unreadable();
    }
    members.reconfigure(result.config().members());
    Log.info("reload", "members follow " + path);
    return true;
  }

  /** Ends at once, without a drain. */
  public void stop() {
    members.close();
    if (subsets != null) {
      subsets.close();
    }
    if (gateway != null) {
      gateway.close();
    }
    if (peers != null) {
      peers.close();
    }
    node.stop();
    if (work != null) {
      work.close();
    }
  }
}
