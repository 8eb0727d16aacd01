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
  private final ListService discovery;
  private final Ledger ledger = new Ledger();
  private final RoutingRecord routing = new RoutingRecord();
  private final Map<String, StandIn> servers = new LinkedHashMap<>();
  private final List<PlatformProcess> balancers = new ArrayList<>();
  private final Shape shape;
  private final Terms terms;
  private long seed;
  private int serversMade;

  /** A fleet with no process yet; the seed draws times of work and loads. */
  public PlatformFleet(long seed, Terms terms, Shape shape) {
    this.seed = seed;
    this.terms = terms;
    this.shape = shape;
    this.discovery = new ListService(seed, terms.pushed(), terms.mustAskMillis());
  }

  // ---- servers ----

  /** Starts a server that discovery lists from now on; its id. */
  public String addServer(boolean justStarted) throws InterruptedException {
    String id = "s-" + ++serversMade;
    StandIn server = new StandIn(serverLoops.next(), id, shape, seed++, routing);
    servers.put(id, server.onRun(ledger::ran).start(ANY));
    long started = justStarted ? System.currentTimeMillis() : 0;
    discovery.list(new ListedMember(id, server.address(), ListedMember.Phase.IN_SERVICE, started));
    return id;
  }

  /** Discovery has it that a server drains; the server goes on answering. */
  public void drain(String id) {
    discovery.list(discovery.member(id).with(ListedMember.Phase.TERMINATING));
  }

  /** The same of a server that turns all new work away from now on. */
  public void drainAndTurnAway(String id) {
    servers.get(id).faults().turnsAway(true);
    drain(id);
  }

  /** A server is gone: nothing listens there any more, and discovery knows. */
  public void remove(String id) {
    servers.get(id).close();
    discovery.list(discovery.member(id).with(ListedMember.Phase.TERMINATED));
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
  public PlatformFleet start(int count) throws IOException, InterruptedException {
    for (int i = 0; i < count; i++) {
      restart(add());
    }
    return this;
  }

  /** One more balancer, whose process has not been started yet. */
  public PlatformProcess add() throws IOException {
    PlatformProcess balancer = new PlatformProcess("n" + balancers.size());
    balancers.add(balancer);
    return balancer;
  }

  /** Starts one that does not run; how long it took to be ready, in milliseconds. */
  public long restart(PlatformProcess balancer) throws IOException, InterruptedException {
    configure(balancer);
    discovery.started(balancer.name());
    return balancer.start();
  }

  /** A new configuration moves the balancer's discovery to another port. */
  public void reconfigure(PlatformProcess balancer) throws IOException, InterruptedException {
    configure(balancer);
    balancer.signal("HUP");
  }

  /** A new configuration is written, and its signal is still to come. */
  void configure(PlatformProcess balancer) throws IOException, InterruptedException {
    InetSocketAddress asked = discovery.open(balancer.name());
    Map<String, Object> config = new LinkedHashMap<>();
    config.put("name", balancer.name());
    config.put("listen", "127.0.0.1:" + balancer.listen().getPort());
    config.put("discovery", "127.0.0.1:" + asked.getPort());
    config.put("seed", String.format("%016x", seed++));
    config.put("limits", Map.of("sockets", terms.sockets(), "memory_mb", 192));
    config.put("known", discovery.known());
    config.put("settings", terms.settings(balancers.indexOf(balancer), balancers.size()));
    balancer.configure(config);
  }

  public List<PlatformProcess> balancers() {
    return List.copyOf(balancers);
  }

  public ListService discovery() {
    return discovery;
  }

  // ---- clients and what became of their requests ----

  /** A load on one balancer. */
  public OpenLoop load(PlatformProcess balancer, double perSecond) {
    OpenLoop load =
        new OpenLoop(
            clientLoops.next(),
            balancer.listen(),
            KINDS,
            perSecond,
            terms.deadlineMillis(),
            200,
            seed++,
            ledger);
    routing.loads(balancer.name(), load::owns);
    return load.start();
  }

  /** Clients of one balancer that use what stays open, also while it ends. */
  public SteadyLoad steadyLoad(PlatformProcess balancer, double perSecond) {
    SteadyLoad load =
        new SteadyLoad(
            clientLoops.next(), balancer.listen(), perSecond, terms.deadlineMillis(), seed++);
    routing.loads(balancer.name(), load::owns);
    return load.start();
  }

  public Terms terms() {
    return terms;
  }

  public Ledger ledger() {
    return ledger;
  }

  /** Requests that went to a server after the balancer's grace for its drain was over. */
  public List<RoutingRecord.LateSend> lateSends() {
    return routing.lateSends(discovery, terms.graceMillis());
  }

  @Override
  public void close() throws IOException {
    for (PlatformProcess balancer : balancers) {
      balancer.close();
    }
    servers.values().forEach(StandIn::close);
    discovery.close();
    for (NioEventLoopGroup group : List.of(serverLoops, clientLoops)) {
      group.shutdownGracefully(0, 2, TimeUnit.SECONDS);
    }
  }
}
