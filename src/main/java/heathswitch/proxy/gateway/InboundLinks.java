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

/**
 * Listens for gateways of peer sites and keeps their connections. Its timer also drives the
 * outbound links.
 */
final class InboundLinks implements ProtocolListener {
  private static final long TICK_MILLIS = 50;
  private static final int HANDSHAKE_TIMEOUT_MILLIS = 3000;
  private static final int MAX_CONNECTIONS = 256;

  private final GatewayTable table;
  private final Gateway gateway;
  private final OutboundLinks outboundLinks;
  private final EventLoop loop;
  private final Clock clock;
  private final ResourceBudget budget;
  private final Dispatcher dispatcher;
  private final UpstreamConnectionPool pool;
  private final Map<String, PeerCounters> countersBySite = new LinkedHashMap<>();
  private final Set<Channel> channels = new HashSet<>();
  private final Set<InboundLink> links = new HashSet<>();
  private Channel listener;
  private long freeBytes;
  private boolean draining;

  InboundLinks(
      GatewayTable table,
      Gateway gateway,
      OutboundLinks outboundLinks,
      ProtocolListener.Context context) {
    this.table = table;
    this.gateway = gateway;
    this.outboundLinks = outboundLinks;
    loop = context.loop();
    clock = context.clock();
    budget = context.budget();
    dispatcher = context.dispatcher();
    pool = context.pool();
    freeBytes = table.maxBufferedBytes();
    table.sites().forEach(site -> countersBySite.put(site.name(), new PeerCounters()));
  }

  @Override
  public void start() throws InterruptedException {
    listener =
        Listeners.bootstrap(loop, this::onAccepted)
            .option(ChannelOption.SO_BACKLOG, 128)
            .bind(table.listen())
            .sync()
            .channel();
    loop.scheduleAtFixedRate(this::tick, 0, TICK_MILLIS, MILLISECONDS);
  }

  InetSocketAddress address() {
    return (InetSocketAddress) listener.localAddress();
  }

  private void onAccepted(Channel channel) {
    budget.connectionOpened();
    channel.closeFuture().addListener(closed -> budget.connectionClosed());
    if (channels.size() >= MAX_CONNECTIONS || budget.availableConnections() <= 0 || draining) {
      channel.close();
      return;
    }
    channels.add(channel);
    channel.closeFuture().addListener(closed -> channels.remove(channel));
    Identity identity = outboundLinks.identity();
    if (identity == null) {
      addLink(channel, null);
      return;
    }
    SslHandler tls = identity.serverContext().newHandler(channel.alloc());
    tls.setHandshakeTimeoutMillis(HANDSHAKE_TIMEOUT_MILLIS);
    channel
        .pipeline()
        .addLast(
            tls,
            new PeerSiteVerifier(
                tls,
                name -> {
                  boolean peerSite = isPeerSite(name);
                  if (peerSite) {
                    addLink(channel, name);
                  }
                  return peerSite;
                }));
  }

  private void addLink(Channel channel, String peerSite) {
    InboundLink link =
        MultiplexedConnection.build(
            true,
            table.maxStreams(),
            SiteHeaders.MAX_HEADER_BYTES,
            SiteHeaders.VARIABLE_HEADERS,
            (decoder, encoder, settings) ->
                new InboundLink(decoder, encoder, settings, this, peerSite));
    links.add(link);
    channel.closeFuture().addListener(closed -> links.remove(link));
    channel.pipeline().addLast(link);
  }

  private void tick() {
    try {
      outboundLinks.tick(TICK_MILLIS * 1_000_000L);
      long now = now();
      List.copyOf(links).forEach(link -> link.tick(now));
    } catch (RuntimeException e) {
      Log.error("gateway", "tick failed", e); // Rethrown, it would cancel all later ticks.
    }
  }

  long now() {
    return clock.nowNanos();
  }

  /** Returns the time that a call waits for its peer before it is aborted. */
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

  boolean isPeerSite(String site) {
    return countersBySite.containsKey(site);
  }

  /** Returns the counters of a peer site; for any other name, counters that are discarded. */
  PeerCounters counters(String site) {
    PeerCounters counters = countersBySite.get(site);
    return counters == null ? new PeerCounters() : counters;
  }

  void forEachPeerSite(BiConsumer<String, PeerCounters> each) {
    countersBySite.forEach(each);
  }

  /**
   * Reserves buffer space for bytes of a call; returns false and reserves nothing if it is full.
   */
  boolean reserve(long bytes) {
    boolean fits = bytes <= freeBytes;
    freeBytes -= fits ? bytes : 0;
    return fits;
  }

  void release(long bytes) {
    freeBytes += bytes;
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
