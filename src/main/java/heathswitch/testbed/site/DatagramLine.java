package heathswitch.testbed.site;

import static java.util.concurrent.TimeUnit.NANOSECONDS;

import heathswitch.proxy.runtime.Log;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * A way for datagrams between two processes on loopback. Each is passed on after a time drawn for
 * it, so that one may overtake another; some are lost and some come twice. What the other side
 * answers goes back to whoever sent. It lives on one event loop; its settings may be changed from
 * any thread, and its draws come from a seed.
 */
public final class DatagramLine implements AutoCloseable {
  /**
   * What becomes of datagrams in both directions.
   *
   * @param lost part of them that never comes
   * @param twice part of the others that comes a second time, with a delay of its own
   * @param fromMillis least time on the way, and {@code toMillis} the most
   */
  public record Weather(double lost, double twice, double fromMillis, double toMillis) {
    /** At once, each of them once. */
    public static final Weather FAIR = new Weather(0, 0, 0, 0);
  }

  /** Those that send by it; what another one sends is lost. */
  private static final int MOST_SENDERS = 64;

  private static final InetSocketAddress ANY = new InetSocketAddress("127.0.0.1", 0);

  private final EventLoop loop;
  private final InetSocketAddress to;
  private final SplittableRandom random;
  private final Map<InetSocketAddress, ChannelFuture> senders = new HashMap<>();
  private volatile Weather weather = Weather.FAIR;
  private volatile boolean mutedThere;
  private volatile boolean mutedBack;
  private volatile Consumer<byte[]> reader = bytes -> {};
  private Channel listener;

  /** A way to an address on loopback. */
  public DatagramLine(EventLoop loop, InetSocketAddress to, long seed) {
    if (!to.getAddress().isLoopbackAddress()) {
      throw new IllegalArgumentException(to + " is not on loopback");
    }
    this.loop = loop;
    this.to = to;
    this.random = new SplittableRandom(seed);
  }

  /** Takes datagrams at a free port from now on. Not to be called on the loop. */
  public DatagramLine start() throws InterruptedException {
    listener = socket(new There()).bind(ANY).sync().channel();
    return this;
  }

  private Bootstrap socket(SimpleChannelInboundHandler<DatagramPacket> handler) {
    return new Bootstrap().group(loop).channel(NioDatagramChannel.class).handler(handler);
  }

  public InetSocketAddress address() {
    return (InetSocketAddress) listener.localAddress();
  }

  /** What becomes of all that comes from now on. */
  public void weather(Weather next) {
    weather = next;
  }

  /** From now on all that goes there, or comes back, is lost. */
  public void mute(boolean there, boolean back) {
    mutedThere = there;
    mutedBack = back;
  }

  /** Has all that is sent there read by somebody on the way, on the loop. */
  public void tap(Consumer<byte[]> by) {
    reader = by;
  }

  private static void failed(Throwable cause) {
    if (!(cause instanceof IOException)) { // Nobody listens there: lost, as on any network.
      Log.error("rig", "datagrams", cause);
    }
  }

  private void pass(Channel by, ByteBuf content, InetSocketAddress receiver) {
    Weather now = weather;
    if (random.nextDouble() < now.lost()) {
      return;
    }
    int times = random.nextDouble() < now.twice() ? 2 : 1;
    for (int i = 0; i < times; i++) {
      DatagramPacket packet = new DatagramPacket(content.copy(), receiver);
      double millis = now.fromMillis() + random.nextDouble() * (now.toMillis() - now.fromMillis());
      if (millis <= 0) {
        by.writeAndFlush(packet);
      } else {
        loop.schedule(() -> by.writeAndFlush(packet), (long) (millis * 1e6), NANOSECONDS);
      }
    }
  }

  @Override
  public void close() {
    if (listener != null) {
      listener.close().syncUninterruptibly();
      loop.submit(() -> senders.values().forEach(by -> by.channel().close())).syncUninterruptibly();
    }
  }

  /** What comes from those that send. */
  private final class There extends SimpleChannelInboundHandler<DatagramPacket> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
      reader.accept(ByteBufUtil.getBytes(packet.content()));
      InetSocketAddress sender = packet.sender();
      if (!senders.containsKey(sender) && senders.size() < MOST_SENDERS) {
        senders.put(sender, socket(new Back(sender)).bind(ANY));
      }
      ChannelFuture by = senders.get(sender);
      if (by != null && !mutedThere) {
        ByteBuf content = packet.content().retain();
        by.addListener(
            bound -> {
              if (bound.isSuccess()) {
                pass(by.channel(), content, to);
              }
              content.release();
            });
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      failed(cause);
    }
  }

  /** What comes back for one of them. */
  private final class Back extends SimpleChannelInboundHandler<DatagramPacket> {
    private final InetSocketAddress sender;

    Back(InetSocketAddress sender) {
      this.sender = sender;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
      if (!mutedBack) {
        pass(listener, packet.content(), sender);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      failed(cause);
    }
  }
}
