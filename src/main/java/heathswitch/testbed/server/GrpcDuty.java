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

/** The gRPC side of a stand-in: calls go through the same cores and the same queue. */
public final class GrpcDuty implements AutoCloseable {
  /** How work is asked for: the callback comes with true when it is done, false if turned away. */
  interface Work {
    void ask(String path, Consumer<Boolean> done);
  }

  private final Work work;

  /** Told of each call's name when it has come whole, or null. */
  private final Consumer<String> observer;

  private final AtomicLong received = new AtomicLong();
  private Channel listener;

  GrpcDuty(Work work, Consumer<String> observer) {
    this.work = work;
    this.observer = observer;
  }

  GrpcDuty start(EventLoop loop, InetSocketAddress address) throws InterruptedException {
    listener = Listeners.bootstrap(loop, this::accepted).bind(address).sync().channel();
    return this;
  }

  private void accepted(Channel channel) {
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

  /** Calls that have come whole. */
  public long received() {
    return received.get();
  }

  @Override
  public void close() {
    listener.close().syncUninterruptibly();
  }

  /** A call's name in a ledger. */
  public static String name(String path, long id) {
    return path + '#' + id;
  }

  /**
   * What a call is follows from its path: Watch begins and says nothing more; Down sends as many
   * messages as its first byte says, of so many KiB as its second; Up answers how many bytes came;
   * Ping sends each piece back at once; all others are work, and their message is their id.
   */
  private final class Call extends ChannelInboundHandlerAdapter {
    private static final int MOST_MESSAGE = 64;

    private final byte[] first = new byte[MOST_MESSAGE];
    private String path = "";
    private String what = "";
    private long bytes;
    private boolean begun;

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      try {
        boolean whole = false;
        if (message instanceof Http2HeadersFrame frame) {
          path = String.valueOf(frame.headers().path());
          what = path.substring(path.lastIndexOf('/') + 1);
          whole = frame.isEndStream();
        } else if (message instanceof Http2DataFrame frame) {
          whole = frame.isEndStream();
          data(ctx, frame.content());
        }
        if (whole) {
          received.incrementAndGet();
          whole(ctx);
        }
      } finally {
        ReferenceCountUtil.release(message);
      }
    }

    private void data(ChannelHandlerContext ctx, ByteBuf data) {
      for (int i = 0; i < data.readableBytes() && bytes + i < first.length; i++) {
        first[(int) bytes + i] = data.getByte(data.readerIndex() + i);
      }
      bytes += data.readableBytes();
      if (what.equals("Ping") && data.isReadable()) {
        begin(ctx);
        ctx.writeAndFlush(new DefaultHttp2DataFrame(data.retainedDuplicate()));
      }
    }

    private void whole(ChannelHandlerContext ctx) {
      switch (what) {
        case "Watch" -> begin(ctx);
        case "Down" -> {
          begin(ctx);
          for (int i = 0; i < first[5]; i++) {
            int size = (first[6] & 255) << 10;
            message(ctx, ctx.alloc().buffer(size).writeZero(size));
          }
          end(ctx);
        }
        case "Up" -> {
          begin(ctx);
          message(ctx, ctx.alloc().buffer(8).writeLong(bytes));
          end(ctx);
        }
        case "Ping" -> end(ctx);
        default -> {
          long id = ByteBuffer.wrap(first, 5, 8).getLong();
          if (observer != null) {
            observer.accept(name(path, id));
          }
          work.ask(path, done -> answer(ctx, done));
        }
      }
    }

    private void begin(ChannelHandlerContext ctx) {
      if (!begun) {
        begun = true;
        ctx.writeAndFlush(new DefaultHttp2HeadersFrame(head(), false));
      }
    }

    private static DefaultHttp2Headers head() {
      DefaultHttp2Headers head = new DefaultHttp2Headers();
      head.status("200").set("content-type", "application/grpc");
      return head;
    }

    private static void message(ChannelHandlerContext ctx, ByteBuf body) {
      ByteBuf prefix = ctx.alloc().buffer(5).writeByte(0).writeInt(body.readableBytes());
      ctx.write(new DefaultHttp2DataFrame(Unpooled.wrappedBuffer(prefix, body)));
    }

    private static void end(ChannelHandlerContext ctx) {
      ctx.writeAndFlush(
          new DefaultHttp2HeadersFrame(new DefaultHttp2Headers().set("grpc-status", "0"), true));
    }

    private void answer(ChannelHandlerContext ctx, boolean done) {
      DefaultHttp2Headers head = head();
      if (!done) {
        head.set("grpc-status", "14").set("x-not-run", "1");
        ctx.writeAndFlush(new DefaultHttp2HeadersFrame(head, true));
        return;
      }
      ctx.write(new DefaultHttp2HeadersFrame(head, false));
      message(ctx, ctx.alloc().buffer(1).writeByte(7));
      end(ctx);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
