package heathswitch.testbed.platform;

import heathswitch.testbed.client.Kind;
import heathswitch.testbed.client.Ledger;
import heathswitch.testbed.client.OpenLoop;
import heathswitch.testbed.server.Shape;
import heathswitch.testbed.server.StandIn;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Balancers of the platform in processes of their own, before stand-in servers that discovery
 * lists.
 */
public final class PlatformFleet implements AutoCloseable {
  private static final InetSocketAddress ANY = new InetSocketAddress("127.0.0.1", 0);
  private static final List<Kind> KINDS =
      List.of(Kind.safe("view", "school", 0.8), Kind.unsafe("publish", "school", 0.2));

  private final NioEventLoopGroup serverLoops = new NioEventLoopGroup(1);
  private final NioEventLoopGroup clientLoops = new NioEventLoopGroup(1);
  private final DiscoveryStub discovery;
  private final Ledger ledger = new Ledger();
  private final RoutingHistory routing = new RoutingHistory();
  private final Map<String, StandIn> servers = new LinkedHashMap<>();
  private final List<PlatformBalancer> balancers = new ArrayList<>();
  private final Shape shape;
  private final PlatformSettings settings;
  private long seed;
  private int serversMade;

  /** A fleet with no process yet; the seed draws times of work and loads. */
  public PlatformFleet(long seed, PlatformSettings settings, Shape shape) {
    this.seed = seed;
    this.settings = settings;
    this.shape = shape;
    this.discovery = new DiscoveryStub(seed, settings.pushed(), settings.mustAskMillis());
  }

  // ---- servers ----

  /** Starts a server that discovery lists from now on; its id. */
  public String addServer(boolean justStarted) throws InterruptedException {
    String id = "s-" + ++serversMade;
    StandIn server = new StandIn(serverLoops.next(), id, shape, seed++, routing);
    servers.put(id, server.onRun(ledger::ran).start(ANY));
    long started = justStarted ? System.currentTimeMillis() : 0;
    discovery.publish(
        new ListedMember(id, server.address(), ListedMember.Phase.IN_SERVICE, started));
    return id;
  }

  /** Discovery has it that a server drains; the server goes on answering. */
  public void drain(String id) {
    discovery.publish(discovery.member(id).with(ListedMember.Phase.TERMINATING));
  }

  /** The same of a server that turns all new work away from now on. */
  public void drainAndReject(String id) {
    servers.get(id).faults().turnsAway(true);
    drain(id);
  }

  /** A server is gone: nothing listens there any more, and discovery knows. */
  public void remove(String id) {
    servers.get(id).close();
    discovery.publish(discovery.member(id).with(ListedMember.Phase.TERMINATED));
  }

  public StandIn server(String id) {
    return servers.get(id);
  }

  /** Those that discovery lists as in service. */
  public List<String> inService() {
    return servers.keySet().stream()
        .filter(
            id -> {
              ListedMember member = discovery.member(id);
              return member != null && member.phase() == ListedMember.Phase.IN_SERVICE;
            })
        .toList();
  }

  // ---- balancers ----

  /** Starts so many balancers, one after another. */
  public PlatformFleet startBalancers(int count) throws IOException, InterruptedException {
    for (int i = 0; i < count; i++) {
      start(addBalancer());
    }
    return this;
  }

  /** One more balancer, whose process has not been started yet. */
  public PlatformBalancer addBalancer() throws IOException {
    PlatformBalancer balancer = new PlatformBalancer("n" + balancers.size());
    balancers.add(balancer);
    return balancer;
  }

  /** Starts one that does not run; how long it took to be ready, in milliseconds. */
  public long start(PlatformBalancer balancer) throws IOException, InterruptedException {
    configure(balancer);
    discovery.balancerStarted(balancer.name());
    return balancer.start();
  }

  /** A new configuration moves the balancer's discovery to another port. */
  public void reconfigure(PlatformBalancer balancer) throws IOException, InterruptedException {
    configure(balancer);
    balancer.signal("HUP");
  }

  /** A new configuration is written, and its signal is still to come. */
  void configure(PlatformBalancer balancer) throws IOException, InterruptedException {
    InetSocketAddress asked = discovery.openEndpoint(balancer.name());
    Map<String, Object> config = new LinkedHashMap<>();
    config.put("name", balancer.name());
    config.put("listen", "127.0.0.1:" + balancer.listen().getPort());
    config.put("discovery", "127.0.0.1:" + asked.getPort());
    config.put("seed", String.format("%016x", seed++));
    config.put("limits", Map.of("sockets", settings.sockets(), "memory_mb", 192));
    config.put("known", discovery.knownList());
    config.put("settings", settings.toJson(balancers.indexOf(balancer), balancers.size()));
    balancer.configure(config);
  }

  public List<PlatformBalancer> balancers() {
    return List.copyOf(balancers);
  }

  public DiscoveryStub discovery() {
    return discovery;
  }

  // ---- clients and what became of their requests ----

  /** A load on one balancer. */
  public OpenLoop startLoad(PlatformBalancer balancer, double perSecond) {
    OpenLoop load =
        new OpenLoop(
            clientLoops.next(),
            balancer.listen(),
            KINDS,
            perSecond,
            settings.deadlineMillis(),
            200,
            seed++,
            ledger);
    routing.addLoad(balancer.name(), load::owns);
    return load.start();
  }

  /** Clients of one balancer that use what stays open, also while it ends. */
  public KeepAliveLoad startKeepAliveLoad(PlatformBalancer balancer, double perSecond) {
    KeepAliveLoad load =
        new KeepAliveLoad(
            clientLoops.next(), balancer.listen(), perSecond, settings.deadlineMillis(), seed++);
    routing.addLoad(balancer.name(), load::owns);
    return load.start();
  }

  public PlatformSettings settings() {
    return settings;
  }

  public Ledger ledger() {
    return ledger;
  }

  /** Requests that went to a server after the balancer's grace for its drain was over. */
  public List<RoutingHistory.LateRequest> lateRequests() {
    return routing.lateRequests(discovery, settings.graceMillis());
  }

  @Override
  public void close() throws IOException {
    for (PlatformBalancer balancer : balancers) {
      balancer.close();
    }
    servers.values().forEach(StandIn::close);
    discovery.close();
    for (NioEventLoopGroup group : List.of(serverLoops, clientLoops)) {
      group.shutdownGracefully(0, 2, TimeUnit.SECONDS);
    }
  }
}
