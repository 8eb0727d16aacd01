package heathswitch.proxy.grpc;

import heathswitch.proxy.http2.InboundConnection;
import heathswitch.proxy.runtime.Log;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http2.Http2ConnectionDecoder;
import io.netty.handler.codec.http2.Http2ConnectionEncoder;
import io.netty.handler.codec.http2.Http2Error;
import io.netty.handler.codec.http2.Http2Settings;

/** A client's HTTP/2 connection; each stream on it is one gRPC call. */
final class GrpcClientConnection extends InboundConnection {
  /** PING and SETTINGS frames that a client may send within {@link #CONTROL_FRAME_WINDOW_NANOS}. */
  private static final int MAX_CONTROL_FRAMES = 200;

  private static final long CONTROL_FRAME_WINDOW_NANOS = 10_000_000_000L;

  /** A stream whose client has not accepted the end of the answer for this long is reset. */
  private static final long WRITE_TIMEOUT_NANOS = 10_000_000_000L;

  private final GrpcServer server;
  private int controlFrames;
  private long controlFrameWindowStartNanos;
  private long idleSinceNanos;
  private long closeAtNanos;

  GrpcClientConnection(
      Http2ConnectionDecoder decoder,
      Http2ConnectionEncoder encoder,
      Http2Settings settings,
      GrpcServer server) {
    super(decoder, encoder, settings);
    this.server = server;
  }

  /** Starts the timers of the connection; it is closed gracefully at the given time. */
  void onAccepted(long nowNanos, long closeNanos) {
    controlFrameWindowStartNanos = nowNanos;
    idleSinceNanos = nowNanos;
    closeAtNanos = closeNanos;
  }

  @Override
  protected Call createCall(int id) {
    return new GrpcCall(server, this, id);
  }

  @Override
  public void callClosed() {
    idleSinceNanos = server.clock().nowNanos();
    super.callClosed();
  }

  /** Closes the connection if it is idle or too old, and resets stalled streams. */
  void checkTimeouts(long nowNanos) {
    boolean idle =
        openCalls() == 0
            && nowNanos - idleSinceNanos > server.config().connectionIdleMillis() * 1_000_000L;
    if (idle || nowNanos - closeAtNanos >= 0) {
      closeGracefully();
    }
    abortStalledCalls(nowNanos - WRITE_TIMEOUT_NANOS);
  }

  @Override
  protected void onSettings(Http2Settings settings) {
    countControlFrame();
  }

  @Override
  protected void onPing(boolean ack, long content) {
    if (!ack) {
      countControlFrame();
    }
  }

  private void countControlFrame() {
    long nowNanos = server.clock().nowNanos();
    if (nowNanos - controlFrameWindowStartNanos > CONTROL_FRAME_WINDOW_NANOS) {
      controlFrameWindowStartNanos = nowNanos;
      controlFrames = 0;
    }
    if (++controlFrames == MAX_CONTROL_FRAMES) {
      Log.info("gRPC client", "flood of PING or SETTINGS: connection closed");
      sendGoAway(connection().remote().lastStreamCreated(), Http2Error.ENHANCE_YOUR_CALM)
          .addListener(ChannelFutureListener.CLOSE);
    }
  }
}
