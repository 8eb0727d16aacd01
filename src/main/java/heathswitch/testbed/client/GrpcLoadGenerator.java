package heathswitch.testbed.client;

import static java.util.concurrent.TimeUnit.NANOSECONDS;

import heathswitch.testbed.server.GrpcEndpoint;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http2.DefaultHttp2DataFrame;
import io.netty.handler.codec.http2.DefaultHttp2Headers;
import io.netty.handler.codec.http2.DefaultHttp2HeadersFrame;
import io.netty.handler.codec.http2.Http2Headers;
import io.netty.handler.codec.http2.Http2HeadersFrame;
import io.netty.handler.codec.http2.Http2StreamChannel;
import io.netty.handler.codec.http2.Http2StreamChannelBootstrap;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;

/**
 * Load of unary gRPC calls of one method over one connection. Each message is the id of its call.
 */
public final class GrpcLoadGenerator extends LoadGenerator {
  private final long deadlineNanos;
  private final String path;
  private final long firstId;
  private Channel connection;
  private long callCount;

  /**
   * Creates a load that is not yet running; see {@link LoadGenerator}.
   *
   * @param ledger records each call by its path and id, or null
   */
  public GrpcLoadGenerator(
      EventLoop loop,
      String path,
      double perSecond,
      int concurrency,
      long deadlineMillis,
      long seed,
      CallLedger ledger) {
    super(loop, perSecond, concurrency, seed, ledger);
    this.path = path;
    this.deadlineNanos = deadlineMillis * 1_000_000L;
    this.firstId = seed << 40;
  }

  /** Connects and starts the load. */
  public GrpcLoadGenerator start(InetSocketAddress balancer) throws InterruptedException {
    connection = Http2Connector.connect(loop, balancer);
    startCalls();
    return this;
  }

  @Override
  void closeConnections() {
    connection.close();
  }

  @Override
  void sendCall(long intendedNanos) {
    Call call = new Call(firstId + callCount++, intendedNanos);
    new Http2StreamChannelBootstrap(connection)
        .handler(call)
        .open()
        .addListener(
            done -> {
              if (done.isSuccess()) {
                call.sendRequest((Http2StreamChannel) done.getNow());
              } else {
                call.finish(LoadStats.Result.LOST);
              }
            });
  }

  /** One call in flight. */
  private final class Call extends ChannelInboundHandlerAdapter {
    private final long id;
    private final long intendedNanos;
    private Future<?> timeout;
    private boolean finished;

    Call(long id, long intendedNanos) {
      this.id = id;
      this.intendedNanos = intendedNanos;
    }

    void sendRequest(Http2StreamChannel stream) {
      Http2Headers headers =
          new DefaultHttp2Headers()
              .method("POST")
              .scheme("http")
              .path(path)
              .authority("balancer")
              .set("content-type", "application/grpc")
              .set("te", "trailers")
              .set("grpc-timeout", deadlineNanos / 1_000_000 + "m");
      stream.write(new DefaultHttp2HeadersFrame(headers, false));
      stream.writeAndFlush(
          new DefaultHttp2DataFrame(
              stream.alloc().buffer(13).writeByte(0).writeInt(8).writeLong(id), true));
      timeout =
          loop.schedule(
              () -> {
                finish(LoadStats.Result.LOST);
                stream.close();
              },
              deadlineNanos + DEADLINE_MARGIN_NANOS,
              NANOSECONDS);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      if (message instanceof Http2HeadersFrame frame && frame.isEndStream()) {
        String status = String.valueOf(frame.headers().get("grpc-status"));
        finish(
            status.equals("0")
                ? LoadStats.Result.SERVED
                : status.equals("14") ? LoadStats.Result.REFUSED : LoadStats.Result.FAILED);
      }
      ReferenceCountUtil.release(message);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      finish(LoadStats.Result.LOST);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }

    void finish(LoadStats.Result result) {
      if (finished) {
        return;
      }
      finished = true;
      if (timeout != null) {
        timeout.cancel(false);
      }
      recordResult(GrpcEndpoint.callName(path, id), result, intendedNanos);
    }
  }
}
