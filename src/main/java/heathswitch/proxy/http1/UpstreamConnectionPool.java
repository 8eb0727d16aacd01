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

/** Pool of HTTP/1.1 connections to upstreams, with limits on idle time and descriptors. */
public final class UpstreamConnectionPool implements Transport {
  /**
   * Fraction of the configured keep-alive time for which an idle connection is kept. The upstream
   * counts from its own last byte and may close earlier than the balancer expects. A request that
   * is in flight during the close ends as a reset, and an unsafe one is then lost.
   */
  static final double KEEP_ALIVE_FRACTION = 0.6;

  /**
   * An upstream that has open attempts and has sent nothing for this long may be unreachable, which
   * idle connections never reveal. A new connection does so within the dial timeout.
   */
  static final long SILENCE_LIMIT_NANOS = 1_000_000_000L;

  /**
   * Delay before a connection carries its next request. An upstream may send a second copy of an
   * answer some milliseconds late. Nothing distinguishes the copy from the answer to a request that
   * is out by then, and from there on every answer would go to the request after its own.
   */
  static final long REUSE_DELAY_NANOS = 20_000_000L;

  private static final int DEFAULT_DIAL_TIMEOUT_MILLIS = 1000;

  /**
   * A connection that is not established after this long, or after a longer dial timeout, is given
   * up whether or not an attempt waits for it.
   */
  private static final int UNCLAIMED_DIAL_TIMEOUT_MILLIS = 2000;

  private static final int MAX_DIAL_TIMEOUT_MILLIS = 60_000;

  private final Clock clock;
  final ResourceBudget budget;
  final MemoryBudget headMemory = new MemoryBudget(MemoryBudget.HEAD_BYTES);
  final StreamMemory streamMemory = new StreamMemory();
  final DecodingThrottle decodingThrottle;
  final MemoryBudget answerMemory = new MemoryBudget(MemoryBudget.ANSWER_BYTES);
  private long keepAliveNanos;
  private final BooleanSupplier evictClient;
  private final Bootstrap bootstrap;
  private int dialTimeoutMillis;

  /** Still dialing after their attempt has ended, oldest first. */
  private final Set<UpstreamConnection> unclaimedDials = new LinkedHashSet<>();

  /** Idle connections to all upstreams, longest idle first. */
  private final Set<UpstreamConnection> idle = new LinkedHashSet<>();

  /** Newest last; the newest is the least likely to be closed by the upstream. */
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
    this.decodingThrottle = new DecodingThrottle(loop, clock);
    this.bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true);
    reload(limits);
  }

  /** Applies new limits to idle connections and to connections opened from now on. */
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

  /** How long an attempt waits for its connection. */
  int dialTimeoutMillis() {
    return dialTimeoutMillis;
  }

  /** Keeps a dialing connection whose attempt has ended, for use by another attempt. */
  void addUnclaimed(UpstreamConnection connection) {
    if (!connection.leadsToListedProcess() || keepAliveNanos <= 0) {
      connection.close();
    } else {
      unclaimedDials.add(connection);
    }
  }

  /** Starts an attempt on an idle or a new connection; false if no descriptor is available. */
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
      // Without a socket, Netty returns a failed channel that never closes.
      budget.connectionClosed();
    }
    connection.startConnecting(connectFuture, attempt, payload);
  }

  private UpstreamConnection acquireIdle(Upstream upstream) {
    for (UpstreamConnection candidate = newestReusable(upstream);
        candidate != null;
        candidate = newestReusable(upstream)) {
      remove(candidate);
      if (candidate.canBeReused(clock.nowNanos() - keepAliveNanos)) {
        return candidate;
      }
      candidate.close();
    }
    return null;
  }

  private UpstreamConnection newestIdle(Upstream upstream) {
    ArrayDeque<UpstreamConnection> connections = idleByUpstream.get(upstream);
    return connections == null ? null : connections.peekLast();
  }

  /**
   * The newest idle connection on which no more bytes of an earlier answer are expected, or null.
   */
  private UpstreamConnection newestReusable(Upstream upstream) {
    ArrayDeque<UpstreamConnection> connections = idleByUpstream.get(upstream);
    if (connections == null) {
      return null;
    }
    long now = clock.nowNanos();
    Iterator<UpstreamConnection> newestFirst = connections.descendingIterator();
    while (newestFirst.hasNext()) {
      UpstreamConnection candidate = newestFirst.next();
      if (!candidate.hadExchange() || now - candidate.idleSinceNanos() >= REUSE_DELAY_NANOS) {
        return candidate;
      }
    }
    return null;
  }

  /** Takes back a connection that can carry another exchange. */
  public void release(UpstreamConnection connection) {
    unclaimedDials.remove(connection);
    if (!connection.leadsToListedProcess() || keepAliveNanos <= 0) {
      connection.close();
    } else {
      idleByUpstream
          .computeIfAbsent(connection.upstream, any -> new ArrayDeque<>(4))
          .addLast(connection);
      idle.add(connection);
    }
  }

  /** Removes a connection from all collections, without closing it. */
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

  /** Closes the idle connections only: a dialing connection detects an unreachable machine. */
  void closeEstablished(Upstream upstream) {
    for (UpstreamConnection next = newestIdle(upstream);
        next != null;
        next = newestIdle(upstream)) {
      remove(next);
      next.close();
    }
  }

  /** Called after a restart, a new address, a drain, or silence of the upstream. */
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

  /** Closes the connections whose keep-alive time is over. */
  public void closeExpired() {
    long oldestIdleNanos = clock.nowNanos() - keepAliveNanos;
    while (!idle.isEmpty() && idle.iterator().next().idleSinceNanos() < oldestIdleNanos) {
      UpstreamConnection oldest = idle.iterator().next();
      remove(oldest);
      oldest.close();
    }
  }

  /**
   * Closes a dialing connection without an attempt, or else the longest idle one, to free its
   * descriptor; false if there is none.
   */
  public boolean evictIdle() {
    Set<UpstreamConnection> candidates = unclaimedDials.isEmpty() ? idle : unclaimedDials;
    if (candidates.isEmpty()) {
      return false;
    }
    candidates.iterator().next().close();
    return true;
  }

  public int idleConnectionCount() {
    return idle.size();
  }
}
