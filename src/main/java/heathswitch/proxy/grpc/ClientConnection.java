package heathswitch.proxy.grpc;

import heathswitch.proxy.http2.InboundConnection;
import heathswitch.proxy.runtime.Log;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http2.Http2ConnectionDecoder;
import io.netty.handler.codec.http2.Http2ConnectionEncoder;
import io.netty.handler.codec.http2.Http2Error;
import io.netty.handler.codec.http2.Http2Settings;

/** One client's connection, with its streams' calls. */
final class ClientConnection extends InboundConnection {
  /** PING and SETTINGS frames that a connection may send in the time below. */
  private static final int MOST_CONTROL_FRAMES = 200;

  private static final long CONTROL_NANOS = 10_000_000_000L;

  /** An answer that its client does not take for so long is given up with its stream. */
  private static final long WRITE_NANOS = 10_000_000_000L;

  private final GrpcServer server;
  private int controlFrames;
  private long controlSinceNanos;
  private long idleSinceNanos;
  private long leaveAtNanos;

  ClientConnection(
      Http2ConnectionDecoder decoder,
      Http2ConnectionEncoder encoder,
      Http2Settings settings,
      GrpcServer server) {
    super(decoder, encoder, settings);
    this.server = server;
  }

  /** It begins now, and is to be left at the time given. */
  void accepted(long now, long leaveNanos) {
    controlSinceNanos = now;
    idleSinceNanos = now;
    leaveAtNanos = leaveNanos;
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

  /** Ends what is old, idle or stuck. */
  void tick(long now) {
    boolean idle =
        openCalls() == 0
            && now - idleSinceNanos > server.config().connectionIdleMillis() * 1_000_000L;
    if (idle || now - leaveAtNanos >= 0) {
      closeGracefully();
    }
    abortStalledCalls(now - WRITE_NANOS);
  }

  @Override
  protected void onSettings(Http2Settings settings) {
    control();
  }

  @Override
  protected void onPing(boolean answer, long content) {
    if (!answer) {
      control();
    }
  }

  private void control() {
    long now = server.clock().nowNanos();
    if (now - controlSinceNanos > CONTROL_NANOS) {
      controlSinceNanos = now;
      controlFrames = 0;
    }
    if (++controlFrames == MOST_CONTROL_FRAMES) {
      Log.info("gRPC client", "flood of PING or SETTINGS: connection closed");
      sendGoAway(connection().remote().lastStreamCreated(), Http2Error.ENHANCE_YOUR_CALM)
          .addListener(ChannelFutureListener.CLOSE);
    }
  }
}
