package heathswitch.testbed.site;

import static java.util.concurrent.TimeUnit.NANOSECONDS;

import heathswitch.proxy.runtime.Listeners;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Supplier;

/**
 * Fault-injecting TCP proxy between two sites on loopback. It forwards each piece of data in order
 * after a random delay. The delay can be changed, all data of one direction can be dropped, and
 * connections can be broken. It runs on one event loop; its settings may be changed from any
 * thread.
 */
public final class DelayProxy implements AutoCloseable {
  private final EventLoop loop;
  private final Supplier<InetSocketAddress> target;
  private final SplittableRandom random;
  private final Set<Channel> openChannels = new HashSet<>();
  private volatile double minDelayMillis;
  private volatile double maxDelayMillis;
  private volatile boolean forwardMuted;
  private volatile boolean returnMuted;
  private volatile boolean cut;
  private Channel listener;

  /** Creates a proxy to an address, with one-way delays between two bounds. */
  public DelayProxy(
      EventLoop loop,
      InetSocketAddress target,
      double minDelayMillis,
      double maxDelayMillis,
      long seed) {
    this(loop, () -> target, minDelayMillis, maxDelayMillis, seed);
  }

  /**
   * Creates a proxy to an address that is looked up for each connection; null while there is none.
   */
  public DelayProxy(
      EventLoop loop,
      Supplier<InetSocketAddress> target,
      double minDelayMillis,
      double maxDelayMillis,
      long seed) {
    this.loop = loop;
    this.target = target;
    this.minDelayMillis = minDelayMillis;
    this.maxDelayMillis = maxDelayMillis;
    this.random = new SplittableRandom(seed);
  }

  /** Listens on a free loopback port. Must not be called on the event loop. */
  public DelayProxy start() throws InterruptedException {
    listener =
        Listeners.bootstrap(loop, this::connectToTarget)
            .childOption(ChannelOption.AUTO_READ, false)
            .bind(new InetSocketAddress("127.0.0.1", 0))
            .sync()
            .channel();
    return this;
  }

  public InetSocketAddress address() {
    return (InetSocketAddress) listener.localAddress();
  }

  /** Sets the delay bounds for data received from now on. */
  public void setDelay(double minMillis, double maxMillis) {
    minDelayMillis = minMillis;
    maxDelayMillis = maxMillis;
  }

  /** Sets whether data to the target and data back from it is silently dropped. */
  public void setMuted(boolean forward, boolean back) {
    forwardMuted = forward;
    returnMuted = back;
  }

  /** Sets whether all existing and new connections are reset. */
  public void setCut(boolean enabled) {
    cut = enabled;
    if (enabled) {
      resetConnections();
    }
  }

  /** Resets all existing connections; new ones are forwarded. */
  public void resetConnections() {
    loop.submit(() -> Set.copyOf(openChannels).forEach(DelayProxy::reset)).syncUninterruptibly();
  }

  private void connectToTarget(Channel client) {
    InetSocketAddress address = cut ? null : target.get();
    if (address == null || !address.getAddress().isLoopbackAddress()) {
      reset(client);
      return;
    }
    Direction forward = new Direction(true);
    Direction back = new Direction(false);
    client.pipeline().addLast(forward);
    Channel server =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .handler(back)
            .connect(address)
            .addListener(
                done -> {
                  if (done.isSuccess()) {
                    client.config().setAutoRead(true);
                  } else {
                    reset(client);
                  }
                })
            .channel();
    forward.out = server;
    back.out = client;
    server.closeFuture().addListener(closed -> forward.releasePending());
    client.closeFuture().addListener(closed -> back.releasePending());
    closeTogether(client, server);
    closeTogether(server, client);
  }

  private void closeTogether(Channel one, Channel other) {
    openChannels.add(one);
    one.closeFuture()
        .addListener(
            closed -> {
              openChannels.remove(one);
              other.close();
            });
  }

  private static void reset(Channel channel) {
    if (channel instanceof SocketChannel socket && socket.isOpen()) {
      socket.config().setSoLinger(0);
    }
    channel.close();
  }

  @Override
  public void close() {
    if (listener != null) {
      listener.close().syncUninterruptibly();
      resetConnections();
    }
  }

  /** One direction of a connection. */
  private final class Direction extends ChannelInboundHandlerAdapter {
    private final boolean isForward;
    private final ArrayDeque<ByteBuf> pending = new ArrayDeque<>();
    private Channel out;
    private long dueNanos;

    Direction(boolean isForward) {
      this.isForward = isForward;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      if ((isForward ? forwardMuted : returnMuted) || !out.isOpen()) {
        ReferenceCountUtil.release(message);
        return;
      }
      double millis = minDelayMillis + random.nextDouble() * (maxDelayMillis - minDelayMillis);
      long now = System.nanoTime();
      dueNanos = Math.max(dueNanos, now + (long) (millis * 1e6));
      pending.add((ByteBuf) message);
      // Timers with equal due times may fire in any order, so each sends the oldest piece.
      loop.schedule(this::writeNext, dueNanos - now, NANOSECONDS);
    }

    private void writeNext() {
      ByteBuf piece = pending.poll();
      if (piece != null) {
        out.writeAndFlush(piece);
      }
    }

    /**
     * Releases the pieces, as the channel is closed and the loop may end before their timers fire.
     */
    private void releasePending() {
      while (!pending.isEmpty()) {
        pending.poll().release();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
