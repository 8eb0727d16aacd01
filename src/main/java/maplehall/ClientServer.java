package maplehall;

import static java.util.concurrent.TimeUnit.MILLISECONDS;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** Listens for clients and keeps their connections within the budget. */
final class ClientServer {
  private static final int BACKLOG = 4096;
  private static final int MOST_LINE_BYTES = 8 << 10;
  private static final int MOST_HEAD_BYTES = 32 << 10;
  private static final int MOST_CHUNK_BYTES = 64 << 10;
  private static final long TICK_MILLIS = 500;

  /** Descriptors that a new client may not take from the upstreams. */
  private static final int FOR_UPSTREAMS = 64;

  private final EventLoop loop;
  private final Clock clock;
  final Budget budget;
  private final Set<ClientHandler> clients = new LinkedHashSet<>();

  /** The client that has been idle longest first. */
  private final Set<ClientHandler> idle = new LinkedHashSet<>();

  private Dispatcher dispatcher;
  private UpstreamPool pool;
  private Channel listener;
  private boolean draining;

  ClientServer(EventLoop loop, Clock clock, Budget budget) {
    this.loop = loop;
    this.clock = clock;
    this.budget = budget;
  }

  /** Listens; fails if the address cannot be had. Must not be called on the loop. */
  void start(InetSocketAddress address, Dispatcher dispatcher, UpstreamPool pool)
      throws InterruptedException {
    this.dispatcher = dispatcher;
    this.pool = pool;
    listener =
        new ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(
                ChannelOption.WRITE_BUFFER_WATER_MARK, new WriteBufferWaterMark(32768, 131072))
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    accepted(channel);
                  }
                })
            .bind(address)
            .sync()
            .channel();
    loop.scheduleAtFixedRate(this::tick, TICK_MILLIS, TICK_MILLIS, MILLISECONDS);
  }

  InetSocketAddress address() {
    return (InetSocketAddress) listener.localAddress();
  }

  private void accepted(Channel channel) {
    ClientHandler client = new ClientHandler(this, dispatcher, clock, channel);
    channel
        .pipeline()
        .addLast(new HttpServerCodec(MOST_LINE_BYTES, MOST_HEAD_BYTES, MOST_CHUNK_BYTES), client);
    budget.opened();
    clients.add(client);
    channel.closeFuture().addListener(closed -> closed(client));
    if (budget.connectionsLeft() < FOR_UPSTREAMS && !pool.evictIdle()) {
      evictIdle();
    }
    idle.add(client);
    if (budget.connectionsLeft() <= 0) {
      // The rest wait in the backlog until a descriptor is free.
      listener.config().setAutoRead(false);
    }
  }

  private void closed(ClientHandler client) {
    budget.closed();
    clients.remove(client);
    idle.remove(client);
    resumeAccepting();
  }

  private void resumeAccepting() {
    if (listener != null && listener.isOpen() && budget.connectionsLeft() > 0) {
      listener.config().setAutoRead(true);
    }
  }

  void becameIdle(ClientHandler client) {
    idle.remove(client);
    idle.add(client);
  }

  void becameBusy(ClientHandler client) {
    idle.remove(client);
  }

  /** Closes the client connection that has been idle longest; false if none is. */
  boolean evictIdle() {
    Iterator<ClientHandler> oldest = idle.iterator();
    if (!oldest.hasNext()) {
      return false;
    }
    ClientHandler client = oldest.next();
    oldest.remove();
    client.closeIdle();
    return true;
  }

  int clients() {
    return clients.size();
  }

  boolean draining() {
    return draining;
  }

  /** From now on answers ask for the connection to be closed. */
  void drain() {
    draining = true;
  }

  /** Takes no more connections, after those that have already come. */
  void stopListening() {
    ((AbstractNioChannel.NioUnsafe) listener.unsafe()).read();
    listener.close();
  }

  /** Closes the connections on which no request is being read or answered. */
  void closeIdle() {
    for (ClientHandler client : new ArrayList<>(idle)) {
      client.closeIdle();
    }
  }

  private void tick() {
    try {
      long now = clock.nowNanos();
      List<ClientHandler> all = new ArrayList<>(clients);
      for (ClientHandler client : all) {
        client.tick(now);
      }
      pool.sweep();
      resumeAccepting();
    } catch (RuntimeException e) {
      Log.error("tick", "failed", e); // Thrown on, it would end all later ticks.
    }
  }
}
