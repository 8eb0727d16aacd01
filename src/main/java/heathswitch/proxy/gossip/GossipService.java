package heathswitch.proxy.gossip;

import static java.util.concurrent.TimeUnit.MILLISECONDS;

import heathswitch.policy.gossip.Gossip;
import heathswitch.policy.gossip.Message;
import heathswitch.policy.gossip.PeerAttributes;
import heathswitch.policy.gossip.PeerRecord;
import heathswitch.policy.gossip.PeerStatus;
import heathswitch.policy.gossip.ReplayGuard;
import heathswitch.proxy.admin.AdminServer;
import heathswitch.proxy.metrics.Metrics;
import heathswitch.proxy.node.Node;
import heathswitch.proxy.runtime.Addresses;
import heathswitch.proxy.runtime.Log;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.RejectedExecutionException;

/**
 * This balancer's part in the gossip: carries its messages in datagrams, gives it the time, and
 * tells it the load. All of it on the node's event loop but for reading the file of keys.
 */
public final class GossipService implements AutoCloseable {
  /** KeyRing that cannot be used, or a socket that cannot be had; the message says why. */
  public static final class StartException extends Exception {
    private static final long serialVersionUID = 1L;

    StartException(String message) {
      super(message);
    }
  }

  /** Ticks in a period of probes. */
  private static final int TICKS = 10;

  /** The load is looked at so often, and told when it is that much another one. */
  private static final long LOAD_MILLIS = 1000;

  private static final double LOAD_CHANGE = 0.1;

  /** Weight of the last look: others share servers by what is told, so chance must not show. */
  private static final double LOAD_WEIGHT = 0.1;

  /** Weight of the last look where the load is quite another one within a second or two. */
  private static final double FAST_WEIGHT = 0.5;

  /** More or less than that is no chance. */
  private static final double FAST_CHANGE = 1.6;

  /** Below so many calls a second all loads are alike. */
  private static final double LEAST_LOAD = 1;

  /** Datagrams to strangers that wait for an answer to the knock; the oldest is dropped. */
  private static final int MOST_WAITING = 64;

  /** Written while the socket's buffer is full beyond this: dropped, as any network does. */
  private static final int MOST_UNSENT_BYTES = 1 << 18;

  private static final long LEAVE_MILLIS = 300;

  /** The latest form that this program knows; told to the others. */
  private static final int RELEASE = 1;

  private final Node node;
  private final PeersTable table;
  private final SecureRandom chance = new SecureRandom();
  private final ReplayGuard doors = new ReplayGuard(this::draw);
  private final Gossip gossip;
  private final Gossip.Wire wire = this::send;
  private final KeyFileWatcher file;

  /** The last message to each address that does not know this process yet. */
  private final Map<String, Message> waiting =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Message> eldest) {
          return size() > MOST_WAITING;
        }
      };

  /** Where a datagram of theirs came from, for addresses that this instance reaches by another. */
  private final Map<InetSocketAddress, String> reached = new LinkedHashMap<>();

  private final EnumMap<Datagram.Refusal, Long> refused = new EnumMap<>(Datagram.Refusal.class);
  private final Map<String, PeerStatus> told = new TreeMap<>();
  private KeyRing keys;
  private Channel socket;
  private long sent;
  private long received;
  private long knocks;
  private long dropped;
  private long takenBefore;
  private double load;
  private double fastLoad;
  private boolean left;
  private boolean toldDouble;

  /** Reads the keys; {@link #start} must follow. */
  public GossipService(Node node, PeersTable table) throws StartException {
    this.node = node;
    this.table = table;
    try {
      keys = KeyRing.read(table.keys());
    } catch (KeyRing.Unusable e) {
      throw new StartException(e.getMessage());
    }
    PeerAttributes facts = new PeerAttributes(table.zone(), 0, 0, RELEASE);
    PeerRecord self =
        new PeerRecord(
            table.instance(), table.address(), draw() >>> 11 | 1, 0, PeerStatus.ALIVE, facts);
    gossip = new Gossip(table.pace(), self, table.seeds(), draw());
    file = new KeyFileWatcher(table.keys(), keys, this::rekey);
    table.ways().forEach((to, by) -> reached.put(by, to));
    node.shutdown().addFinalTask(this::leaveAtEnd);
  }

  /** What is wrong with the file of keys, or null. */
  public static String keyFileError(PeersTable table) {
    try {
      KeyRing.read(table.keys());
      return null;
    } catch (KeyRing.Unusable e) {
      return e.getMessage();
    }
  }

  private long draw() {
    long drawn = chance.nextLong();
    return drawn == 0 ? 1 : drawn;
  }

  private void rekey(KeyRing next) {
    try {
      node.loop().execute(() -> keys = next);
    } catch (RejectedExecutionException e) {
      // The node has ended.
    }
  }

  /** Takes part from now on; fails if the address is taken. Not on the loop. */
  public void start() throws InterruptedException {
    socket =
        new Bootstrap()
            .group(node.loop())
            .channel(NioDatagramChannel.class)
            .handler(new In())
            .bind(table.listen())
            .sync()
            .channel();
    long tick = table.pace().periodNanos() / 1_000_000 / TICKS;
    node.loop().scheduleAtFixedRate(this::tick, 0, tick, MILLISECONDS);
    node.loop().scheduleAtFixedRate(this::load, LOAD_MILLIS, LOAD_MILLIS, MILLISECONDS);
  }

  // ---- on the loop ----

  private void tick() {
    try {
      gossip.tick(System.nanoTime(), wire);
      tell();
    } catch (RuntimeException e) {
      Log.error("peers", "a step failed", e); // Thrown on, it would be the last.
    }
  }

  /** Says in the log who comes and goes. */
  private void tell() {
    for (PeerRecord word : gossip.held()) {
      PeerStatus before = told.put(word.name(), word.standing());
      if (before != word.standing()) {
        Log.info(
            "peers",
            word.name() + " at " + word.address() + " is " + lower(word.standing()),
            "peer",
            word.name(),
            "step",
            lower(word.standing()));
      }
    }
    if (told.size() > gossip.held().size()) {
      told.keySet().retainAll(gossip.held().stream().map(PeerRecord::name).toList());
    }
    if (gossip.doubled() != toldDouble) {
      toldDouble = gossip.doubled();
      Log.warn(
          "peers",
          toldDouble
              ? "another process goes by the name " + table.instance() + "; this one keeps still"
              : "no other process goes by the name " + table.instance() + " any more");
    }
  }

  static String lower(PeerStatus standing) {
    return standing.name().toLowerCase(java.util.Locale.ROOT);
  }

  private void load() {
    long taken = node.dispatcher().requestCount();
    double now = (taken - takenBefore) * 1000.0 / LOAD_MILLIS;
    takenBefore = taken;
    fastLoad += FAST_WEIGHT * (now - fastLoad);
    load += LOAD_WEIGHT * (now - load);
    double least = Math.max(LEAST_LOAD, Math.min(load, fastLoad));
    if (Math.max(load, fastLoad) > FAST_CHANGE * least) {
      load = fastLoad;
    }
    PeerAttributes facts = gossip.self().attributes();
    double from = Math.max(LEAST_LOAD, facts.load());
    double change = Math.abs(Math.max(LEAST_LOAD, load) - from) / from;
    if (change > LOAD_CHANGE && !left) {
      gossip.facts(new PeerAttributes(facts.zone(), facts.tier(), load, facts.release()));
    }
  }

  private void send(String address, Message message) {
    if (!doors.knows(address)) {
      waiting.remove(address);
      waiting.put(address, message);
    }
    InetSocketAddress to = table.ways().getOrDefault(address, Addresses.parse(address));
    if (to != null) {
      write(new Datagram(doors.next(address), message, 0), to);
    }
  }

  private void write(Datagram datagram, InetSocketAddress to) {
    byte[] bytes = datagram.bytes(keys);
    boolean full =
        socket.unsafe().outboundBuffer() == null
            || socket.unsafe().outboundBuffer().totalPendingWriteBytes() > MOST_UNSENT_BYTES;
    if (full || bytes.length > Datagram.MOST_BYTES) {
      dropped++;
      return;
    }
    sent++;
    socket.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(bytes), to));
  }

  private void take(byte[] bytes, InetSocketAddress from) throws Datagram.Refused {
    Datagram datagram = Datagram.read(bytes, keys);
    String address = reached.getOrDefault(from, Addresses.format(from));
    if (datagram.message() == null) {
      knocks++;
      Message again = waiting.remove(address);
      if (doors.told(address, datagram.stamp(), datagram.answered()) && again != null) {
        send(address, again);
      }
      return;
    }
    switch (doors.take(datagram.stamp())) {
      case OLD -> throw new Datagram.Refused(Datagram.Refusal.REPLAY);
      case STRANGER -> {
        knocks++;
        write(new Datagram(doors.answer(datagram.stamp()), null, datagram.stamp().count()), from);
      }
      case NEW -> {
        received++;
        gossip.receive(System.nanoTime(), address, datagram.message(), wire);
        tell();
      }
    }
  }

  private final class In extends SimpleChannelInboundHandler<DatagramPacket> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
      try {
        take(ByteBufUtil.getBytes(packet.content()), packet.sender());
      } catch (Datagram.Refused e) {
        refused.merge(e.why, 1L, Long::sum);
        Log.warn("peers refused", "a datagram from " + packet.sender() + ": " + e.why);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      if (!(cause instanceof IOException)) { // Nobody listens there: as good as lost.
        Log.error("peers", "a datagram could not be taken", cause);
      }
    }
  }

  // ---- for others ----

  /** Those that count as there, this instance among them, by name; on the loop. */
  public List<PeerRecord> presentPeers() {
    return gossip.presentPeers();
  }

  /** What this instance says of itself; on the loop. */
  public PeerRecord self() {
    return gossip.self();
  }

  /** Those that were there and are not heard any more, as long as they are remembered. */
  public int deadPeerCount() {
    return (int) gossip.held().stream().filter(each -> each.standing() == PeerStatus.DEAD).count();
  }

  /** Adds the pages of peers to the admin listener. */
  public void addPages(AdminServer admin) {
    new PeersPages(this, table).add(admin);
  }

  /** Adds what can be read of peers to the figures. */
  public void addFigures(Metrics metrics) {
    metrics
        .gauge("peers.there", "balancers that count as there", () -> gossip.presentPeers().size())
        .gauge(
            "peers.gone",
            "balancers that were there and are not heard any more",
            this::deadPeerCount)
        .gauge("peers.slowness", "how slow this one finds itself", gossip::slowness)
        .counter("peers.datagrams.sent", "datagrams to peers", () -> sent)
        .counter("peers.datagrams.received", "datagrams that were taken", () -> received);
  }

  Gossip gossip() {
    return gossip;
  }

  boolean hasLeft() {
    return left;
  }

  /** The others count this instance as gone from now on; it goes on serving by itself. */
  void leave() {
    if (!left) {
      left = true;
      gossip.leave(wire);
      Log.info("peers", table.instance() + " has left");
    }
  }

  Map<String, Long> counts() {
    Map<String, Long> counts = new LinkedHashMap<>();
    counts.put("sent", sent);
    counts.put("received", received);
    counts.put("knocks", knocks);
    counts.put("dropped", dropped);
    for (Datagram.Refusal each : Datagram.Refusal.values()) {
      counts.put(
          "refused_" + each.name().toLowerCase(java.util.Locale.ROOT),
          refused.getOrDefault(each, 0L));
    }
    return counts;
  }

  private void leaveAtEnd() {
    try {
      node.loop().submit(this::leave).await(LEAVE_MILLIS);
    } catch (RejectedExecutionException e) {
      // The loop has ended; the others will find out.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    file.close();
  }
}
