package heathswitch.proxy.grpc;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http2.DefaultHttp2DataFrame;
import io.netty.handler.codec.http2.DefaultHttp2GoAwayFrame;
import io.netty.handler.codec.http2.DefaultHttp2Headers;
import io.netty.handler.codec.http2.DefaultHttp2HeadersFrame;
import io.netty.handler.codec.http2.DefaultHttp2ResetFrame;
import io.netty.handler.codec.http2.Http2DataFrame;
import io.netty.handler.codec.http2.Http2Error;
import io.netty.handler.codec.http2.Http2FrameCodecBuilder;
import io.netty.handler.codec.http2.Http2Headers;
import io.netty.handler.codec.http2.Http2HeadersFrame;
import io.netty.handler.codec.http2.Http2MultiplexHandler;
import io.netty.handler.codec.http2.Http2PingFrame;
import io.netty.handler.codec.http2.Http2ResetFrame;
import io.netty.handler.codec.http2.Http2Settings;
import io.netty.util.ReferenceCountUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** An HTTP/2 server that does what no library would: the test holds and ends each stream. */
final class RawHttp2Server implements AutoCloseable {
  /** One call that has come, whole or not. */
  final class Call {
    final ChannelHandlerContext ctx;
    final Http2Headers headers;
    final AtomicInteger bytes = new AtomicInteger();
    volatile boolean whole;
    volatile boolean over;

    Call(ChannelHandlerContext ctx, Http2Headers headers) {
      this.ctx = ctx;
      this.headers = headers;
    }

    void reset(Http2Error error) {
      over = true;
      ctx.writeAndFlush(new DefaultHttp2ResetFrame(error));
    }

    void answer(String status) {
      over = true;
      ctx.write(new DefaultHttp2HeadersFrame(head(), false));
      ctx.write(
          new DefaultHttp2DataFrame(
              ctx.alloc().buffer().writeBytes(new byte[] {0, 0, 0, 0, 1, 0})));
      ctx.writeAndFlush(
          new DefaultHttp2HeadersFrame(
              status == null
                  ? new DefaultHttp2Headers()
                  : new DefaultHttp2Headers().set("grpc-status", status),
              true));
    }

    /** An answer of something that speaks HTTP and no gRPC. */
    void foreign(String status) {
      over = true;
      Http2Headers head = new DefaultHttp2Headers().status(status).set("content-type", "text/html");
      ctx.write(new DefaultHttp2HeadersFrame(head, false));
      ctx.writeAndFlush(
          new DefaultHttp2DataFrame(ctx.alloc().buffer().writeBytes(new byte[] {'<'}), true));
    }

    /** A message of so many bytes, and no end. */
    void message(int size) {
      ctx.writeAndFlush(
          new DefaultHttp2DataFrame(
              ctx.alloc().buffer(size + 5).writeByte(0).writeInt(size).writeZero(size)));
    }

    void trailers(String status) {
      over = true;
      ctx.writeAndFlush(
          new DefaultHttp2HeadersFrame(new DefaultHttp2Headers().set("grpc-status", status), true));
    }

    void begin() {
      ctx.writeAndFlush(new DefaultHttp2HeadersFrame(head(), false));
    }

    private Http2Headers head() {
      return new DefaultHttp2Headers().status("200").set("content-type", "application/grpc");
    }
  }

  /** Before each message: whether it is compressed, and its length. */
  private static final int PREFIX_BYTES = 5;

  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  final List<Call> calls = new CopyOnWriteArrayList<>();
  final List<Channel> connections = new CopyOnWriteArrayList<>();
  final AtomicInteger pings = new AtomicInteger();
  final AtomicInteger resets = new AtomicInteger();
  volatile boolean answering;
  private final Channel listener;

  RawHttp2Server(int mostStreams) throws Exception {
    listener =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    connections.add(channel);
                    channel
                        .pipeline()
                        .addLast(
                            Http2FrameCodecBuilder.forServer()
                                .initialSettings(
                                    Http2Settings.defaultSettings()
                                        .maxConcurrentStreams(mostStreams))
                                .autoAckPingFrame(false)
                                .encoderEnforceMaxRstFramesPerWindow(0, 0)
                                .decoderEnforceMaxRstFramesPerWindow(0, 0)
                                .build(),
                            new Http2MultiplexHandler(
                                new ChannelInitializer<Channel>() {
                                  @Override
                                  protected void initChannel(Channel stream) {
                                    stream.pipeline().addLast(new Stream());
                                  }
                                }),
                            new Ignore());
                  }
                })
            .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
            .sync()
            .channel();
  }

  int port() {
    return ((InetSocketAddress) listener.localAddress()).getPort();
  }

  /** The first call whose message of so many bytes has come whole, or null. */
  Call call(int messageBytes) {
    return calls.stream()
        .filter(call -> call.whole && call.bytes.get() == PREFIX_BYTES + messageBytes)
        .findFirst()
        .orElse(null);
  }

  /** Calls that have come whole and are not over. */
  long whole() {
    return calls.stream().filter(call -> call.whole && !call.over).count();
  }

  void answerAll() {
    calls.stream().filter(call -> call.whole && !call.over).forEach(call -> call.answer("0"));
  }

  /** Closes all connections as a process does that has died. */
  void die() {
    connections.forEach(Channel::close);
  }

  /** Says on all connections that it takes no more streams; those that it has seen go on. */
  void goAway() {
    for (Channel channel : connections) {
      channel.writeAndFlush(new DefaultHttp2GoAwayFrame(Http2Error.NO_ERROR));
    }
  }

  @Override
  public void close() {
    group.shutdownGracefully(0, 2, TimeUnit.SECONDS).awaitUninterruptibly();
  }

  private final class Ignore extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      // A PING stays without its answer: the machine hangs though its kernel lives.
      if (message instanceof Http2PingFrame ping && !ping.ack()) {
        pings.incrementAndGet();
      }
      ReferenceCountUtil.release(message);
    }
  }

  private final class Stream extends ChannelInboundHandlerAdapter {
    private Call call;

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      boolean last = false;
      if (message instanceof Http2HeadersFrame frame) {
        call = new Call(ctx, frame.headers());
        calls.add(call);
        last = frame.isEndStream();
      } else if (message instanceof Http2DataFrame frame) {
        last = frame.isEndStream();
        call.bytes.addAndGet(frame.content().readableBytes());
      }
      ReferenceCountUtil.release(message);
      if (last) {
        call.whole = true;
        if (answering) {
          call.answer("0");
        }
      }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
      if (event instanceof Http2ResetFrame) {
        resets.incrementAndGet();
      }
      ReferenceCountUtil.release(event);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
