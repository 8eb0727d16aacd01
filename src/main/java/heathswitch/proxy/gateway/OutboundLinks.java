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

/** The links to other sites, and the calls that go over them. */
final class OutboundLinks implements OverflowRouter {
  private static final int CONNECT_MILLIS = 1000;

  private final GatewayTable table;
  private final Gateway gateway;
  private final Clock clock;
  private final ResourceBudget budget;
  private final Bootstrap bootstrap;
  private final Map<Upstream, PeerGateway> byPlace = new LinkedHashMap<>();
  private final List<PeerGateway> all;
  private Identity identity;
  private long lastTickNanos;

  OutboundLinks(
      GatewayTable table, Gateway gateway, ProtocolListener.Context parts, Identity identity) {
    this.table = table;
    this.gateway = gateway;
    this.clock = parts.clock();
    this.budget = parts.budget();
    this.identity = identity;
    bootstrap =
        new Bootstrap()
            .group(parts.loop())
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS);
    for (GatewayTable.PeerSite site : table.sites()) {
      site.gateways()
          .forEach(
              address -> {
                // Below zero: the numbers above are of upstreams.
                PeerGateway far =
                    new PeerGateway(this, gateway.add(site.name()), address, -1 - byPlace.size());
                byPlace.put(far.place, far);
              });
    }
    all = List.copyOf(byPlace.values());
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

  boolean mayOpen() {
    return budget.availableConnections() > 0;
  }

  /** Counts a descriptor until its channel closes. */
  void opened(Channel channel) {
    budget.connectionOpened();
    channel.closeFuture().addListener(closed -> budget.connectionClosed());
  }

  /** To be called every so often; what comes much later was held up, and its links with it. */
  void tick(long periodNanos) {
    long now = now();
    long late = lastTickNanos == 0 ? 0 : now - lastTickNanos - periodNanos;
    lastTickNanos = now;
    all.forEach(far -> far.tick(now, late > periodNanos ? late : 0));
  }

  /** From now on this is shown; links that have the earlier one are replaced. */
  void identity(Identity next) {
    identity = next;
    all.forEach(PeerGateway::renew);
  }

  void close() {
    all.forEach(PeerGateway::close);
  }

  void forEach(Consumer<PeerGateway> each) {
    all.forEach(each);
  }

  @Override
  public Upstream chooseSite(RequestClass type, Payload payload, long leftNanos, int tries) {
    if (!(payload instanceof HttpPayload http) || !http.isBodyComplete()) {
      return null; // What still comes can be sent to one place only.
    }
    PeerLink link = gateway.choose(now(), type, leftNanos, tries);
    for (PeerGateway far : all) {
      if (far.state == link) {
        return far.place;
      }
    }
    return null;
  }

  @Override
  public boolean start(Attempt attempt, RequestClass type, Payload payload) {
    PeerGateway far = byPlace.get(attempt.upstream());
    OutboundLink link = far.link();
    return link != null
        && new OutboundCall(this, far, link, attempt, type, (HttpPayload) payload).begin();
  }

  @Override
  public void onEnd(Upstream at, RequestClass type, Outcome outcome, long tookNanos) {
    PeerGateway far = byPlace.get(at);
    far.counts.ended(outcome);
    gateway.onEnded(now(), far.state, type, outcome, tookNanos);
  }

  @Override
  public void onLocalRefusal(boolean own) {
    gateway.onLocalRefusal(now(), own);
  }

  @Override
  public void onLocalAnswer(RequestClass type, long tookNanos) {
    gateway.onLocalAnswer(now(), type, tookNanos);
  }

  /** A link is taken out or put back; false if there is none of the name. */
  boolean drain(String name, boolean out) {
    boolean found = false;
    for (PeerGateway far : all) {
      if (far.place.name.equals(name.replace('/', ' ')) || far.state.site().equals(name)) {
        gateway.drain(far.state, out);
        Log.info("gateway", far.place.name + (out ? " drained" : " in use again"));
        found = true;
      }
    }
    return found;
  }
}
