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
 * Runs {@link Gossip} for this balancer: sends and receives its messages as datagrams, calls its
 * timer and announces this balancer's load. Everything except reading the key file runs on the
 * node's event loop.
 */
public final class GossipService implements AutoCloseable {
  /** The key file is not valid; the message says why. */
  public static final class StartException extends Exception {
    private static final long serialVersionUID = 1L;

    StartException(String message) {
      super(message);
    }
  }

  /** Ticks in a probe period. */
  private static final int TICKS_PER_PERIOD = 10;

  /** Interval at which the load is measured. */
  private static final long LOAD_MILLIS = 1000;

  /** Relative change of the load from which it is announced again. */
  private static final double MIN_LOAD_CHANGE = 0.1;

  /**
   * Weight of the latest measurement in the moving average. Others share the servers by the
   * announced load, so random fluctuations must not show in it.
   */
  private static final double LOAD_WEIGHT = 0.1;

  /**
   * Weight of the latest measurement in the fast average, for a load that changes within a second
   * or two.
   */
  private static final double FAST_WEIGHT = 0.5;

  /** Ratio of the two averages from which their difference counts as more than a fluctuation. */
  private static final double MAX_FLUCTUATION = 1.6;

  /** Loads below this many requests per second are treated as equal. */
  private static final double MIN_LOAD = 1;

  /** Maximum number of messages that wait for a session id; the oldest is dropped. */
  private static final int MAX_PENDING = 64;

  /** Above this many unsent bytes, further datagrams are dropped. */
  private static final int MAX_UNSENT_BYTES = 1 << 18;

  /** How long a shutdown waits for the announcement that this instance leaves. */
  private static final long LEAVE_TIMEOUT_MILLIS = 300;

  /** Latest protocol release that this program supports; announced to the others. */
  private static final int RELEASE = 1;

  private final Node node;
  private final PeersTable table;
  private final SecureRandom random = new SecureRandom();
  private final ReplayGuard replayGuard = new ReplayGuard(this::randomId);
  private final Gossip gossip;
  private final Gossip.Transport transport = this::send;
  private final KeyFileWatcher keyFile;

  /**
   * The last message to each address whose session id is not known yet. It is sent again with that
   * id.
   */
  private final Map<String, Message> pending =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Message> eldest) {
          return size() > MAX_PENDING;
        }
      };

  /** The announced address by the source of its datagrams, for peers with an address override. */
  private final Map<InetSocketAddress, String> announcedBySource = new LinkedHashMap<>();

  private final EnumMap<Datagram.Refusal, Long> refusals = new EnumMap<>(Datagram.Refusal.class);
  private final Map<String, PeerStatus> loggedStatus = new TreeMap<>();
  private KeyRing keys;
  private Channel socket;
  private long sent;
  private long received;

  /** Session ids that were received or sent in answer. */
  private long sessionExchanges;

  private long dropped;
  private long lastRequestCount;
  private double averageLoad;
  private double fastAverageLoad;
  private boolean left;
  private boolean loggedNameConflict;

  /** Reads the key file; {@link #start} must follow. */
  public GossipService(Node node, PeersTable table) throws StartException {
    this.node = node;
    this.table = table;
    try {
      keys = KeyRing.read(table.keys());
    } catch (KeyRing.InvalidKeysException e) {
      throw new StartException(e.getMessage());
    }
    PeerAttributes attributes = new PeerAttributes(table.zone(), 0, 0, RELEASE);
    PeerRecord self =
        new PeerRecord(
            table.instance(),
            table.address(),
            randomId() >>> 11 | 1,
            0,
            PeerStatus.ALIVE,
            attributes);
    gossip = new Gossip(table.timing(), self, table.seeds(), randomId());
    keyFile = new KeyFileWatcher(table.keys(), keys, this::replaceKeys);
    table.overrides().forEach((announced, actual) -> announcedBySource.put(actual, announced));
    node.shutdown().addFinalTask(this::leaveOnShutdown);
  }

  /** Why the key file is not valid, or null if it is. */
  public static String keyFileError(PeersTable table) {
    try {
      KeyRing.read(table.keys());
      return null;
    } catch (KeyRing.InvalidKeysException e) {
      return e.getMessage();
    }
  }

  private long randomId() {
    long id = random.nextLong();
    return id == 0 ? 1 : id;
  }

  private void replaceKeys(KeyRing next) {
    try {
      node.loop().execute(() -> keys = next);
    } catch (RejectedExecutionException e) {
      // The node has ended.
    }
  }

  /**
   * Binds the socket and joins the gossip; fails if the address is in use. Must not be called on
   * the event loop.
   */
  public void start() throws InterruptedException {
    socket =
        new Bootstrap()
            .group(node.loop())
            .channel(NioDatagramChannel.class)
            .handler(new DatagramHandler())
            .bind(table.listen())
            .sync()
            .channel();
    long tickMillis = table.timing().probePeriodNanos() / 1_000_000 / TICKS_PER_PERIOD;
    node.loop().scheduleAtFixedRate(this::tick, 0, tickMillis, MILLISECONDS);
    node.loop().scheduleAtFixedRate(this::updateLoad, LOAD_MILLIS, LOAD_MILLIS, MILLISECONDS);
  }

  // ---- On the event loop ----

  private void tick() {
    try {
      gossip.tick(System.nanoTime(), transport);
      logChanges();
    } catch (RuntimeException e) {
      Log.error("peers", "a gossip step failed", e); // Rethrown, it would cancel the periodic task.
    }
  }

  /** Logs changes of the peers' status. */
  private void logChanges() {
    for (PeerRecord peer : gossip.knownPeers()) {
      PeerStatus before = loggedStatus.put(peer.name(), peer.status());
      if (before != peer.status()) {
        Log.info(
            "peers",
            peer.name() + " at " + peer.address() + " is " + lowerCase(peer.status()),
            "peer",
            peer.name(),
            "step",
            lowerCase(peer.status()));
      }
    }
    if (loggedStatus.size() > gossip.knownPeers().size()) {
      loggedStatus.keySet().retainAll(gossip.knownPeers().stream().map(PeerRecord::name).toList());
    }
    if (gossip.nameConflict() != loggedNameConflict) {
      loggedNameConflict = gossip.nameConflict();
      Log.warn(
          "peers",
          loggedNameConflict
              ? "another process uses the name "
                  + table.instance()
                  + "; this one does not announce itself"
              : "no other process uses the name " + table.instance() + " any more");
    }
  }

  static String lowerCase(PeerStatus status) {
    return status.name().toLowerCase(java.util.Locale.ROOT);
  }

  private void updateLoad() {
    long requestCount = node.dispatcher().requestCount();
    double measured = (requestCount - lastRequestCount) * 1000.0 / LOAD_MILLIS;
    lastRequestCount = requestCount;
    fastAverageLoad += FAST_WEIGHT * (measured - fastAverageLoad);
    averageLoad += LOAD_WEIGHT * (measured - averageLoad);
    double smaller = Math.max(MIN_LOAD, Math.min(averageLoad, fastAverageLoad));
    if (Math.max(averageLoad, fastAverageLoad) > MAX_FLUCTUATION * smaller) {
      averageLoad = fastAverageLoad;
    }
    PeerAttributes attributes = gossip.self().attributes();
    double announced = Math.max(MIN_LOAD, attributes.load());
    double change = Math.abs(Math.max(MIN_LOAD, averageLoad) - announced) / announced;
    if (change > MIN_LOAD_CHANGE && !left) {
      gossip.updateAttributes(
          new PeerAttributes(
              attributes.zone(), attributes.tier(), averageLoad, attributes.release()));
    }
  }

  private void send(String address, Message message) {
    if (!replayGuard.knowsSession(address)) {
      pending.remove(address);
      pending.put(address, message);
    }
    InetSocketAddress to = table.overrides().getOrDefault(address, Addresses.parse(address));
    if (to != null) {
      write(new Datagram(replayGuard.nextStamp(address), message, 0), to);
    }
  }

  private void write(Datagram datagram, InetSocketAddress to) {
    byte[] bytes = datagram.encode(keys);
    boolean full =
        socket.unsafe().outboundBuffer() == null
            || socket.unsafe().outboundBuffer().totalPendingWriteBytes() > MAX_UNSENT_BYTES;
    if (full || bytes.length > Datagram.MAX_BYTES) {
      dropped++;
      return;
    }
    sent++;
    socket.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(bytes), to));
  }

  private void receive(byte[] bytes, InetSocketAddress from) throws Datagram.RefusedException {
    Datagram datagram = Datagram.decode(bytes, keys);
    String address = announcedBySource.getOrDefault(from, Addresses.format(from));
    if (datagram.message() == null) {
      sessionExchanges++;
      Message unsent = pending.remove(address);
      if (replayGuard.learnSession(address, datagram.stamp(), datagram.answeredSequence())
          && unsent != null) {
        send(address, unsent);
      }
      return;
    }
    switch (replayGuard.check(datagram.stamp())) {
      case REPLAYED -> throw new Datagram.RefusedException(Datagram.Refusal.REPLAY);
      case WRONG_SESSION -> {
        sessionExchanges++;
        write(
            new Datagram(
                replayGuard.answerStamp(datagram.stamp()), null, datagram.stamp().sequence()),
            from);
      }
      case FRESH -> {
        received++;
        gossip.receive(System.nanoTime(), address, datagram.message(), transport);
        logChanges();
      }
    }
  }

  private final class DatagramHandler extends SimpleChannelInboundHandler<DatagramPacket> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
      try {
        receive(ByteBufUtil.getBytes(packet.content()), packet.sender());
      } catch (Datagram.RefusedException e) {
        refusals.merge(e.reason, 1L, Long::sum);
        Log.warn("peers refused", "a datagram from " + packet.sender() + ": " + e.reason);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      // An IOException means that no process listens at the target: the same as a lost datagram.
      if (!(cause instanceof IOException)) {
        Log.error("peers", "receiving a datagram failed", cause);
      }
    }
  }

  // ---- For other components ----

  /**
   * The peers that count as present, including this instance, ordered by name; only on the event
   * loop.
   */
  public List<PeerRecord> presentPeers() {
    return gossip.presentPeers();
  }

  /** The record that this instance announces about itself; only on the event loop. */
  public PeerRecord self() {
    return gossip.self();
  }

  /** Number of peers that were declared dead and are still remembered. */
  public int deadPeerCount() {
    return (int)
        gossip.knownPeers().stream().filter(each -> each.status() == PeerStatus.DEAD).count();
  }

  /** Adds the peers' pages to the admin listener. */
  public void addPages(AdminServer admin) {
    new PeersPages(this, table).add(admin);
  }

  /** Adds the peers' figures to the metrics. */
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

  /** Announces that this instance leaves the membership; it continues to serve requests. */
  void leave() {
    if (!left) {
      left = true;
      gossip.leave(transport);
      Log.info("peers", table.instance() + " has left");
    }
  }

  Map<String, Long> counts() {
    Map<String, Long> counts = new LinkedHashMap<>();
    counts.put("sent", sent);
    counts.put("received", received);
    counts.put("knocks", sessionExchanges);
    counts.put("dropped", dropped);
    for (Datagram.Refusal each : Datagram.Refusal.values()) {
      counts.put(
          "refused_" + each.name().toLowerCase(java.util.Locale.ROOT),
          refusals.getOrDefault(each, 0L));
    }
    return counts;
  }

  private void leaveOnShutdown() {
    try {
      node.loop().submit(this::leave).await(LEAVE_TIMEOUT_MILLIS);
    } catch (RejectedExecutionException e) {
      // The event loop has ended; the others will detect it.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    keyFile.close();
  }
}
