package heathswitch.testbed.server;

import heathswitch.proxy.runtime.Listeners;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http2.DefaultHttp2DataFrame;
import io.netty.handler.codec.http2.DefaultHttp2Headers;
import io.netty.handler.codec.http2.DefaultHttp2HeadersFrame;
import io.netty.handler.codec.http2.Http2DataFrame;
import io.netty.handler.codec.http2.Http2FrameCodecBuilder;
import io.netty.handler.codec.http2.Http2HeadersFrame;
import io.netty.handler.codec.http2.Http2MultiplexHandler;
import io.netty.handler.codec.http2.Http2Settings;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/**
 * The gRPC endpoint of a simulated server. Its calls share the cores and the queue of the server.
 */
public final class GrpcEndpoint implements AutoCloseable {
  /** Accepts work. The callback receives true when the work is done, or false if it is refused. */
  interface WorkQueue {
    void submit(String path, Consumer<Boolean> done);
  }

  private final WorkQueue workQueue;

  /** Receives the name of each call when it has arrived completely; may be null. */
  private final Consumer<String> observer;

  private final AtomicLong received = new AtomicLong();
  private Channel listener;

  GrpcEndpoint(WorkQueue workQueue, Consumer<String> observer) {
    this.workQueue = workQueue;
    this.observer = observer;
  }

  GrpcEndpoint start(EventLoop loop, InetSocketAddress address) throws InterruptedException {
    listener = Listeners.bootstrap(loop, this::initChannel).bind(address).sync().channel();
    return this;
  }

  private void initChannel(Channel channel) {
    channel
        .pipeline()
        .addLast(
            Http2FrameCodecBuilder.forServer()
                .initialSettings(Http2Settings.defaultSettings().maxConcurrentStreams(1000))
                .build(),
            new Http2MultiplexHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel stream) {
                    stream.pipeline().addLast(new Call());
                  }
                }));
  }

  public int port() {
    return ((InetSocketAddress) listener.localAddress()).getPort();
  }

  /** Returns the number of calls that have arrived completely. */
  public long receivedCount() {
    return received.get();
  }

  @Override
  public void close() {
    listener.close().syncUninterruptibly();
  }

  /** Returns the name of a call in a ledger. */
  public static String callName(String path, long id) {
    return path + '#' + id;
  }

  /**
   * One call. The method of its path selects the behavior: Watch sends headers only; Down sends as
   * many messages as given by the first byte of the request, of the size in KiB given by the
   * second; Up answers with the number of bytes received; Ping echoes each data frame immediately;
   * any other method is work, with the id of the call as its message.
   */
  private final class Call extends ChannelInboundHandlerAdapter {
    private static final int PREFIX_BYTES = 64;

    private final byte[] prefix = new byte[PREFIX_BYTES];
    private String path = "";
    private String method = "";
    private long byteCount;
    private boolean headersSent;

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      try {
        boolean isComplete = false;
        if (message instanceof Http2HeadersFrame frame) {
          path = String.valueOf(frame.headers().path());
          method = path.substring(path.lastIndexOf('/') + 1);
          isComplete = frame.isEndStream();
        } else if (message instanceof Http2DataFrame frame) {
          isComplete = frame.isEndStream();
          receiveData(ctx, frame.content());
        }
        if (isComplete) {
          received.incrementAndGet();
          handleCall(ctx);
        }
      } finally {
        ReferenceCountUtil.release(message);
      }
    }

    private void receiveData(ChannelHandlerContext ctx, ByteBuf data) {
      for (int i = 0; i < data.readableBytes() && byteCount + i < prefix.length; i++) {
        prefix[(int) byteCount + i] = data.getByte(data.readerIndex() + i);
      }
      byteCount += data.readableBytes();
      if (method.equals("Ping") && data.isReadable()) {
        sendHeaders(ctx);
        ctx.writeAndFlush(new DefaultHttp2DataFrame(data.retainedDuplicate()));
      }
    }

    private void handleCall(ChannelHandlerContext ctx) {
      switch (method) {
        case "Watch" -> sendHeaders(ctx);
        case "Down" -> {
          sendHeaders(ctx);
          for (int i = 0; i < prefix[5]; i++) {
            int size = (prefix[6] & 255) << 10;
            writeMessage(ctx, ctx.alloc().buffer(size).writeZero(size));
          }
          sendTrailers(ctx);
        }
        case "Up" -> {
          sendHeaders(ctx);
          writeMessage(ctx, ctx.alloc().buffer(8).writeLong(byteCount));
          sendTrailers(ctx);
        }
        case "Ping" -> sendTrailers(ctx);
        default -> {
          long id = ByteBuffer.wrap(prefix, 5, 8).getLong();
          if (observer != null) {
            observer.accept(callName(path, id));
          }
          workQueue.submit(path, done -> sendResult(ctx, done));
        }
      }
    }

    private void sendHeaders(ChannelHandlerContext ctx) {
      if (!headersSent) {
        headersSent = true;
        ctx.writeAndFlush(new DefaultHttp2HeadersFrame(newHeaders(), false));
      }
    }

    private static DefaultHttp2Headers newHeaders() {
      DefaultHttp2Headers headers = new DefaultHttp2Headers();
      headers.status("200").set("content-type", "application/grpc");
      return headers;
    }

    private static void writeMessage(ChannelHandlerContext ctx, ByteBuf body) {
      ByteBuf lengthPrefix = ctx.alloc().buffer(5).writeByte(0).writeInt(body.readableBytes());
      ctx.write(new DefaultHttp2DataFrame(Unpooled.wrappedBuffer(lengthPrefix, body)));
    }

    private static void sendTrailers(ChannelHandlerContext ctx) {
      ctx.writeAndFlush(
          new DefaultHttp2HeadersFrame(new DefaultHttp2Headers().set("grpc-status", "0"), true));
    }

    private void sendResult(ChannelHandlerContext ctx, boolean done) {
      DefaultHttp2Headers headers = newHeaders();
      if (!done) {
        headers.set("grpc-status", "14").set("x-not-run", "1");
        ctx.writeAndFlush(new DefaultHttp2HeadersFrame(headers, true));
        return;
      }
      ctx.write(new DefaultHttp2HeadersFrame(headers, false));
      writeMessage(ctx, ctx.alloc().buffer(1).writeByte(7));
      sendTrailers(ctx);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
