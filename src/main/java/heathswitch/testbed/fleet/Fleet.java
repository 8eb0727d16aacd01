package heathswitch.testbed.fleet;

import heathswitch.policy.members.ListedServer;
import heathswitch.proxy.maintenance.VoterFolder;
import heathswitch.proxy.standalone.StandaloneConfig;
import heathswitch.testbed.balancer.BalancerProcess;
import heathswitch.testbed.balancer.Workplace;
import heathswitch.testbed.client.Kind;
import heathswitch.testbed.client.Ledger;
import heathswitch.testbed.client.OpenLoop;
import heathswitch.testbed.server.Shape;
import heathswitch.testbed.server.StandIn;
import heathswitch.testbed.site.DatagramLine;
import heathswitch.testbed.site.DelayLine;
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

/** Instances of the program before stand-in servers, with every way between instances a relay. */
public final class Fleet implements AutoCloseable {
  private static final InetSocketAddress ANY = new InetSocketAddress("127.0.0.1", 0);
  private static final List<String> FLAGS =
      List.of("-XX:+UseSerialGC", "-Xmx160m", "-XX:TieredStopAtLevel=1", "-XX:-UsePerfData");
  private static final List<Kind> KINDS =
      List.of(Kind.safe("view", "school", 0.8), Kind.unsafe("publish", "school", 0.2));

  private final NioEventLoopGroup servers = new NioEventLoopGroup(2);
  private final NioEventLoopGroup between = new NioEventLoopGroup(2);
  private final NioEventLoopGroup clients = new NioEventLoopGroup(2);
  private final History history = new History();
  private final Ledger ledger = new Ledger();
  private final List<StandIn> standIns = new ArrayList<>();
  private final Map<String, Node> nodes = new LinkedHashMap<>();
  private final Map<String, Integer> cells = new HashMap<>();
  private long seed;
  private boolean relayed;
  private String keys;
  private String subset;
  private int first = Integer.MAX_VALUE;
  private Deed beforeStart = node -> {};

  /** An empty one; the seed draws delays and loads. */
  public Fleet(long seed) {
    this.seed = seed;
  }

  /** Has something done to each instance before its first start. */
  public Fleet before(Deed deed) {
    beforeStart = deed;
    return this;
  }

  /** Adds servers of a kind, each in a cell of its own. */
  public Fleet servers(int count, String kind, Shape shape) throws InterruptedException {
    for (int i = 0; i < count; i++) {
      String name = kind + '-' + (i + 1);
      StandIn server = new StandIn(servers.next(), name, shape, seed++, history);
      standIns.add(server.onRun(ledger::ran).start(ANY));
      cells.put(name, standIns.size());
    }
    return this;
  }

  /**
   * Leads the ways between instances and servers through relays, too: each instance knows a server
   * by an address of its own.
   */
  public Fleet relayed() {
    relayed = true;
    return this;
  }

  /**
   * Has the instances know each other by gossip, each way between two of them a relay for
   * datagrams; the first two are the seeds.
   *
   * @param text of the file of keys that each of them has
   */
  public Fleet gossiping(String text) {
    keys = text;
    return this;
  }

  /**
   * Has the instances use a part of the servers each.
   *
   * @param lines of the table [subset]
   */
  public Fleet subsetting(String lines) {
    subset = lines;
    return this;
  }

  /** Has only so many instances started at first; the others when {@link #rise} is called. */
  public Fleet first(int count) {
    first = count;
    return this;
  }

  /** Starts instances that settle no orders and returns when all of them serve. */
  public Fleet start(int count) throws Exception {
    return start(count, 0, null);
  }

  /**
   * Starts instances and returns when all of them serve.
   *
   * @param voters how many of them vote, from the first on
   * @param terms null for instances that settle no orders
   */
  public Fleet start(int count, int voters, Terms terms) throws Exception {
    List<InetSocketAddress> agreements = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      agreements.add(BalancerProcess.freeAddress());
    }
    for (int i = 0; i < count; i++) {
      Map<String, DelayLine> ways = new LinkedHashMap<>();
      for (int j = 0; j < count; j++) {
        if (j != i) {
          ways.put(name(j), new DelayLine(between.next(), agreements.get(j), 0, 0, seed++).start());
        }
      }
      Node node =
          new Node(
              name(i),
              BalancerProcess.freeAddress(),
              BalancerProcess.freeAddress(),
              agreements.get(i),
              new Workplace("fleet"),
              ways,
              FLAGS);
      nodes.put(node.name, node);
      for (StandIn server : relayed ? standIns : List.<StandIn>of()) {
        DelayLine way = new DelayLine(between.next(), server.address(), 0, 0, seed++).start();
        node.toServers.put(server.name(), way);
      }
      list(node, standIns);
      node.gossip = keys == null ? null : BalancerProcess.freeAddress();
    }
    for (Node node : nodes.values()) {
      if (keys != null) {
        for (Node other : nodes.values()) {
          if (other != node) {
            node.datagrams.put(
                other.name, new DatagramLine(between.next(), other.gossip, seed++).start());
          }
        }
        Files.writeString(node.keys(), keys);
      }
      configure(node, voters, terms);
      if (terms != null) {
        VoterFolder.create(StandaloneConfig.read(node.config).config().maintenance());
      }
    }
    for (Node node : nodes.values()) {
      beforeStart.to(node);
    }
    rise(nodes().subList(0, Math.min(first, count)));
    return this;
  }

  /** Starts some of them and returns when all of these serve. */
  public void rise(List<Node> some) throws Exception {
    each(some, Node::start);
    for (Node node : some) {
      while (!node.serves()) {
        if (!node.alive()) {
          throw new IOException(node.name + " has ended:\n" + Files.readString(node.log()));
        }
        Thread.sleep(20);
      }
    }
  }

  private static String name(int index) {
    return "edge-" + (index + 1);
  }

  /** A server as an instance's list names it. */
  public ListedServer line(Node node, StandIn server) {
    String kind = server.name().substring(0, server.name().lastIndexOf('-'));
    ListedServer line = Workplace.listed(server, "a", kind, 1);
    DelayLine way = node.way(server);
    String address = way == null ? line.endpoint() : "127.0.0.1:" + way.address().getPort();
    long cell = cells.get(server.name());
    return new ListedServer(line.id(), address, line.zone(), kind, cell, 1, true);
  }

  /** Writes an instance's list of servers, as a whole. */
  public void list(Node node, List<StandIn> listed) throws IOException {
    listLines(node, listed.stream().map(server -> line(node, server)).toList());
  }

  /** Likewise of lines that need not stand for servers of the rig. */
  public void listLines(Node node, List<ListedServer> lines) throws IOException {
    Path next = node.workplace.folder().resolve("next");
    Files.writeString(next, Workplace.text(lines));
    Files.move(next, node.workplace.members(), StandardCopyOption.ATOMIC_MOVE);
  }

  /** Writes an instance's configuration; it is read at its next start. */
  public void configure(Node node, int voters, Terms terms) throws IOException {
    String members = "most_removed = 1.0\ndrain = \"2s\"";
    node.config = node.workplace.configure(node.listen, node.admin, 1024, members);
    StringBuilder table = new StringBuilder();
    table.append("[log]\nformat = \"json\"\n");
    if (keys != null) {
      peers(node, table);
    }
    if (subset != null) {
      table.append("[subset]\n").append(subset).append('\n');
    }
    if (terms != null) {
      work(node, voters, terms, table);
    }
    Files.writeString(node.config, table, StandardOpenOption.APPEND);
  }

  private void peers(Node node, StringBuilder table) {
    List<String> seeds = nodes.values().stream().limit(2).map(each -> quoted(each.gossip)).toList();
    table.append("[peers]\ninstance = \"").append(node.name).append("\"\nlisten = ");
    table.append(quoted(node.gossip)).append("\nseeds = ").append(seeds);
    table.append("\nkeys = \"peers.keys\"\nperiod = \"300ms\"\nanswer = \"100ms\"\n");
    for (Node other : nodes.values()) {
      if (other != node) {
        table.append("[[peers.way]]\nto = ").append(quoted(other.gossip));
        table.append("\nby = ").append(quoted(node.datagrams.get(other.name).address()));
        table.append('\n');
      }
    }
  }

  private void work(Node node, int voters, Terms terms, StringBuilder table) {
    table.append("[work]\ninstance = \"").append(node.name).append("\"\nfolder = \"work\"\n");
    table.append("listen = ").append(quoted(node.agreement));
    table.append("\nwhen_cut_off = \"").append(terms.stops() ? "stop" : "serve");
    table.append("\"\nstopping = \"300ms\"\n[work.rules]\n");
    table.append("version = ").append(terms.version());
    table.append("\nlease = \"").append(terms.leaseMillis()).append("ms\"\n");
    table.append("margin = \"").append(terms.marginMillis()).append("ms\"\n");
    table.append("most_out = ").append(terms.mostOut()).append("\nmost_out_in_cell = 1\n");
    table.append(terms.text());
    int at = 0;
    for (int i = 0; i <= node.ways.size(); i++) {
      InetSocketAddress address =
          name(i).equals(node.name) ? node.agreement : node.ways.get(name(i)).address();
      table.append("[[work.peer]]\nname = \"").append(name(i)).append("\"\naddress = ");
      table.append(quoted(address)).append("\nvotes = ").append(at++ < voters).append('\n');
    }
  }

  private static String quoted(InetSocketAddress address) {
    return "\"127.0.0.1:" + address.getPort() + '"';
  }

  /** What is done to a node. */
  public interface Deed {
    void to(Node node) throws Exception;
  }

  /** Does the same to all at once. */
  public void all(Deed deed) throws Exception {
    each(nodes(), deed);
  }

  /** Does the same to some of them at once. */
  public void each(List<Node> some, Deed deed) throws Exception {
    ExecutorService each = Executors.newFixedThreadPool(Math.max(1, some.size()));
    try {
      List<Callable<Void>> deeds = new ArrayList<>();
      for (Node node : some) {
        deeds.add(
            () -> {
              deed.to(node);
              return null;
            });
      }
      for (Future<Void> done : each.invokeAll(deeds)) {
        done.get();
      }
    } finally {
      each.shutdown();
    }
  }

  public Node node(int number) {
    return nodes.get(name(number - 1));
  }

  public List<Node> nodes() {
    return List.copyOf(nodes.values());
  }

  public List<StandIn> servers() {
    return List.copyOf(standIns);
  }

  public History history() {
    return history;
  }

  public Ledger ledger() {
    return ledger;
  }

  /** Breaks every way between two sides, both ways, until they are mended. */
  public void split(List<Node> one, List<Node> other, boolean broken) {
    for (Node from : one) {
      for (Node to : other) {
        from.ways.get(to.name).cut(broken);
        to.ways.get(from.name).cut(broken);
        if (keys != null) {
          from.datagrams.get(to.name).mute(broken, broken);
          to.datagrams.get(from.name).mute(broken, broken);
        }
      }
    }
  }

  /** Connections stay open and nothing comes through: of what a node says, of what it hears. */
  public void mute(Node node, boolean says, boolean hears) {
    node.ways.values().forEach(way -> way.mute(says, hears));
    node.datagrams.values().forEach(way -> way.mute(says, hears));
    for (Node other : nodes.values()) {
      if (other != node) {
        other.ways.get(node.name).mute(hears, says);
        if (keys != null) {
          other.datagrams.get(node.name).mute(hears, says);
        }
      }
    }
  }

  /** Whoever leads, as the first says that answers, or null. */
  public Node leader() {
    for (Node node : nodes.values()) {
      try {
        Node leader = nodes.get(String.valueOf(node.get("work").get("leader")));
        if (leader != null) {
          return leader;
        }
      } catch (IOException e) {
        // It does not answer; the next may.
      }
    }
    return null;
  }

  /** A load on one instance. */
  public OpenLoop load(Node node, double perSecond) {
    return new OpenLoop(clients.next(), node.listen, KINDS, perSecond, 3000, 200, seed++, ledger)
        .start();
  }

  @Override
  public void close() throws IOException {
    for (Node node : nodes.values()) {
      node.close();
    }
    standIns.forEach(StandIn::close);
    for (NioEventLoopGroup group : List.of(servers, between, clients)) {
      group.shutdownGracefully(0, 2, TimeUnit.SECONDS);
    }
  }
}
