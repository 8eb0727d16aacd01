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

/** An HTTP/2 server that lets a test control each stream, beyond what a gRPC library allows. */
final class RawHttp2Server implements AutoCloseable {
  /** A received call; its request may be incomplete. */
  final class Call {
    final ChannelHandlerContext ctx;
    final Http2Headers headers;
    final AtomicInteger bytes = new AtomicInteger();
    volatile boolean requestComplete;
    volatile boolean ended;

    Call(ChannelHandlerContext ctx, Http2Headers headers) {
      this.ctx = ctx;
      this.headers = headers;
    }

    void reset(Http2Error error) {
      ended = true;
      ctx.writeAndFlush(new DefaultHttp2ResetFrame(error));
    }

    void answer(String status) {
      ended = true;
      ctx.write(new DefaultHttp2HeadersFrame(answerHeaders(), false));
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

    /** Answers with plain HTTP, like a server without gRPC support. */
    void answerHttp(String status) {
      ended = true;
      Http2Headers head = new DefaultHttp2Headers().status(status).set("content-type", "text/html");
      ctx.write(new DefaultHttp2HeadersFrame(head, false));
      ctx.writeAndFlush(
          new DefaultHttp2DataFrame(ctx.alloc().buffer().writeBytes(new byte[] {'<'}), true));
    }

    /** Sends a message of the given size without ending the stream. */
    void sendMessage(int size) {
      ctx.writeAndFlush(
          new DefaultHttp2DataFrame(
              ctx.alloc().buffer(size + 5).writeByte(0).writeInt(size).writeZero(size)));
    }

    void sendTrailers(String status) {
      ended = true;
      ctx.writeAndFlush(
          new DefaultHttp2HeadersFrame(new DefaultHttp2Headers().set("grpc-status", status), true));
    }

    void sendHeaders() {
      ctx.writeAndFlush(new DefaultHttp2HeadersFrame(answerHeaders(), false));
    }

    private Http2Headers answerHeaders() {
      return new DefaultHttp2Headers().status("200").set("content-type", "application/grpc");
    }
  }

  /** The prefix of each message: the compression flag and the length. */
  private static final int PREFIX_BYTES = 5;

  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  final List<Call> calls = new CopyOnWriteArrayList<>();
  final List<Channel> connections = new CopyOnWriteArrayList<>();
  final AtomicInteger pings = new AtomicInteger();
  final AtomicInteger resets = new AtomicInteger();
  volatile boolean answerImmediately;
  private final Channel listener;

  RawHttp2Server(int maxStreams) throws Exception {
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
                                        .maxConcurrentStreams(maxStreams))
                                .autoAckPingFrame(false)
                                .encoderEnforceMaxRstFramesPerWindow(0, 0)
                                .decoderEnforceMaxRstFramesPerWindow(0, 0)
                                .build(),
                            new Http2MultiplexHandler(
                                new ChannelInitializer<Channel>() {
                                  @Override
                                  protected void initChannel(Channel stream) {
                                    stream.pipeline().addLast(new StreamHandler());
                                  }
                                }),
                            new ConnectionHandler());
                  }
                })
            .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
            .sync()
            .channel();
  }

  int port() {
    return ((InetSocketAddress) listener.localAddress()).getPort();
  }

  /** The first call with a complete request of one message of the given size, or null. */
  Call completeCall(int messageBytes) {
    return calls.stream()
        .filter(call -> call.requestComplete && call.bytes.get() == PREFIX_BYTES + messageBytes)
        .findFirst()
        .orElse(null);
  }

  /** The number of calls with a complete request that have not ended. */
  long openCallCount() {
    return calls.stream().filter(call -> call.requestComplete && !call.ended).count();
  }

  void answerAll() {
    calls.stream()
        .filter(call -> call.requestComplete && !call.ended)
        .forEach(call -> call.answer("0"));
  }

  /** Closes all connections, as if the process had died. */
  void closeConnections() {
    connections.forEach(Channel::close);
  }

  /** Sends a GOAWAY on all connections; streams that were already received continue. */
  void sendGoAway() {
    for (Channel channel : connections) {
      channel.writeAndFlush(new DefaultHttp2GoAwayFrame(Http2Error.NO_ERROR));
    }
  }

  @Override
  public void close() {
    group.shutdownGracefully(0, 2, TimeUnit.SECONDS).awaitUninterruptibly();
  }

  private final class ConnectionHandler extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      // PINGs are not acknowledged, as if the machine hung while its kernel still runs.
      if (message instanceof Http2PingFrame ping && !ping.ack()) {
        pings.incrementAndGet();
      }
      ReferenceCountUtil.release(message);
    }
  }

  private final class StreamHandler extends ChannelInboundHandlerAdapter {
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
        call.requestComplete = true;
        if (answerImmediately) {
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
