package heathswitch.proxy.http1;

import static java.util.concurrent.TimeUnit.MILLISECONDS;

import heathswitch.proxy.dispatch.Dispatcher;
import heathswitch.proxy.runtime.Clock;
import heathswitch.proxy.runtime.Listeners;
import heathswitch.proxy.runtime.Log;
import heathswitch.proxy.runtime.ResourceBudget;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** Listens for clients and keeps their connections within the budget. */
public final class ClientListener {
  private static final int ACCEPT_BACKLOG = 4096;
  private static final long TICK_MILLIS = 200;

  /**
   * The first request on a new connection may come so long after the connection. A request that
   * crosses the end of a connection on which another was answered is sent again by its client; one
   * that crosses the end of a new connection is lost.
   */
  private static final long FIRST_REQUEST_GRACE_NANOS = 300_000_000L;

  private final EventLoop loop;
  private final Clock clock;
  final ResourceBudget budget;
  private final Set<ClientConnection> connections = new LinkedHashSet<>();

  /** The client that has been idle longest first. */
  private final Set<ClientConnection> idle = new LinkedHashSet<>();

  /** Ended between requests, but not closed by their clients yet. */
  private final Set<ClientConnection> lingering = new LinkedHashSet<>();

  /** Those that have not asked for anything yet, oldest first. */
  private final Set<ClientConnection> unused = new LinkedHashSet<>();

  private Dispatcher dispatcher;
  private UpstreamConnectionPool pool;
  private Channel listener;
  private boolean draining;
  private boolean keepAliveDisabled;

  /** Set on the loop; read by the thread that starts, too. */
  private volatile boolean stopped;

  /** A header that no client may send, or null. */
  private String forbiddenHeader;

  public ClientListener(EventLoop loop, Clock clock, ResourceBudget budget) {
    this.loop = loop;
    this.clock = clock;
    this.budget = budget;
  }

  /**
   * Listens; fails if the address cannot be had. A server that was stopped before does not listen
   * at all: a connection that is made to a listener while it closes would be reset. Must not be
   * called on the loop.
   *
   * @param shared whether another process may listen at the same address, and each gets a part of
   *     the connections (SO_REUSEPORT)
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
            .childOption(
                ChannelOption.WRITE_BUFFER_WATER_MARK, new WriteBufferWaterMark(16384, 65536));
    if (reusePort) {
      bootstrap.option(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), true);
    }
    Channel bound = bootstrap.bind(address).sync().channel();
    loop.submit(() -> onBound(bound)).sync();
    loop.scheduleAtFixedRate(this::tick, TICK_MILLIS, TICK_MILLIS, MILLISECONDS);
  }

  /** Told to end while the address was bound: nobody is taken. */
  private void onBound(Channel bound) {
    listener = bound;
    if (stopped) {
      bound.close();
    }
  }

  /** Where clients connect; null where the process was told to end before it listened. */
  public InetSocketAddress address() {
    return listener == null ? null : (InetSocketAddress) listener.localAddress();
  }

  /** A header that no client may send; before the start. */
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
    // Clients may hold half of the descriptors; the rest is for the attempts of their requests.
    if (connections.size() > budget.maxConnections() / 2) {
      evictIdle();
    }
    if (budget.availableConnections() <= 0) {
      pool.evictIdle();
    }
    unused.add(client);
    if (budget.availableConnections() <= 0) {
      // The rest wait in the backlog until a descriptor is free.
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

  /** Its end has been told to its client; its descriptor may be had at once. */
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
   * Closes a client connection on which nothing is asked; false if there is none. Those that never
   * asked go first while they are many: hundreds that connect and say nothing must not push out the
   * clients that come back. Would do harm to a client that connects long before it asks.
   */
  public boolean evictIdle() {
    boolean unusedFirst = unused.size() > budget.maxConnections() / 16;
    return evict(lingering)
        || (unusedFirst ? evict(unused) || evict(idle) : evict(idle) || evict(unused));
  }

  private static boolean evict(Set<ClientConnection> from) {
    while (!from.isEmpty()) {
      ClientConnection client = from.iterator().next();
      from.remove(client); // One that proves busy is told of again when it has been answered.
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

  /** Not ready for new clients any more; those that are here are served. */
  public void startDraining() {
    draining = true;
  }

  public boolean keepAliveDisabled() {
    return keepAliveDisabled;
  }

  /** From now on answers ask for the connection to be closed. */
  public void disableKeepAlive() {
    keepAliveDisabled = true;
  }

  /** Takes clients again after a drain. */
  public void endDraining() {
    draining = false;
    keepAliveDisabled = false;
  }

  /** Takes no more connections, after those that have already come. */
  public void stopListening() {
    stopped = true;
    if (listener == null) {
      return;
    }
    Listeners.closeGracefully(listener, () -> budget.availableConnections() > 0);
  }

  /** Whether connections may still come. */
  public boolean isListening() {
    return listener != null && listener.isOpen();
  }

  /**
   * Closes the connections on which no request is being read or answered. To be called again while
   * there are {@link #clientCount}: one that has just come is left for as long as its first request
   * may take.
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
      Log.error("tick", "failed", e); // Thrown on, it would end all later ticks.
    }
  }
}
