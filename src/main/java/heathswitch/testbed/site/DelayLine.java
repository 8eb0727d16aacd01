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
 * A way between two sites on loopback: what comes is passed on after a time that is drawn for each
 * piece, in order. It can be made slower, lose all that goes in one direction, or break. It lives
 * on one event loop; its settings may be changed from any thread.
 */
public final class DelayLine implements AutoCloseable {
  private final EventLoop loop;
  private final Supplier<InetSocketAddress> to;
  private final SplittableRandom random;
  private final Set<Channel> open = new HashSet<>();
  private volatile double fromMillis;
  private volatile double toMillis;
  private volatile boolean mutedThere;
  private volatile boolean mutedBack;
  private volatile boolean cut;
  private Channel listener;

  /** A way to an address, with delays of one direction between two bounds. */
  public DelayLine(
      EventLoop loop, InetSocketAddress to, double fromMillis, double toMillis, long seed) {
    this(loop, () -> to, fromMillis, toMillis, seed);
  }

  /** To an address that is asked for with each connection; null while there is none. */
  public DelayLine(
      EventLoop loop,
      Supplier<InetSocketAddress> to,
      double fromMillis,
      double toMillis,
      long seed) {
    this.loop = loop;
    this.to = to;
    this.fromMillis = fromMillis;
    this.toMillis = toMillis;
    this.random = new SplittableRandom(seed);
  }

  /** Listens on a loopback address; port 0 takes a free one. Not to be called on the loop. */
  public DelayLine start() throws InterruptedException {
    listener =
        Listeners.bootstrap(loop, this::accepted)
            .childOption(ChannelOption.AUTO_READ, false)
            .bind(new InetSocketAddress("127.0.0.1", 0))
            .sync()
            .channel();
    return this;
  }

  public InetSocketAddress address() {
    return (InetSocketAddress) listener.localAddress();
  }

  /** New bounds for what comes from now on. */
  public void delay(double from, double until) {
    fromMillis = from;
    toMillis = until;
  }

  /** From now on all that goes there, or comes back, is lost without a word. */
  public void mute(boolean there, boolean back) {
    mutedThere = there;
    mutedBack = back;
  }

  /** Breaks all connections, and new ones as they come, until it is mended. */
  public void cut(boolean broken) {
    cut = broken;
    if (broken) {
      breakAll();
    }
  }

  /** Breaks all connections; new ones are served. */
  public void breakAll() {
    loop.submit(() -> Set.copyOf(open).forEach(DelayLine::reset)).syncUninterruptibly();
  }

  private void accepted(Channel near) {
    InetSocketAddress target = cut ? null : to.get();
    if (target == null || !target.getAddress().isLoopbackAddress()) {
      reset(near);
      return;
    }
    Way there = new Way(true);
    Way back = new Way(false);
    near.pipeline().addLast(there);
    Channel far =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .handler(back)
            .connect(target)
            .addListener(
                done -> {
                  if (done.isSuccess()) {
                    near.config().setAutoRead(true);
                  } else {
                    reset(near);
                  }
                })
            .channel();
    there.out = far;
    back.out = near;
    far.closeFuture().addListener(closed -> there.drop());
    near.closeFuture().addListener(closed -> back.drop());
    follow(near, far);
    follow(far, near);
  }

  private void follow(Channel one, Channel other) {
    open.add(one);
    one.closeFuture()
        .addListener(
            closed -> {
              open.remove(one);
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
      breakAll();
    }
  }

  /** One direction of one connection. */
  private final class Way extends ChannelInboundHandlerAdapter {
    private final boolean there;
    private final ArrayDeque<ByteBuf> pieces = new ArrayDeque<>();
    private Channel out;
    private long dueNanos;

    Way(boolean there) {
      this.there = there;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      if ((there ? mutedThere : mutedBack) || !out.isOpen()) {
        ReferenceCountUtil.release(message);
        return;
      }
      double millis = fromMillis + random.nextDouble() * (toMillis - fromMillis);
      long now = System.nanoTime();
      dueNanos = Math.max(dueNanos, now + (long) (millis * 1e6));
      pieces.add((ByteBuf) message);
      // Two timers of one time may come in either order: each takes what came first.
      loop.schedule(this::passOne, dueNanos - now, NANOSECONDS);
    }

    private void passOne() {
      ByteBuf piece = pieces.poll();
      if (piece != null) {
        out.writeAndFlush(piece);
      }
    }

    /** Nobody takes them any more, and the loop may end before their timers come due. */
    private void drop() {
      while (!pieces.isEmpty()) {
        pieces.poll().release();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
