package heathswitch.proxy.grpc;

import static java.util.concurrent.TimeUnit.SECONDS;

import heathswitch.policy.api.Settings;
import heathswitch.proxy.http2.MultiplexedConnection;
import heathswitch.proxy.runtime.Channels;
import heathswitch.proxy.runtime.Clock;
import heathswitch.proxy.runtime.ResourceBudget;
import heathswitch.proxy.spi.Attempt;
import heathswitch.proxy.spi.Transport;
import heathswitch.proxy.spi.Upstream;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;

/** HTTP/2 connections to upstreams: opened as their streams run out, closed when idle or silent. */
final class GrpcConnectionPool implements Transport {
  private final GrpcServer server;
  private final Clock clock;
  private final ResourceBudget budget;
  private final BooleanSupplier evict;
  private final long idleNanos;
  private final Bootstrap bootstrap;

  /** Those that take new streams; others end by themselves. */
  private final Map<Upstream, List<UpstreamConnection>> links = new HashMap<>();

  /** All that have not closed yet, also those that take nothing new. */
  private final Set<UpstreamConnection> alive = new HashSet<>();

  GrpcConnectionPool(
      GrpcServer server,
      EventLoop loop,
      ResourceBudget budget,
      Settings.Limits limits,
      BooleanSupplier evict) {
    this.server = server;
    this.clock = server.clock();
    this.budget = budget;
    this.evict = evict;
    this.idleNanos = limits.keepAliveNanos();
    long dialMillis = Math.max(1, limits.dialTimeoutNanos() / 1_000_000);
    this.bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.min(60_000, dialMillis));
    loop.scheduleAtFixedRate(this::tick, 1, 1, SECONDS);
  }

  /** Starts a stream; false if the upstream speaks no gRPC or no descriptor can be had. */
  boolean start(Attempt attempt, GrpcCall call) {
    Upstream upstream = attempt.upstream();
    if (upstream.grpcAddress == null) {
      return false;
    }
    UpstreamConnection link = link(upstream);
    if (link == null) {
      return false;
    }
    if (upstream.inFlight++ == 0) {
      upstream.silentSinceNanos = clock.nowNanos();
    }
    link.start(new AttemptStream(server, link, attempt, call));
    return true;
  }

  /** Another connection for a stream that its own turned out to have no room for. */
  void move(AttemptStream stream) {
    UpstreamConnection link = link(stream.upstream());
    if (link == null) {
      stream.unplaced();
    } else {
      stream.movedTo(link);
      link.start(stream);
    }
  }

  /** One with room, or a new one; null if no descriptor can be had. */
  private UpstreamConnection link(Upstream upstream) {
    for (UpstreamConnection link : links.getOrDefault(upstream, List.of())) {
      if (link.hasRoom()) {
        return link;
      }
    }
    return budget.availableConnections() > 0 || evict.getAsBoolean() ? dial(upstream) : null;
  }

  private UpstreamConnection dial(Upstream upstream) {
    UpstreamConnection link =
        MultiplexedConnection.build(
            false,
            0,
            GrpcHeaders.MOST_BYTES,
            GrpcHeaders.CHANGING,
            (decoder, encoder, settings) ->
                new UpstreamConnection(decoder, encoder, settings, this, upstream, clock));
    ChannelFuture connecting = bootstrap.clone().handler(link).connect(upstream.grpcAddress);
    if (!Channels.hasSocket(connecting.channel())) {
      return null; // As if there were no descriptor: the attempt ends and may go elsewhere.
    }
    links.computeIfAbsent(upstream, any -> new ArrayList<>(1)).add(link);
    alive.add(link);
    budget.connectionOpened();
    connecting.channel().closeFuture().addListener(closed -> budget.connectionClosed());
    link.dialing(connecting);
    return link;
  }

  void closed(UpstreamConnection link) {
    forget(link);
    alive.remove(link);
  }

  void forget(UpstreamConnection link) {
    List<UpstreamConnection> of = links.get(link.upstream());
    if (of != null && of.remove(link) && of.isEmpty()) {
      links.remove(link.upstream());
    }
  }

  /** No new stream goes to connections that the upstream had before. */
  @Override
  public void closeIdle(Upstream upstream) {
    List.copyOf(links.getOrDefault(upstream, List.of())).forEach(UpstreamConnection::goAway);
  }

  @Override
  public boolean hasConnection(Upstream upstream) {
    return links.containsKey(upstream);
  }

  private void tick() {
    long now = clock.nowNanos();
    List.copyOf(alive).forEach(link -> link.tick(now, idleNanos));
  }
}
