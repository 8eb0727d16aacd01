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
 * Fault-injecting proxy for datagrams between two processes on loopback. It forwards each datagram
 * after a random delay, so that datagrams can be reordered, and can drop and duplicate them.
 * Answers of the target are returned to the sender. It runs on one event loop; its settings may be
 * changed from any thread, and its random draws come from a seed.
 */
public final class DatagramProxy implements AutoCloseable {
  /**
   * Faults injected in both directions.
   *
   * @param lossRate share of datagrams that are dropped
   * @param duplicationRate share of the other datagrams that are sent twice, each copy with its own
   *     delay
   * @param minDelayMillis minimum delay
   * @param maxDelayMillis maximum delay
   */
  public record Impairment(
      double lossRate, double duplicationRate, double minDelayMillis, double maxDelayMillis) {
    /** No loss, no duplicates and no delay. */
    public static final Impairment NONE = new Impairment(0, 0, 0, 0);
  }

  /** Limit on the number of senders; datagrams of further senders are dropped. */
  private static final int MAX_SENDERS = 64;

  private static final InetSocketAddress ANY_LOOPBACK_PORT = new InetSocketAddress("127.0.0.1", 0);

  private final EventLoop loop;
  private final InetSocketAddress target;
  private final SplittableRandom random;
  private final Map<InetSocketAddress, ChannelFuture> returnSockets = new HashMap<>();
  private volatile Impairment impairment = Impairment.NONE;
  private volatile boolean forwardMuted;
  private volatile boolean returnMuted;
  private volatile Consumer<byte[]> tap = bytes -> {};
  private Channel listener;

  /** Creates a proxy to an address on loopback. */
  public DatagramProxy(EventLoop loop, InetSocketAddress target, long seed) {
    if (!target.getAddress().isLoopbackAddress()) {
      throw new IllegalArgumentException(target + " is not on loopback");
    }
    this.loop = loop;
    this.target = target;
    this.random = new SplittableRandom(seed);
  }

  /** Receives datagrams on a free port from now on. Must not be called on the event loop. */
  public DatagramProxy start() throws InterruptedException {
    listener = bootstrap(new ForwardHandler()).bind(ANY_LOOPBACK_PORT).sync().channel();
    return this;
  }

  private Bootstrap bootstrap(SimpleChannelInboundHandler<DatagramPacket> handler) {
    return new Bootstrap().group(loop).channel(NioDatagramChannel.class).handler(handler);
  }

  public InetSocketAddress address() {
    return (InetSocketAddress) listener.localAddress();
  }

  /** Sets the faults for all datagrams received from now on. */
  public void setImpairment(Impairment next) {
    impairment = next;
  }

  /** Sets whether datagrams to the target and datagrams back from it are dropped. */
  public void setMuted(boolean forward, boolean back) {
    forwardMuted = forward;
    returnMuted = back;
  }

  /** Sets an observer that receives each datagram for the target, on the event loop. */
  public void setTap(Consumer<byte[]> observer) {
    tap = observer;
  }

  private static void logFailure(Throwable cause) {
    if (!(cause instanceof IOException)) { // Nobody listens on the port: lost, as on any network.
      Log.error("rig", "datagrams", cause);
    }
  }

  private void forward(Channel socket, ByteBuf content, InetSocketAddress receiver) {
    Impairment current = impairment;
    if (random.nextDouble() < current.lossRate()) {
      return;
    }
    int copies = random.nextDouble() < current.duplicationRate() ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      DatagramPacket packet = new DatagramPacket(content.copy(), receiver);
      double millis =
          current.minDelayMillis()
              + random.nextDouble() * (current.maxDelayMillis() - current.minDelayMillis());
      if (millis <= 0) {
        socket.writeAndFlush(packet);
      } else {
        loop.schedule(() -> socket.writeAndFlush(packet), (long) (millis * 1e6), NANOSECONDS);
      }
    }
  }

  @Override
  public void close() {
    if (listener != null) {
      listener.close().syncUninterruptibly();
      loop.submit(() -> returnSockets.values().forEach(socket -> socket.channel().close()))
          .syncUninterruptibly();
    }
  }

  /** Handles datagrams from the senders. */
  private final class ForwardHandler extends SimpleChannelInboundHandler<DatagramPacket> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
      tap.accept(ByteBufUtil.getBytes(packet.content()));
      InetSocketAddress sender = packet.sender();
      if (!returnSockets.containsKey(sender) && returnSockets.size() < MAX_SENDERS) {
        returnSockets.put(sender, bootstrap(new ReturnHandler(sender)).bind(ANY_LOOPBACK_PORT));
      }
      ChannelFuture returnSocket = returnSockets.get(sender);
      if (returnSocket != null && !forwardMuted) {
        ByteBuf content = packet.content().retain();
        returnSocket.addListener(
            bound -> {
              if (bound.isSuccess()) {
                forward(returnSocket.channel(), content, target);
              }
              content.release();
            });
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      logFailure(cause);
    }
  }

  /** Handles the answers for one sender. */
  private final class ReturnHandler extends SimpleChannelInboundHandler<DatagramPacket> {
    private final InetSocketAddress sender;

    ReturnHandler(InetSocketAddress sender) {
      this.sender = sender;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
      if (!returnMuted) {
        forward(listener, packet.content(), sender);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      logFailure(cause);
    }
  }
}
