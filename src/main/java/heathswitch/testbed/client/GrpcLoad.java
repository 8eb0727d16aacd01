package heathswitch.testbed.client;

import static java.util.concurrent.TimeUnit.NANOSECONDS;

import heathswitch.testbed.server.GrpcDuty;
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

/** gRPC calls of one method over one connection; each message is the call's id. */
public final class GrpcLoad extends Load {
  private final long deadlineNanos;
  private final String path;
  private final long prefix;
  private Channel connection;
  private long number;

  /**
   * A load that is not yet running; see {@link Load}.
   *
   * @param ledger told of each call by its path and id, or null
   */
  public GrpcLoad(
      EventLoop loop,
      String path,
      double perSecond,
      int always,
      long deadlineMillis,
      long seed,
      Ledger ledger) {
    super(loop, perSecond, always, seed, ledger);
    this.path = path;
    this.deadlineNanos = deadlineMillis * 1_000_000L;
    this.prefix = seed << 40;
  }

  /** Connects and begins. */
  public GrpcLoad start(InetSocketAddress balancer) throws InterruptedException {
    connection = Http2Client.connect(loop, balancer);
    begin();
    return this;
  }

  @Override
  void closeAll() {
    connection.close();
  }

  @Override
  void call(long intendedNanos) {
    Call call = new Call(prefix + number++, intendedNanos);
    new Http2StreamChannelBootstrap(connection)
        .handler(call)
        .open()
        .addListener(
            done -> {
              if (done.isSuccess()) {
                call.begin((Http2StreamChannel) done.getNow());
              } else {
                call.end(Tally.Result.LOST);
              }
            });
  }

  private final class Call extends ChannelInboundHandlerAdapter {
    private final long id;
    private final long intendedNanos;
    private Future<?> timeout;
    private boolean over;

    Call(long id, long intendedNanos) {
      this.id = id;
      this.intendedNanos = intendedNanos;
    }

    void begin(Http2StreamChannel stream) {
      Http2Headers head =
          new DefaultHttp2Headers()
              .method("POST")
              .scheme("http")
              .path(path)
              .authority("balancer")
              .set("content-type", "application/grpc")
              .set("te", "trailers")
              .set("grpc-timeout", deadlineNanos / 1_000_000 + "m");
      stream.write(new DefaultHttp2HeadersFrame(head, false));
      stream.writeAndFlush(
          new DefaultHttp2DataFrame(
              stream.alloc().buffer(13).writeByte(0).writeInt(8).writeLong(id), true));
      timeout =
          loop.schedule(
              () -> {
                end(Tally.Result.LOST);
                stream.close();
              },
              deadlineNanos + MARGIN_NANOS,
              NANOSECONDS);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      if (message instanceof Http2HeadersFrame frame && frame.isEndStream()) {
        String status = String.valueOf(frame.headers().get("grpc-status"));
        end(
            status.equals("0")
                ? Tally.Result.SERVED
                : status.equals("14") ? Tally.Result.REFUSED : Tally.Result.FAILED);
      }
      ReferenceCountUtil.release(message);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      end(Tally.Result.LOST);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }

    void end(Tally.Result result) {
      if (over) {
        return;
      }
      over = true;
      if (timeout != null) {
        timeout.cancel(false);
      }
      result(GrpcDuty.name(path, id), result, intendedNanos);
    }
  }
}
