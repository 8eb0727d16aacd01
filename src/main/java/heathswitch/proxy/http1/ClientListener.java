package heathswitch.proxy.http1;

import static java.util.concurrent.TimeUnit.NANOSECONDS;

import heathswitch.proxy.dispatch.Dispatcher;
import heathswitch.proxy.runtime.Clock;
import heathswitch.proxy.runtime.Listeners;
import heathswitch.proxy.runtime.Log;
import heathswitch.proxy.runtime.ResourceBudget;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** Accepts client connections and keeps their number within the budget. */
public final class ClientListener {
  private static final int ACCEPT_BACKLOG = 4096;

  /**
   * Receive buffer of the sockets of clients. Fixed, since the system would let it grow to many
   * megabytes, which hide from the balancer how much of a request has been sent. Enough for 13 MB/s
   * over a round trip of 20 ms.
   */
  static final int RECEIVE_BUFFER_BYTES = 256 << 10;

  static final long TICK_NANOS = 200_000_000L;

  /** Longest read from a client at once. */
  static final int READ_BYTES = 32 << 10;

  /**
   * How long a drain or a shutdown waits for the first request on a new connection. If a connection
   * that already carried an answer is closed while a request is in flight, the client sends that
   * request again; on a new connection the request would be lost.
   */
  private static final long FIRST_REQUEST_GRACE_NANOS = 300_000_000L;

  private final EventLoop loop;
  private final Clock clock;
  final ResourceBudget budget;
  final MemoryBudget headMemory = new MemoryBudget(MemoryBudget.HEAD_BYTES);
  final MemoryBudget bodyMemory = new MemoryBudget(MemoryBudget.BODY_BYTES);
  final DecodingThrottle decodingThrottle;
  private final Set<ClientConnection> connections = new LinkedHashSet<>();

  /** Longest idle first. */
  private final Set<ClientConnection> idle = new LinkedHashSet<>();

  /** Half-closed between requests and not closed by the client yet. */
  private final Set<ClientConnection> lingering = new LinkedHashSet<>();

  /** Without any request so far, oldest first. */
  private final Set<ClientConnection> unused = new LinkedHashSet<>();

  private Dispatcher dispatcher;
  private UpstreamConnectionPool pool;
  private Channel listener;
  private boolean draining;
  private boolean keepAliveDisabled;

  /** Written on the event loop, also read by the starting thread. */
  private volatile boolean stopped;

  /** Name of a header that clients must not send, or null. */
  private String forbiddenHeader;

  public ClientListener(EventLoop loop, Clock clock, ResourceBudget budget) {
    this.loop = loop;
    this.clock = clock;
    this.budget = budget;
    this.decodingThrottle = new DecodingThrottle(loop, clock);
  }

  /**
   * Binds the address and starts accepting; fails if the address is not available. After {@link
   * #stopListening} it does not bind at all, because connections made to a listener that is closing
   * are reset. Must not be called on the event loop.
   *
   * @param reusePort whether other processes may listen on the same address, each receiving a share
   *     of the connections (SO_REUSEPORT)
   */
  public void start(
      InetSocketAddress address,
      boolean reusePort,
      Dispatcher dispatcher,
      UpstreamConnectionPool pool)
      throws InterruptedException {
    this.dispatcher = dispatcher;
    this.pool = pool;
    if (stopped) {
      return;
    }
    ServerBootstrap bootstrap =
        Listeners.bootstrap(loop, this::onAccepted)
            .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
            .option(ChannelOption.SO_RCVBUF, RECEIVE_BUFFER_BYTES);
    if (reusePort) {
      bootstrap.option(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), true);
    }
    Channel bound = bootstrap.bind(address).sync().channel();
    loop.submit(() -> onBound(bound)).sync();
    loop.scheduleAtFixedRate(this::tick, TICK_NANOS, TICK_NANOS, NANOSECONDS);
  }

  /** Closes the listener again if it was stopped while binding. */
  private void onBound(Channel bound) {
    listener = bound;
    if (stopped) {
      bound.close();
    }
  }

  /** The bound address; null if the process was told to stop before it listened. */
  public InetSocketAddress address() {
    return listener == null ? null : (InetSocketAddress) listener.localAddress();
  }

  /** Sets a header that clients must not send. To be called before the start. */
  public void forbidHeader(String header) {
    forbiddenHeader = header;
  }

  String forbiddenHeader() {
    return forbiddenHeader;
  }

  UpstreamConnectionPool pool() {
    return pool;
  }

  private void onAccepted(Channel channel) {
    StrictRequestDecoder decoder = new StrictRequestDecoder();
    ClientConnection client = new ClientConnection(this, dispatcher, clock, channel, decoder);
    channel.pipeline().addLast(decoder, new HttpResponseEncoder(), client);
    budget.connectionOpened();
    connections.add(client);
    channel.closeFuture().addListener(closed -> onClosed(client));
    // Clients may hold half of the descriptors; the rest is left for attempts at upstreams.
    if (connections.size() > budget.maxConnections() / 2) {
      evictIdle();
    }
    if (budget.availableConnections() <= 0) {
      pool.evictIdle();
    }
    unused.add(client);
    if (budget.availableConnections() <= 0) {
      // Further connections wait in the accept backlog until a descriptor is free.
      listener.config().setAutoRead(false);
    }
  }

  private void onClosed(ClientConnection client) {
    budget.connectionClosed();
    connections.remove(client);
    lingering.remove(client);
    becameBusy(client);
    resumeAccepting();
  }

  private void resumeAccepting() {
    if (listener != null && listener.isOpen() && budget.availableConnections() > 0) {
      listener.config().setAutoRead(true);
    }
  }

  public void becameIdle(ClientConnection client) {
    idle.remove(client);
    idle.add(client);
  }

  /** The connection is in a lingering close; it can be evicted at any time. */
  void lingerStarted(ClientConnection client) {
    becameBusy(client);
    lingering.add(client);
  }

  public void becameBusy(ClientConnection client) {
    if (!idle.remove(client)) {
      unused.remove(client);
    }
  }

  /**
   * Closes one client connection without an open request; false if there is none. If many
   * connections have never carried a request, these are closed first, so that hundreds of silent
   * connections do not displace returning clients. This penalizes a client that connects long
   * before its first request.
   */
  public boolean evictIdle() {
    boolean unusedFirst = unused.size() > budget.maxConnections() / 16;
    return evict(lingering)
        || (unusedFirst ? evict(unused) || evict(idle) : evict(idle) || evict(unused));
  }

  private static boolean evict(Set<ClientConnection> candidates) {
    while (!candidates.isEmpty()) {
      ClientConnection client = candidates.iterator().next();
      candidates.remove(client); // A busy one is added again when it becomes idle.
      if (client.evict()) {
        return true;
      }
    }
    return false;
  }

  public int clientCount() {
    return connections.size();
  }

  public boolean isDraining() {
    return draining;
  }

  /** Reports not ready to health checks; existing clients are still served. */
  public void startDraining() {
    draining = true;
  }

  public boolean keepAliveDisabled() {
    return keepAliveDisabled;
  }

  /** From now on answers carry Connection: close. */
  public void disableKeepAlive() {
    keepAliveDisabled = true;
  }

  /** Accepts clients again after a drain. */
  public void endDraining() {
    draining = false;
    keepAliveDisabled = false;
  }

  /** Stops accepting, after the connections that are already in the backlog. */
  public void stopListening() {
    stopped = true;
    if (listener == null) {
      return;
    }
    Listeners.closeGracefully(listener, () -> budget.availableConnections() > 0);
  }

  /** Runs a task on the event loop once the listener is closed, or at once if there is none. */
  public void whenClosed(Runnable task) {
    if (listener == null) {
      task.run();
      return;
    }
    listener.closeFuture().addListener(closed -> task.run());
  }

  /** Whether new connections can still be accepted. */
  public boolean isListening() {
    return listener != null && listener.isOpen();
  }

  /**
   * Closes the connections on which no request is being read or answered. To be called repeatedly
   * while {@link #clientCount} is not zero, because new connections are kept until the time allowed
   * for their first request is over.
   */
  public void closeIdle() {
    for (ClientConnection client : new ArrayList<>(idle)) {
      client.closeIdle();
    }
    long now = clock.nowNanos();
    for (ClientConnection client : new ArrayList<>(unused)) {
      if (client.unusedNanos(now) > FIRST_REQUEST_GRACE_NANOS) {
        client.closeIdle();
      }
    }
  }

  private void tick() {
    try {
      long now = clock.nowNanos();
      List<ClientConnection> all = new ArrayList<>(connections);
      for (ClientConnection client : all) {
        client.tick(now);
      }
      pool.closeExpired();
      resumeAccepting();
    } catch (RuntimeException e) {
      Log.error("tick", "failed", e); // An exception would cancel the periodic task.
    }
  }
}
