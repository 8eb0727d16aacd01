package heathswitch.testbed.client;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http2.DefaultHttp2DataFrame;
import io.netty.handler.codec.http2.DefaultHttp2Headers;
import io.netty.handler.codec.http2.DefaultHttp2HeadersFrame;
import io.netty.handler.codec.http2.Http2DataFrame;
import io.netty.handler.codec.http2.Http2Headers;
import io.netty.handler.codec.http2.Http2HeadersFrame;
import io.netty.handler.codec.http2.Http2ResetFrame;
import io.netty.handler.codec.http2.Http2StreamChannel;
import io.netty.handler.codec.http2.Http2StreamChannelBootstrap;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;

/** One call of each of the four kinds, checked against what its server is known to answer. */
public final class GrpcKinds implements AutoCloseable {
  /** How many kinds there are. */
  public static final int KINDS = 4;

  private static final int MOST_EVENTS = 10_000;
  private static final int WAIT_SECONDS = 15;
  private static final int MESSAGES = 64;
  private static final int KIB = 255;

  private final Channel connection;

  public GrpcKinds(EventLoop loop, InetSocketAddress balancer) throws InterruptedException {
    connection = Http2Client.connect(loop, balancer);
  }

  /** The kinds of call that went wrong, each with what was seen. */
  public List<String> failures() throws InterruptedException {
    List<String> failures = new ArrayList<>();
    unary(failures);
    down(failures);
    up(failures);
    ping(failures);
    return failures;
  }

  private void unary(List<String> failures) throws InterruptedException {
    Call call = new Call("/timetable.Store/Next");
    call.send(message(new byte[8]), true);
    check("unary", 6, call.end(), failures);
  }

  private void down(List<String> failures) throws InterruptedException {
    Call call = new Call("/timetable.Store/Down");
    call.send(message(new byte[] {MESSAGES, (byte) KIB}), true);
    check("server streaming", MESSAGES * (5L + (KIB << 10)), call.end(), failures);
  }

  private void up(List<String> failures) throws InterruptedException {
    Call call = new Call("/timetable.Store/Up");
    for (int i = 0; i < 5; i++) {
      call.send(message(new byte[10_000]), false);
      Thread.sleep(20); // Of a person who types: the balancer must not wait for the end.
    }
    call.send(Unpooled.EMPTY_BUFFER, true);
    check("client streaming", 13, call.end(), failures);
  }

  private void ping(List<String> failures) throws InterruptedException {
    Call call = new Call("/timetable.Store/Ping");
    long bytes = 0;
    for (int i = 0; i < 5; i++) {
      call.send(message(new byte[100]), false);
      while (bytes < (i + 1) * 105L) {
        long more = call.data();
        if (more < 0) {
          failures.add("bidirectional: ended after " + bytes + " bytes");
          return;
        }
        bytes += more;
      }
    }
    call.send(Unpooled.EMPTY_BUFFER, true);
    check("bidirectional", 5 * 105L, call.end(), failures);
  }

  private static void check(String kind, long bytes, String seen, List<String> failures) {
    String expected = bytes + " bytes, status 0";
    if (!expected.equals(seen)) {
      failures.add(kind + ": " + seen + "; " + expected + " expected");
    }
  }

  private static ByteBuf message(byte[] body) {
    return Unpooled.buffer().writeByte(0).writeInt(body.length).writeBytes(body);
  }

  @Override
  public void close() {
    connection.close().syncUninterruptibly();
  }

  /** One call, driven from a thread that may wait. */
  private final class Call extends ChannelInboundHandlerAdapter {
    /** Sizes of data as they come, then the status. */
    private final BlockingQueue<Object> events = new ArrayBlockingQueue<>(MOST_EVENTS);

    private final Http2StreamChannel stream;
    private long bytes;

    Call(String path) throws InterruptedException {
      stream = new Http2StreamChannelBootstrap(connection).handler(this).open().sync().getNow();
      Http2Headers head =
          new DefaultHttp2Headers()
              .method("POST")
              .scheme("http")
              .path(path)
              .authority("balancer")
              .set("content-type", "application/grpc")
              .set("te", "trailers");
      stream.writeAndFlush(new DefaultHttp2HeadersFrame(head, false));
    }

    void send(ByteBuf data, boolean last) {
      stream.writeAndFlush(new DefaultHttp2DataFrame(data, last));
    }

    /** Bytes of the next piece, or -1 at the end. */
    long data() throws InterruptedException {
      Object event = events.poll(WAIT_SECONDS, TimeUnit.SECONDS);
      bytes += event instanceof Integer size ? size : 0;
      return event instanceof Integer size ? size : -1;
    }

    /** Waits for the end; what came, and the status. */
    String end() throws InterruptedException {
      Object event = events.poll(WAIT_SECONDS, TimeUnit.SECONDS);
      while (event instanceof Integer size) {
        bytes += size;
        event = events.poll(WAIT_SECONDS, TimeUnit.SECONDS);
      }
      stream.close();
      return bytes + " bytes, " + event;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      try {
        if (message instanceof Http2DataFrame frame) {
          events.add(frame.content().readableBytes());
        } else if (message instanceof Http2HeadersFrame frame && frame.isEndStream()) {
          events.add("status " + frame.headers().get("grpc-status"));
        }
      } finally {
        ReferenceCountUtil.release(message);
      }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
      if (event instanceof Http2ResetFrame frame) {
        events.add("reset " + frame.errorCode());
      }
      ReferenceCountUtil.release(event);
    }
  }
}
