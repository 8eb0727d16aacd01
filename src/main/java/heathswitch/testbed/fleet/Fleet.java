package heathswitch.testbed.fleet;

import heathswitch.policy.members.ListedServer;
import heathswitch.proxy.maintenance.VoterFolder;
import heathswitch.proxy.standalone.StandaloneConfig;
import heathswitch.testbed.balancer.BalancerFolder;
import heathswitch.testbed.balancer.BalancerProcess;
import heathswitch.testbed.client.CallLedger;
import heathswitch.testbed.client.HttpLoadGenerator;
import heathswitch.testbed.client.RequestKind;
import heathswitch.testbed.server.ServerProfile;
import heathswitch.testbed.server.SimulatedServer;
import heathswitch.testbed.site.DatagramProxy;
import heathswitch.testbed.site.DelayProxy;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Several balancer processes in front of simulated servers. All traffic between the balancers
 * passes through fault-injecting proxies.
 */
public final class Fleet implements AutoCloseable {
  private static final InetSocketAddress ANY_LOOPBACK_PORT = new InetSocketAddress("127.0.0.1", 0);
  private static final List<String> JVM_FLAGS =
      List.of("-XX:+UseSerialGC", "-Xmx160m", "-XX:TieredStopAtLevel=1", "-XX:-UsePerfData");
  private static final List<RequestKind> REQUEST_KINDS =
      List.of(
          RequestKind.safe("view", "school", 0.8), RequestKind.unsafe("publish", "school", 0.2));

  private final NioEventLoopGroup serverLoops = new NioEventLoopGroup(2);
  private final NioEventLoopGroup proxyLoops = new NioEventLoopGroup(2);
  private final NioEventLoopGroup clientLoops = new NioEventLoopGroup(2);
  private final History history = new History();
  private final CallLedger ledger = new CallLedger();
  private final List<SimulatedServer> servers = new ArrayList<>();
  private final Map<String, Node> nodes = new LinkedHashMap<>();
  private final Map<String, Integer> cellByServer = new HashMap<>();
  private long seed;
  private boolean proxiesServers;
  private String gossipKeys;
  private String subsetConfig;
  private int initialCount = Integer.MAX_VALUE;
  private NodeAction firstStartAction = node -> {};

  /**
   * Creates a fleet without servers and instances.
   *
   * @param seed seed of the random delays and loads
   */
  public Fleet(long seed) {
    this.seed = seed;
  }

  /** Sets an action that is run on each instance before its first start. */
  public Fleet beforeFirstStart(NodeAction action) {
    firstStartAction = action;
    return this;
  }

  /** Starts simulated servers of one kind, each in a cell of its own. */
  public Fleet servers(int count, String kind, ServerProfile shape) throws InterruptedException {
    for (int i = 0; i < count; i++) {
      String name = kind + '-' + (i + 1);
      SimulatedServer server =
          new SimulatedServer(serverLoops.next(), name, shape, seed++, history);
      servers.add(server.onWorkStarted(ledger::recordRun).start(ANY_LOOPBACK_PORT));
      cellByServer.put(name, servers.size());
    }
    return this;
  }

  /**
   * Also puts a proxy between each instance and each server, so that each instance has its own
   * address for a server.
   */
  public Fleet withServerProxies() {
    proxiesServers = true;
    return this;
  }

  /**
   * Enables gossip between the instances, with a datagram proxy for each direction between two of
   * them. The first two instances are the seeds.
   *
   * @param keyFileText contents of the key file of each instance
   */
  public Fleet withGossip(String keyFileText) {
    gossipKeys = keyFileText;
    return this;
  }

  /**
   * Makes each instance use a subset of the servers.
   *
   * @param configLines lines of the configuration table {@code [subset]}
   */
  public Fleet withSubsetting(String configLines) {
    subsetConfig = configLines;
    return this;
  }

  /**
   * Limits how many instances {@link #start} starts; the others are started by {@link #startNodes}.
   */
  public Fleet startInitially(int count) {
    initialCount = count;
    return this;
  }

  /** Starts instances without maintenance orders and returns when all accept connections. */
  public Fleet start(int count) throws Exception {
    return start(count, 0, null);
  }

  /**
   * Starts instances and returns when all accept connections.
   *
   * @param voters number of instances that vote, counted from the first
   * @param maintenance null for instances without maintenance orders
   */
  public Fleet start(int count, int voters, MaintenanceSettings maintenance) throws Exception {
    List<InetSocketAddress> consensusAddresses = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      consensusAddresses.add(BalancerProcess.freeAddress());
    }
    for (int i = 0; i < count; i++) {
      Map<String, DelayProxy> peerProxies = new LinkedHashMap<>();
      for (int j = 0; j < count; j++) {
        if (j != i) {
          peerProxies.put(
              instanceName(j),
              new DelayProxy(proxyLoops.next(), consensusAddresses.get(j), 0, 0, seed++).start());
        }
      }
      Node node =
          new Node(
              instanceName(i),
              BalancerProcess.freeAddress(),
              BalancerProcess.freeAddress(),
              consensusAddresses.get(i),
              new BalancerFolder("fleet"),
              peerProxies,
              JVM_FLAGS);
      nodes.put(node.name, node);
      for (SimulatedServer server : proxiesServers ? servers : List.<SimulatedServer>of()) {
        DelayProxy proxy =
            new DelayProxy(proxyLoops.next(), server.address(), 0, 0, seed++).start();
        node.serverProxies.put(server.name(), proxy);
      }
      writeServerList(node, servers);
      node.gossipAddress = gossipKeys == null ? null : BalancerProcess.freeAddress();
    }
    for (Node node : nodes.values()) {
      if (gossipKeys != null) {
        for (Node other : nodes.values()) {
          if (other != node) {
            node.datagramProxies.put(
                other.name,
                new DatagramProxy(proxyLoops.next(), other.gossipAddress, seed++).start());
          }
        }
        Files.writeString(node.gossipKeyFile(), gossipKeys);
      }
      writeConfig(node, voters, maintenance);
      if (maintenance != null) {
        VoterFolder.create(StandaloneConfig.read(node.config).config().maintenance());
      }
    }
    for (Node node : nodes.values()) {
      firstStartAction.apply(node);
    }
    startNodes(nodes().subList(0, Math.min(initialCount, count)));
    return this;
  }

  /** Starts the given instances and returns when all of them accept connections. */
  public void startNodes(List<Node> selected) throws Exception {
    forEachNode(selected, Node::start);
    for (Node node : selected) {
      while (!node.acceptsConnections()) {
        if (!node.isAlive()) {
          throw new IOException(node.name + " exited:\n" + Files.readString(node.logFile()));
        }
        Thread.sleep(20);
      }
    }
  }

  private static String instanceName(int index) {
    return "edge-" + (index + 1);
  }

  /** Returns the entry of a server in an instance's server list. */
  public ListedServer listEntry(Node node, SimulatedServer server) {
    String kind = server.name().substring(0, server.name().lastIndexOf('-'));
    ListedServer entry = BalancerFolder.listEntry(server, "a", kind, 1);
    DelayProxy proxy = node.serverProxy(server);
    String address = proxy == null ? entry.endpoint() : "127.0.0.1:" + proxy.address().getPort();
    long cell = cellByServer.get(server.name());
    return new ListedServer(entry.id(), address, entry.zone(), kind, cell, 1, true);
  }

  /** Replaces an instance's server list atomically. */
  public void writeServerList(Node node, List<SimulatedServer> listedServers) throws IOException {
    writeListEntries(node, listedServers.stream().map(server -> listEntry(node, server)).toList());
  }

  /**
   * Replaces an instance's server list atomically with entries that need not belong to simulated
   * servers.
   */
  public void writeListEntries(Node node, List<ListedServer> entries) throws IOException {
    Path next = node.folder.path().resolve("next");
    Files.writeString(next, BalancerFolder.formatServerList(entries));
    Files.move(next, node.folder.serverListFile(), StandardCopyOption.ATOMIC_MOVE);
  }

  /** Writes an instance's configuration, which it reads at its next start. */
  public void writeConfig(Node node, int voters, MaintenanceSettings maintenance)
      throws IOException {
    String members = "most_removed = 1.0\ndrain = \"2s\"";
    node.config = node.folder.writeConfig(node.listen, node.admin, 1024, members);
    StringBuilder table = new StringBuilder();
    table.append("[log]\nformat = \"json\"\n");
    if (gossipKeys != null) {
      appendPeersTable(node, table);
    }
    if (subsetConfig != null) {
      table.append("[subset]\n").append(subsetConfig).append('\n');
    }
    if (maintenance != null) {
      appendWorkTable(node, voters, maintenance, table);
    }
    Files.writeString(node.config, table, StandardOpenOption.APPEND);
  }

  private void appendPeersTable(Node node, StringBuilder table) {
    List<String> seeds =
        nodes.values().stream().limit(2).map(peer -> quoted(peer.gossipAddress)).toList();
    table.append("[peers]\ninstance = \"").append(node.name).append("\"\nlisten = ");
    table.append(quoted(node.gossipAddress)).append("\nseeds = ").append(seeds);
    table.append("\nkeys = \"peers.keys\"\nperiod = \"300ms\"\nanswer = \"100ms\"\n");
    for (Node other : nodes.values()) {
      if (other != node) {
        table.append("[[peers.way]]\nto = ").append(quoted(other.gossipAddress));
        table.append("\nby = ").append(quoted(node.datagramProxies.get(other.name).address()));
        table.append('\n');
      }
    }
  }

  private void appendWorkTable(
      Node node, int voters, MaintenanceSettings maintenance, StringBuilder table) {
    table.append("[work]\ninstance = \"").append(node.name).append("\"\nfolder = \"work\"\n");
    table.append("listen = ").append(quoted(node.consensusAddress));
    table.append("\nwhen_cut_off = \"").append(maintenance.stopsWhenCutOff() ? "stop" : "serve");
    table.append("\"\nstopping = \"300ms\"\n[work.rules]\n");
    table.append("version = ").append(maintenance.version());
    table.append("\nlease = \"").append(maintenance.leaseMillis()).append("ms\"\n");
    table.append("margin = \"").append(maintenance.marginMillis()).append("ms\"\n");
    table.append("most_out = ").append(maintenance.mostOut()).append("\nmost_out_in_cell = 1\n");
    table.append(maintenance.extraLines());
    int index = 0;
    for (int i = 0; i <= node.peerProxies.size(); i++) {
      InetSocketAddress address =
          instanceName(i).equals(node.name)
              ? node.consensusAddress
              : node.peerProxies.get(instanceName(i)).address();
      table.append("[[work.peer]]\nname = \"").append(instanceName(i)).append("\"\naddress = ");
      table.append(quoted(address)).append("\nvotes = ").append(index++ < voters).append('\n');
    }
  }

  private static String quoted(InetSocketAddress address) {
    return "\"127.0.0.1:" + address.getPort() + '"';
  }

  /** An action on one instance. */
  public interface NodeAction {
    void apply(Node node) throws Exception;
  }

  /** Runs an action on all instances in parallel. */
  public void forAllNodes(NodeAction action) throws Exception {
    forEachNode(nodes(), action);
  }

  /** Runs an action on the given instances in parallel. */
  public void forEachNode(List<Node> selected, NodeAction action) throws Exception {
    ExecutorService executor = Executors.newFixedThreadPool(Math.max(1, selected.size()));
    try {
      List<Callable<Void>> tasks = new ArrayList<>();
      for (Node node : selected) {
        tasks.add(
            () -> {
              action.apply(node);
              return null;
            });
      }
      for (Future<Void> result : executor.invokeAll(tasks)) {
        result.get();
      }
    } finally {
      executor.shutdown();
    }
  }

  public Node node(int number) {
    return nodes.get(instanceName(number - 1));
  }

  public List<Node> nodes() {
    return List.copyOf(nodes.values());
  }

  public List<SimulatedServer> servers() {
    return List.copyOf(servers);
  }

  public History history() {
    return history;
  }

  public CallLedger ledger() {
    return ledger;
  }

  /** Breaks all connections between two groups in both directions, or allows them again. */
  public void setPartitioned(List<Node> one, List<Node> other, boolean partitioned) {
    for (Node from : one) {
      for (Node to : other) {
        from.peerProxies.get(to.name).setCut(partitioned);
        to.peerProxies.get(from.name).setCut(partitioned);
        if (gossipKeys != null) {
          from.datagramProxies.get(to.name).setMuted(partitioned, partitioned);
          to.datagramProxies.get(from.name).setMuted(partitioned, partitioned);
        }
      }
    }
  }

  /**
   * Discards traffic of an instance while its connections stay open.
   *
   * @param outbound whether traffic that the instance sends is discarded
   * @param inbound whether traffic to the instance is discarded
   */
  public void setMuted(Node node, boolean outbound, boolean inbound) {
    node.peerProxies.values().forEach(proxy -> proxy.setMuted(outbound, inbound));
    node.datagramProxies.values().forEach(proxy -> proxy.setMuted(outbound, inbound));
    for (Node other : nodes.values()) {
      if (other != node) {
        other.peerProxies.get(node.name).setMuted(inbound, outbound);
        if (gossipKeys != null) {
          other.datagramProxies.get(node.name).setMuted(inbound, outbound);
        }
      }
    }
  }

  /** Returns the leader that the first responding instance reports, or null if there is none. */
  public Node leader() {
    for (Node node : nodes.values()) {
      try {
        Node leader = nodes.get(String.valueOf(node.get("work").get("leader")));
        if (leader != null) {
          return leader;
        }
      } catch (IOException e) {
        // This instance does not answer; the next one may.
      }
    }
    return null;
  }

  /** Starts an open-loop load on one instance. */
  public HttpLoadGenerator startLoad(Node node, double perSecond) {
    return new HttpLoadGenerator(
            clientLoops.next(), node.listen, REQUEST_KINDS, perSecond, 3000, 200, seed++, ledger)
        .start();
  }

  @Override
  public void close() throws IOException {
    for (Node node : nodes.values()) {
      node.close();
    }
    servers.forEach(SimulatedServer::close);
    for (NioEventLoopGroup group : List.of(serverLoops, proxyLoops, clientLoops)) {
      group.shutdownGracefully(0, 2, TimeUnit.SECONDS);
    }
  }
}
