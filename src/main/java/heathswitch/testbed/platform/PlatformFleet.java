package heathswitch.testbed.platform;

import heathswitch.testbed.client.CallLedger;
import heathswitch.testbed.client.HttpLoadGenerator;
import heathswitch.testbed.client.RequestKind;
import heathswitch.testbed.server.ServerProfile;
import heathswitch.testbed.server.SimulatedServer;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Balancer processes in the platform's environment, with the discovery stub and the stand-in
 * servers that it lists.
 */
public final class PlatformFleet implements AutoCloseable {
  private static final InetSocketAddress ANY_PORT = new InetSocketAddress("127.0.0.1", 0);
  private static final List<RequestKind> KINDS =
      List.of(
          RequestKind.safe("view", "school", 0.8), RequestKind.unsafe("publish", "school", 0.2));

  private final NioEventLoopGroup serverLoops = new NioEventLoopGroup(1);
  private final NioEventLoopGroup clientLoops = new NioEventLoopGroup(1);
  private final DiscoveryStub discovery;
  private final CallLedger ledger = new CallLedger();
  private final RoutingHistory routingHistory = new RoutingHistory();
  private final Map<String, SimulatedServer> servers = new LinkedHashMap<>();
  private final List<PlatformBalancer> balancers = new ArrayList<>();
  private final ServerProfile shape;
  private final PlatformSettings settings;
  private long seed;
  private int serverCount;
  private boolean operations;

  /** Creates a fleet without processes; the seed determines service times and loads. */
  public PlatformFleet(long seed, PlatformSettings settings, ServerProfile shape) {
    this.seed = seed;
    this.settings = settings;
    this.shape = shape;
    this.discovery = new DiscoveryStub(seed, settings.pushed(), settings.mustAskMillis());
  }

  // ---- servers ----

  /** Starts a server and adds it to discovery's list; returns its id. */
  public String addServer(boolean justStarted) throws InterruptedException {
    String id = "s-" + ++serverCount;
    SimulatedServer server =
        new SimulatedServer(serverLoops.next(), id, shape, seed++, routingHistory);
    servers.put(id, server.onWorkStarted(ledger::recordRun).start(ANY_PORT));
    long started = justStarted ? System.currentTimeMillis() : 0;
    discovery.publish(
        new ListedMember(id, server.address(), ListedMember.Phase.IN_SERVICE, started));
    return id;
  }

  /** Adds a server that the caller runs at this address to discovery's list; returns its id. */
  public String addServerAt(InetSocketAddress address) {
    String id = "s-" + ++serverCount;
    discovery.publish(new ListedMember(id, address, ListedMember.Phase.IN_SERVICE, 0));
    return id;
  }

  /** Lists a server at this address and with this time of its last start. */
  public void move(String id, InetSocketAddress address, long startedMillis) {
    discovery.publish(new ListedMember(id, address, ListedMember.Phase.IN_SERVICE, startedMillis));
  }

  /** Marks a server as draining in discovery; the server continues to serve. */
  public void drain(String id) {
    discovery.publish(discovery.member(id).withPhase(ListedMember.Phase.TERMINATING));
  }

  /** Marks a server as draining in discovery, and has it reject all new requests. */
  public void drainAndReject(String id) {
    servers.get(id).faults().refusing(true);
    drain(id);
  }

  /** Stops a server and removes it from discovery's list. */
  public void remove(String id) {
    servers.get(id).close();
    discovery.publish(discovery.member(id).withPhase(ListedMember.Phase.TERMINATED));
  }

  public SimulatedServer server(String id) {
    return servers.get(id);
  }

  /** The ids of the servers that discovery lists as in service. */
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

  /** Adds balancers and starts them one after another. */
  public PlatformFleet startBalancers(int count) throws IOException, InterruptedException {
    for (int i = 0; i < count; i++) {
      start(addBalancer());
    }
    return this;
  }

  /** Adds a balancer without starting its process. */
  public PlatformBalancer addBalancer() throws IOException {
    PlatformBalancer balancer = new PlatformBalancer("n" + balancers.size());
    balancers.add(balancer);
    return balancer;
  }

  /** Adds the next process of a balancer that has the operations API, without starting it. */
  public PlatformBalancer addSuccessor(PlatformBalancer previous) throws IOException {
    PlatformBalancer successor = new PlatformBalancer(previous);
    balancers.add(successor);
    return successor;
  }

  /** Gives the balancers that are started from now on the operations API. */
  public void enableOperations() {
    operations = true;
  }

  /**
   * Starts the process of a balancer that isn't running.
   *
   * @return the time until it was ready, in milliseconds
   */
  public long start(PlatformBalancer balancer) throws IOException, InterruptedException {
    configure(balancer, false);
    discovery.balancerStarted(balancer.name());
    return balancer.start();
  }

  /** Reloads a balancer with a configuration that names another port for discovery. */
  public void reconfigure(PlatformBalancer balancer) throws IOException, InterruptedException {
    configure(balancer, true);
    balancer.signal("HUP");
  }

  /** Writes a new configuration, without the signal to reload it. */
  private void configure(PlatformBalancer balancer, boolean reloaded)
      throws IOException, InterruptedException {
    InetSocketAddress endpoint = discovery.openEndpoint(balancer.name(), reloaded);
    Map<String, Object> config = new LinkedHashMap<>();
    config.put("name", balancer.name());
    config.put("listen", "127.0.0.1:" + balancer.listen().getPort());
    if (operations) {
      config.put("console", "127.0.0.1:" + balancer.console().getPort());
    }
    config.put("discovery", "127.0.0.1:" + endpoint.getPort());
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

  // ---- clients and the outcome of their requests ----

  /** Starts an open-loop load on one balancer. */
  public HttpLoadGenerator startLoad(PlatformBalancer balancer, double perSecond) {
    HttpLoadGenerator load =
        new HttpLoadGenerator(
            clientLoops.next(),
            balancer.listen(),
            KINDS,
            perSecond,
            settings.deadlineMillis(),
            200,
            seed++,
            ledger);
    routingHistory.addLoad(balancer.name(), load::owns);
    return load.start();
  }

  /** Starts a load of clients that keep using open connections while their balancer shuts down. */
  public KeepAliveLoad startKeepAliveLoad(PlatformBalancer balancer, double perSecond) {
    KeepAliveLoad load =
        new KeepAliveLoad(
            clientLoops.next(), balancer.listen(), perSecond, settings.deadlineMillis(), seed++);
    routingHistory.addLoad(balancer.name(), load::owns);
    return load.start();
  }

  public PlatformSettings settings() {
    return settings;
  }

  public CallLedger ledger() {
    return ledger;
  }

  /** Requests that reached a draining or removed server after the grace time. */
  public List<RoutingHistory.LateRequest> lateRequests() {
    return routingHistory.lateRequests(discovery, settings.graceMillis());
  }

  @Override
  public void close() throws IOException {
    for (PlatformBalancer balancer : balancers) {
      balancer.close();
    }
    servers.values().forEach(SimulatedServer::close);
    discovery.close();
    for (NioEventLoopGroup group : List.of(serverLoops, clientLoops)) {
      group.shutdownGracefully(0, 2, TimeUnit.SECONDS);
    }
  }
}
