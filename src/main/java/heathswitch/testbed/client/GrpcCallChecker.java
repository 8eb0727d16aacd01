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

/**
 * Makes one call of each of the four gRPC call kinds and checks the answers of the simulated
 * server.
 */
public final class GrpcCallChecker implements AutoCloseable {
  /** Number of call kinds. */
  public static final int KIND_COUNT = 4;

  private static final int MAX_EVENTS = 10_000;
  private static final int TIMEOUT_SECONDS = 15;
  private static final int MESSAGE_COUNT = 64;
  private static final int MESSAGE_KIB = 255;

  private final Channel connection;

  public GrpcCallChecker(EventLoop loop, InetSocketAddress balancer) throws InterruptedException {
    connection = Http2Connector.connect(loop, balancer);
  }

  /** Makes one call of each kind and returns the kinds that failed, with what was received. */
  public List<String> checkAllKinds() throws InterruptedException {
    List<String> failures = new ArrayList<>();
    checkUnary(failures);
    checkServerStreaming(failures);
    checkClientStreaming(failures);
    checkBidirectional(failures);
    return failures;
  }

  private void checkUnary(List<String> failures) throws InterruptedException {
    Call call = new Call("/timetable.Store/Next");
    call.send(encodeMessage(new byte[8]), true);
    checkResult("unary", 6, call.awaitEnd(), failures);
  }

  private void checkServerStreaming(List<String> failures) throws InterruptedException {
    Call call = new Call("/timetable.Store/Down");
    call.send(encodeMessage(new byte[] {MESSAGE_COUNT, (byte) MESSAGE_KIB}), true);
    checkResult(
        "server streaming", MESSAGE_COUNT * (5L + (MESSAGE_KIB << 10)), call.awaitEnd(), failures);
  }

  private void checkClientStreaming(List<String> failures) throws InterruptedException {
    Call call = new Call("/timetable.Store/Up");
    for (int i = 0; i < 5; i++) {
      call.send(encodeMessage(new byte[10_000]), false);
      Thread.sleep(20); // Sent slowly: the balancer must forward without waiting for the end.
    }
    call.send(Unpooled.EMPTY_BUFFER, true);
    checkResult("client streaming", 13, call.awaitEnd(), failures);
  }

  private void checkBidirectional(List<String> failures) throws InterruptedException {
    Call call = new Call("/timetable.Store/Ping");
    long bytes = 0;
    for (int i = 0; i < 5; i++) {
      call.send(encodeMessage(new byte[100]), false);
      while (bytes < (i + 1) * 105L) {
        long received = call.awaitData();
        if (received < 0) {
          failures.add("bidirectional: ended after " + bytes + " bytes");
          return;
        }
        bytes += received;
      }
    }
    call.send(Unpooled.EMPTY_BUFFER, true);
    checkResult("bidirectional", 5 * 105L, call.awaitEnd(), failures);
  }

  private static void checkResult(String kind, long bytes, String actual, List<String> failures) {
    String expected = bytes + " bytes, status 0";
    if (!expected.equals(actual)) {
      failures.add(kind + ": " + actual + "; " + expected + " expected");
    }
  }

  private static ByteBuf encodeMessage(byte[] body) {
    return Unpooled.buffer().writeByte(0).writeInt(body.length).writeBytes(body);
  }

  @Override
  public void close() {
    connection.close().syncUninterruptibly();
  }

  /** One call, driven by a thread that may block. */
  private final class Call extends ChannelInboundHandlerAdapter {
    /** Sizes of the received data frames, followed by the status. */
    private final BlockingQueue<Object> events = new ArrayBlockingQueue<>(MAX_EVENTS);

    private final Http2StreamChannel stream;
    private long bytes;

    Call(String path) throws InterruptedException {
      stream = new Http2StreamChannelBootstrap(connection).handler(this).open().sync().getNow();
      Http2Headers headers =
          new DefaultHttp2Headers()
              .method("POST")
              .scheme("http")
              .path(path)
              .authority("balancer")
              .set("content-type", "application/grpc")
              .set("te", "trailers");
      stream.writeAndFlush(new DefaultHttp2HeadersFrame(headers, false));
    }

    void send(ByteBuf data, boolean last) {
      stream.writeAndFlush(new DefaultHttp2DataFrame(data, last));
    }

    /** Waits for the next data frame; returns its size, or -1 at the end or after the timeout. */
    long awaitData() throws InterruptedException {
      Object event = events.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
      bytes += event instanceof Integer size ? size : 0;
      return event instanceof Integer size ? size : -1;
    }

    /** Waits for the end; returns the number of bytes received and the status. */
    String awaitEnd() throws InterruptedException {
      Object event = events.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
      while (event instanceof Integer size) {
        bytes += size;
        event = events.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
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
