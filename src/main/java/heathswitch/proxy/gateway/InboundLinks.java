package heathswitch.proxy.gateway;

import static java.util.concurrent.TimeUnit.MILLISECONDS;

import heathswitch.policy.gateway.Gateway;
import heathswitch.proxy.dispatch.Dispatcher;
import heathswitch.proxy.http1.UpstreamConnectionPool;
import heathswitch.proxy.http2.MultiplexedConnection;
import heathswitch.proxy.node.ProtocolListener;
import heathswitch.proxy.runtime.Clock;
import heathswitch.proxy.runtime.Listeners;
import heathswitch.proxy.runtime.Log;
import heathswitch.proxy.runtime.ResourceBudget;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.handler.ssl.SslHandler;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;

/** Listens for the gateways of other sites; with it the links to them begin and end. */
final class InboundLinks implements ProtocolListener {
  private static final long TICK_MILLIS = 50;
  private static final int HANDSHAKE_MILLIS = 3000;
  private static final int MOST_CONNECTIONS = 256;

  private final GatewayTable table;
  private final Gateway gateway;
  private final OutboundLinks outward;
  private final EventLoop loop;
  private final Clock clock;
  private final ResourceBudget budget;
  private final Dispatcher dispatcher;
  private final UpstreamConnectionPool pool;
  private final Map<String, PeerCounters> peers = new LinkedHashMap<>();
  private final Set<Channel> channels = new HashSet<>();
  private final Set<InboundLink> links = new HashSet<>();
  private Channel listener;
  private long free;
  private boolean draining;

  InboundLinks(
      GatewayTable table, Gateway gateway, OutboundLinks outward, ProtocolListener.Context parts) {
    this.table = table;
    this.gateway = gateway;
    this.outward = outward;
    loop = parts.loop();
    clock = parts.clock();
    budget = parts.budget();
    dispatcher = parts.dispatcher();
    pool = parts.pool();
    free = table.maxBufferedBytes();
    table.sites().forEach(site -> peers.put(site.name(), new PeerCounters()));
  }

  @Override
  public void start() throws InterruptedException {
    listener =
        Listeners.bootstrap(loop, this::accepted)
            .option(ChannelOption.SO_BACKLOG, 128)
            .bind(table.listen())
            .sync()
            .channel();
    loop.scheduleAtFixedRate(this::tick, 0, TICK_MILLIS, MILLISECONDS);
  }

  InetSocketAddress address() {
    return (InetSocketAddress) listener.localAddress();
  }

  private void accepted(Channel channel) {
    budget.connectionOpened();
    channel.closeFuture().addListener(closed -> budget.connectionClosed());
    if (channels.size() >= MOST_CONNECTIONS || budget.availableConnections() <= 0 || draining) {
      channel.close();
      return;
    }
    channels.add(channel);
    channel.closeFuture().addListener(closed -> channels.remove(channel));
    Identity identity = outward.identity();
    if (identity == null) {
      letIn(channel, null);
      return;
    }
    SslHandler tls = identity.server().newHandler(channel.alloc());
    tls.setHandshakeTimeoutMillis(HANDSHAKE_MILLIS);
    channel
        .pipeline()
        .addLast(
            tls,
            new PeerSiteVerifier(
                tls,
                name -> {
                  boolean peer = isPeer(name);
                  if (peer) {
                    letIn(channel, name);
                  }
                  return peer;
                }));
  }

  private void letIn(Channel channel, String peer) {
    InboundLink link =
        MultiplexedConnection.build(
            true,
            table.maxStreams(),
            SiteHeaders.MOST_BYTES,
            SiteHeaders.CHANGING,
            (decoder, encoder, settings) ->
                new InboundLink(decoder, encoder, settings, this, peer));
    links.add(link);
    channel.closeFuture().addListener(closed -> links.remove(link));
    channel.pipeline().addLast(link);
  }

  private void tick() {
    try {
      outward.tick(TICK_MILLIS * 1_000_000L);
      long now = now();
      List.copyOf(links).forEach(link -> link.tick(now));
    } catch (RuntimeException e) {
      Log.error("gateway", "tick failed", e); // Thrown on, it would end all later ticks.
    }
  }

  long now() {
    return clock.nowNanos();
  }

  /** For which a call waits for its peer. */
  long stallTimeoutNanos() {
    return table.stallTimeoutNanos();
  }

  Gateway gateway() {
    return gateway;
  }

  Dispatcher dispatcher() {
    return dispatcher;
  }

  UpstreamConnectionPool pool() {
    return pool;
  }

  boolean draining() {
    return draining;
  }

  boolean isPeer(String site) {
    return peers.containsKey(site);
  }

  /** Of a peer; of somebody else they are kept nowhere. */
  PeerCounters counts(String site) {
    PeerCounters counts = peers.get(site);
    return counts == null ? new PeerCounters() : counts;
  }

  void forEachPeer(BiConsumer<String, PeerCounters> each) {
    peers.forEach(each);
  }

  /** Takes the bytes of a call, or returns false and takes none. */
  boolean hold(long bytes) {
    boolean fits = bytes <= free;
    free -= fits ? bytes : 0;
    return fits;
  }

  void giveBack(long bytes) {
    free += bytes;
  }

  @Override
  public void startDraining() {
    List.copyOf(links).forEach(InboundLink::closeGracefully);
    draining = true;
  }

  @Override
  public void stopListening() {
    Listeners.closeGracefully(listener, () -> budget.availableConnections() > 0);
  }

  @Override
  public boolean isListening() {
    return listener.isOpen();
  }

  @Override
  public int clientCount() {
    return links.size();
  }

  @Override
  public void closeIdle() {
    List.copyOf(links).forEach(InboundLink::closeIfIdle);
  }
}
