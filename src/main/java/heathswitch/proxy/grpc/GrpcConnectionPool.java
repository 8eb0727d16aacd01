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

/**
 * The HTTP/2 connections to gRPC upstreams. Another connection is opened when the streams of the
 * existing ones are used up; connections are closed when they are idle or unresponsive.
 */
final class GrpcConnectionPool implements Transport {
  private final GrpcServer server;
  private final Clock clock;
  private final ResourceBudget budget;
  private final BooleanSupplier evictIdle;
  private final long idleNanos;
  private final Bootstrap bootstrap;

  /** The connections that accept new streams; others close after their last stream. */
  private final Map<Upstream, List<GrpcUpstreamConnection>> available = new HashMap<>();

  /** All connections that are not closed yet, including those that accept no new streams. */
  private final Set<GrpcUpstreamConnection> openConnections = new HashSet<>();

  GrpcConnectionPool(
      GrpcServer server,
      EventLoop loop,
      ResourceBudget budget,
      Settings.Limits limits,
      BooleanSupplier evictIdle) {
    this.server = server;
    this.clock = server.clock();
    this.budget = budget;
    this.evictIdle = evictIdle;
    this.idleNanos = limits.keepAliveNanos();
    long connectTimeoutMillis = Math.max(1, limits.dialTimeoutNanos() / 1_000_000);
    this.bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(
                ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.min(60_000, connectTimeoutMillis));
    loop.scheduleAtFixedRate(this::checkTimeouts, 1, 1, SECONDS);
  }

  /**
   * Starts an attempt. Returns false if the upstream has no gRPC address or no descriptor is free.
   */
  boolean start(Attempt attempt, GrpcCall call) {
    Upstream upstream = attempt.upstream();
    if (upstream.grpcAddress == null) {
      return false;
    }
    GrpcUpstreamConnection connection = acquire(upstream);
    if (connection == null) {
      return false;
    }
    if (upstream.inFlight++ == 0) {
      upstream.silentSinceNanos = clock.nowNanos();
    }
    connection.start(new AttemptStream(server, connection, attempt, call));
    return true;
  }

  /** Moves a stream for which its connection turned out to have no room to another connection. */
  void reassign(AttemptStream stream) {
    GrpcUpstreamConnection connection = acquire(stream.upstream());
    if (connection == null) {
      stream.onNoConnection();
    } else {
      stream.moveTo(connection);
      connection.start(stream);
    }
  }

  /** Returns a connection with room for a stream, or a new one; null if no descriptor is free. */
  private GrpcUpstreamConnection acquire(Upstream upstream) {
    for (GrpcUpstreamConnection connection : available.getOrDefault(upstream, List.of())) {
      if (connection.hasRoom()) {
        return connection;
      }
    }
    return budget.availableConnections() > 0 || evictIdle.getAsBoolean() ? connect(upstream) : null;
  }

  private GrpcUpstreamConnection connect(Upstream upstream) {
    GrpcUpstreamConnection connection =
        MultiplexedConnection.build(
            false,
            0,
            GrpcHeaders.MAX_HEADER_BYTES,
            GrpcHeaders.NEVER_INDEXED,
            (decoder, encoder, settings) ->
                new GrpcUpstreamConnection(decoder, encoder, settings, this, upstream, clock));
    ChannelFuture connecting = bootstrap.clone().handler(connection).connect(upstream.grpcAddress);
    if (!Channels.hasSocket(connecting.channel())) {
      // Handled like a lack of descriptors: the attempt ends and may be made elsewhere.
      return null;
    }
    available.computeIfAbsent(upstream, any -> new ArrayList<>(1)).add(connection);
    openConnections.add(connection);
    budget.connectionOpened();
    connecting.channel().closeFuture().addListener(closed -> budget.connectionClosed());
    connection.onConnecting(connecting);
    return connection;
  }

  void onClosed(GrpcUpstreamConnection connection) {
    remove(connection);
    openConnections.remove(connection);
  }

  void remove(GrpcUpstreamConnection connection) {
    List<GrpcUpstreamConnection> candidates = available.get(connection.upstream());
    if (candidates != null && candidates.remove(connection) && candidates.isEmpty()) {
      available.remove(connection.upstream());
    }
  }

  /** Starts no new streams on the current connections of the upstream. */
  @Override
  public void closeIdle(Upstream upstream) {
    List.copyOf(available.getOrDefault(upstream, List.of()))
        .forEach(GrpcUpstreamConnection::stopNewStreams);
  }

  @Override
  public boolean hasConnection(Upstream upstream) {
    return available.containsKey(upstream);
  }

  private void checkTimeouts() {
    long nowNanos = clock.nowNanos();
    List.copyOf(openConnections)
        .forEach(connection -> connection.checkTimeouts(nowNanos, idleNanos));
  }
}
