package heathswitch.proxy.http1;

import heathswitch.policy.api.Settings;
import heathswitch.proxy.runtime.Channels;
import heathswitch.proxy.runtime.Clock;
import heathswitch.proxy.runtime.ResourceBudget;
import heathswitch.proxy.spi.Attempt;
import heathswitch.proxy.spi.Transport;
import heathswitch.proxy.spi.Upstream;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;

/** Connections to upstreams: opens them, keeps idle ones for a while, and closes them in time. */
public final class UpstreamConnectionPool implements Transport {
  /**
   * Part of the stated idle time for which a connection is kept. An upstream counts from its own
   * last byte and may close earlier; a request that crosses the closing ends as a reset, and an
   * unsafe one is then lost.
   */
  static final double KEEP_ALIVE_FRACTION = 0.6;

  /**
   * An upstream that owes an answer and has said nothing for so long may be cut off, which its idle
   * connections would never show. A new connection tells within the time allowed for connecting.
   */
  static final long SILENCE_LIMIT_NANOS = 1_000_000_000L;

  /**
   * Where some answers bring more than belongs to them, the more may come a moment after its
   * answer, and would be taken for that of the next request on its connection. So for a while after
   * any was seen a connection rests before it is used again. Where none is seen nothing waits.
   */
  static final long REUSE_DELAY_NANOS = 20_000_000L;

  private static final long REUSE_DELAY_PERIOD_NANOS = 60_000_000_000L;

  private static final int DEFAULT_DIAL_TIMEOUT_MILLIS = 1000;

  /** A connection that has not come up after so long is given up, whether anybody waits or not. */
  private static final int UNCLAIMED_DIAL_TIMEOUT_MILLIS = 2000;

  private static final int MAX_DIAL_TIMEOUT_MILLIS = 60_000;

  private final Clock clock;
  final ResourceBudget budget;
  private long keepAliveNanos;
  private final BooleanSupplier evictClient;
  private final Bootstrap bootstrap;
  private int dialTimeoutMillis;

  /** Those that nobody waits for and that may still come up, oldest first. */
  private final Set<UpstreamConnection> unclaimedDials = new LinkedHashSet<>();

  private long excessBytesSeenNanos = Long.MIN_VALUE / 2;

  /** Of all upstreams, the one that has been idle longest first. */
  private final Set<UpstreamConnection> idle = new LinkedHashSet<>();

  /** Newest last: the newest is the least likely to be closed by the other side. */
  private final Map<Upstream, ArrayDeque<UpstreamConnection>> idleByUpstream = new HashMap<>();

  public UpstreamConnectionPool(
      EventLoop loop,
      Clock clock,
      ResourceBudget budget,
      Settings.Limits limits,
      BooleanSupplier evictClient) {
    this.evictClient = evictClient;
    this.clock = clock;
    this.budget = budget;
    this.bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true);
    reload(limits);
  }

  /** Other limits, for idle connections and for those that are opened from now on. */
  public final void reload(Settings.Limits limits) {
    keepAliveNanos = (long) (limits.keepAliveNanos() * KEEP_ALIVE_FRACTION);
    long configuredMillis = limits.dialTimeoutNanos() / 1_000_000;
    this.dialTimeoutMillis =
        configuredMillis > 0
            ? (int) Math.min(configuredMillis, MAX_DIAL_TIMEOUT_MILLIS)
            : DEFAULT_DIAL_TIMEOUT_MILLIS;
    bootstrap.option(
        ChannelOption.CONNECT_TIMEOUT_MILLIS,
        Math.max(this.dialTimeoutMillis, UNCLAIMED_DIAL_TIMEOUT_MILLIS));
  }

  /** For which an attempt waits for its connection. */
  int dialTimeoutMillis() {
    return dialTimeoutMillis;
  }

  /** Its attempt waits no longer, or has gone; it may still come up and be of use to another. */
  void addUnclaimed(UpstreamConnection connection) {
    if (connection.upstream.outOfService || keepAliveNanos <= 0) {
      connection.close();
    } else {
      unclaimedDials.add(connection);
    }
  }

  /** Starts an attempt on an idle connection or a new one; false if no descriptor can be had. */
  boolean start(Attempt attempt, HttpPayload payload) {
    Upstream upstream = attempt.upstream();
    if (upstream.address == null) {
      return false;
    }
    if (upstream.inFlight++ == 0) {
      upstream.silentSinceNanos = clock.nowNanos();
    } else if (clock.nowNanos() - upstream.silentSinceNanos > SILENCE_LIMIT_NANOS) {
      closeEstablished(upstream);
    }
    UpstreamConnection reused = acquireIdle(upstream);
    if (reused != null) {
      reused.startExchange(attempt, payload);
      return true;
    }
    if (budget.availableConnections() <= 0 && !evictIdle() && !evictClient.getAsBoolean()) {
      upstream.inFlight--;
      return false;
    }
    dial(attempt, payload);
    return true;
  }

  private void dial(Attempt attempt, HttpPayload payload) {
    UpstreamConnection connection = new UpstreamConnection(this, clock, attempt.upstream());
    budget.connectionOpened();
    ChannelFuture connectFuture =
        bootstrap
            .clone()
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    channel
                        .pipeline()
                        .addLast(connection.decoder, new HttpRequestEncoder(), connection);
                  }
                })
            .connect(attempt.upstream().address);
    if (Channels.hasSocket(connectFuture.channel())) {
      connectFuture.channel().closeFuture().addListener(closed -> budget.connectionClosed());
    } else {
      budget.connectionClosed(); // No socket could be made; the channel is a stand-in that never
      // closes.
    }
    connection.startConnecting(connectFuture, attempt, payload);
  }

  private UpstreamConnection acquireIdle(Upstream upstream) {
    for (UpstreamConnection next = newestReusable(upstream);
        next != null;
        next = newestReusable(upstream)) {
      remove(next);
      if (next.canBeReused(clock.nowNanos() - keepAliveNanos)) {
        return next;
      }
      next.close();
    }
    return null;
  }

  private UpstreamConnection newestIdle(Upstream upstream) {
    ArrayDeque<UpstreamConnection> connections = idleByUpstream.get(upstream);
    return connections == null ? null : connections.peekLast();
  }

  /** The newest on which nothing more of its last answer is to be expected. */
  private UpstreamConnection newestReusable(Upstream upstream) {
    ArrayDeque<UpstreamConnection> connections = idleByUpstream.get(upstream);
    if (connections == null) {
      return null;
    }
    long now = clock.nowNanos();
    boolean delayReuse = now - excessBytesSeenNanos < REUSE_DELAY_PERIOD_NANOS;
    Iterator<UpstreamConnection> newestFirst = connections.descendingIterator();
    while (newestFirst.hasNext()) {
      UpstreamConnection next = newestFirst.next();
      if (!delayReuse || now - next.idleSinceNanos() >= REUSE_DELAY_NANOS) {
        return next;
      }
    }
    return null;
  }

  /** An upstream has sent more than belongs to its answer. */
  void recordExcessBytes() {
    excessBytesSeenNanos = clock.nowNanos();
  }

  /** An exchange has ended well and its connection can carry another. */
  public void release(UpstreamConnection connection) {
    unclaimedDials.remove(connection);
    if (connection.upstream.outOfService || keepAliveNanos <= 0) {
      connection.close();
    } else {
      idleByUpstream
          .computeIfAbsent(connection.upstream, any -> new ArrayDeque<>(4))
          .addLast(connection);
      idle.add(connection);
    }
  }

  public void remove(UpstreamConnection connection) {
    unclaimedDials.remove(connection);
    if (idle.remove(connection)) {
      ArrayDeque<UpstreamConnection> connections = idleByUpstream.get(connection.upstream);
      if (connections.peekLast() == connection) {
        connections.pollLast();
      } else {
        connections.remove(connection);
      }
      if (connections.isEmpty() && connection.upstream.removed) {
        idleByUpstream.remove(connection.upstream);
      }
    }
  }

  /** A connection that still comes up will tell by itself; an idle one would not. */
  void closeEstablished(Upstream upstream) {
    for (UpstreamConnection next = newestIdle(upstream);
        next != null;
        next = newestIdle(upstream)) {
      remove(next);
      next.close();
    }
  }

  /** After a restart, a new address, a drain, or silence. */
  @Override
  public void closeIdle(Upstream upstream) {
    closeEstablished(upstream);
    for (UpstreamConnection connection : new ArrayList<>(unclaimedDials)) {
      if (connection.upstream == upstream) {
        connection.close();
      }
    }
    if (upstream.removed) {
      idleByUpstream.remove(upstream);
    }
  }

  @Override
  public boolean hasConnection(Upstream upstream) {
    return newestIdle(upstream) != null;
  }

  /** Closes the connections that have stood idle for long. */
  public void closeExpired() {
    long before = clock.nowNanos() - keepAliveNanos;
    while (!idle.isEmpty() && idle.iterator().next().idleSinceNanos() < before) {
      UpstreamConnection oldest = idle.iterator().next();
      remove(oldest);
      oldest.close();
    }
  }

  /** Closes the connection that has been idle longest, for its descriptor; false if none is. */
  public boolean evictIdle() {
    Set<UpstreamConnection> from = unclaimedDials.isEmpty() ? idle : unclaimedDials;
    if (from.isEmpty()) {
      return false;
    }
    from.iterator().next().close();
    return true;
  }

  public int idleConnectionCount() {
    return idle.size();
  }
}
