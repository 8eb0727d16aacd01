package heathswitch.proxy.gateway;

import heathswitch.policy.api.Outcome;
import heathswitch.policy.api.RequestClass;
import heathswitch.policy.gateway.Gateway;
import heathswitch.policy.gateway.PeerLink;
import heathswitch.proxy.dispatch.OverflowRouter;
import heathswitch.proxy.http1.HttpPayload;
import heathswitch.proxy.node.ProtocolListener;
import heathswitch.proxy.runtime.Clock;
import heathswitch.proxy.runtime.Log;
import heathswitch.proxy.runtime.ResourceBudget;
import heathswitch.proxy.spi.Attempt;
import heathswitch.proxy.spi.Payload;
import heathswitch.proxy.spi.Upstream;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** The links to gateways of peer sites, over which calls overflow that have no room here. */
final class OutboundLinks implements OverflowRouter {
  private static final int CONNECT_TIMEOUT_MILLIS = 1000;

  private final GatewayTable table;
  private final Gateway gateway;
  private final Clock clock;
  private final ResourceBudget budget;
  private final Bootstrap bootstrap;
  private final Map<Upstream, PeerGateway> byUpstream = new LinkedHashMap<>();
  private final List<PeerGateway> peers;
  private Identity identity;
  private long lastTickNanos;

  OutboundLinks(
      GatewayTable table, Gateway gateway, ProtocolListener.Context context, Identity identity) {
    this.table = table;
    this.gateway = gateway;
    this.clock = context.clock();
    this.budget = context.budget();
    this.identity = identity;
    bootstrap =
        new Bootstrap()
            .group(context.loop())
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS);
    for (GatewayTable.PeerSite site : table.sites()) {
      site.gateways()
          .forEach(
              address -> {
                // Negative, because ids from 0 up belong to upstream servers.
                PeerGateway peer =
                    new PeerGateway(
                        this, gateway.add(site.name()), address, -1 - byUpstream.size());
                byUpstream.put(peer.upstream, peer);
              });
    }
    peers = List.copyOf(byUpstream.values());
  }

  GatewayTable table() {
    return table;
  }

  Gateway gateway() {
    return gateway;
  }

  Bootstrap bootstrap() {
    return bootstrap;
  }

  Identity identity() {
    return identity;
  }

  long now() {
    return clock.nowNanos();
  }

  boolean mayConnect() {
    return budget.availableConnections() > 0;
  }

  /** Counts the descriptor of a channel until the channel is closed. */
  void onChannelOpened(Channel channel) {
    budget.connectionOpened();
    channel.closeFuture().addListener(closed -> budget.connectionClosed());
  }

  /**
   * Called periodically. If a call is more than a period late, the event loop was stalled, which
   * must not count against the peers.
   */
  void tick(long periodNanos) {
    long now = now();
    long late = lastTickNanos == 0 ? 0 : now - lastTickNanos - periodNanos;
    lastTickNanos = now;
    peers.forEach(peer -> peer.tick(now, late > periodNanos ? late : 0));
  }

  /** Uses a new identity from now on and replaces the connections that use the previous one. */
  void identity(Identity next) {
    identity = next;
    peers.forEach(PeerGateway::reconnect);
  }

  void close() {
    peers.forEach(PeerGateway::close);
  }

  void forEach(Consumer<PeerGateway> each) {
    peers.forEach(each);
  }

  @Override
  public Upstream chooseSite(
      RequestClass requestClass, Payload payload, long leftNanos, int earlierAttempts) {
    if (!(payload instanceof HttpPayload http) || !http.isBodyComplete()) {
      return null; // A body that is still arriving can be sent to one upstream only.
    }
    PeerLink link = gateway.choose(now(), requestClass, leftNanos, earlierAttempts);
    for (PeerGateway peer : peers) {
      if (peer.link == link) {
        return peer.upstream;
      }
    }
    return null;
  }

  @Override
  public boolean start(Attempt attempt, RequestClass requestClass, Payload payload) {
    PeerGateway peer = byUpstream.get(attempt.upstream());
    OutboundLink connection = peer.connection();
    return connection != null
        && new OutboundCall(this, peer, connection, attempt, requestClass, (HttpPayload) payload)
            .begin();
  }

  @Override
  public void onEnd(Upstream upstream, RequestClass requestClass, Outcome outcome, long tookNanos) {
    PeerGateway peer = byUpstream.get(upstream);
    peer.counters.onEnd(outcome);
    gateway.onEnded(now(), peer.link, requestClass, outcome, tookNanos);
  }

  @Override
  public void onLocalRefusal(boolean own) {
    gateway.onLocalRefusal(now(), own);
  }

  @Override
  public void onLocalAnswer(RequestClass requestClass, long tookNanos) {
    gateway.onLocalAnswer(now(), requestClass, tookNanos);
  }

  /** Drains or resumes a link or all links of a site; returns false if the name is unknown. */
  boolean drain(String name, boolean drained) {
    boolean found = false;
    for (PeerGateway peer : peers) {
      if (peer.upstream.name.equals(name.replace('/', ' ')) || peer.link.site().equals(name)) {
        gateway.drain(peer.link, drained);
        Log.info("gateway", peer.upstream.name + (drained ? " drained" : " resumed"));
        found = true;
      }
    }
    return found;
  }
}
