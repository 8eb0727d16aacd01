package maplehall.grpc;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http2.Http2ConnectionDecoder;
import io.netty.handler.codec.http2.Http2ConnectionEncoder;
import io.netty.handler.codec.http2.Http2Error;
import io.netty.handler.codec.http2.Http2Settings;
import java.util.ArrayList;
import java.util.List;
import maplehall.http2.Link;
import maplehall.runtime.Log;

/** One client's connection, with its streams' calls. */
final class ClientLink extends Link {
  /** PING and SETTINGS frames that a connection may send in the time below. */
  private static final int MOST_CONTROL_FRAMES = 200;

  private static final long CONTROL_NANOS = 10_000_000_000L;

  /** An answer that its client does not take for so long is given up with its stream. */
  private static final long WRITE_NANOS = 10_000_000_000L;

  private final GrpcServer server;
  private Channel channel;
  private int calls;
  private int controlFrames;
  private long controlSinceNanos;
  private long idleSinceNanos;
  private long leaveAtNanos;
  private boolean leaving;
  private boolean left;

  ClientLink(
      Http2ConnectionDecoder decoder,
      Http2ConnectionEncoder encoder,
      Http2Settings settings,
      GrpcServer server) {
    super(decoder, encoder, settings);
    this.server = server;
  }

  /** Its channel is there; it is to be left at the time given. */
  void accepted(Channel of, long now, long leaveNanos) {
    channel = of;
    controlSinceNanos = now;
    idleSinceNanos = now;
    leaveAtNanos = leaveNanos;
  }

  @Override
  protected Handler opened(int id) {
    calls++;
    return new GrpcCall(server, this, id);
  }

  void callDone() {
    idleSinceNanos = server.clock().nowNanos();
    if (--calls == 0 && left) {
      channel.close();
    }
  }

  /** Ends what is old, idle or stuck. */
  void tick(long now) {
    boolean idle = calls == 0 && now - idleSinceNanos > server.table().idleMillis() * 1_000_000L;
    if (idle || now - leaveAtNanos >= 0) {
      leave();
    }
    for (GrpcCall call : stuck(now - WRITE_NANOS)) {
      call.cut();
    }
  }

  private List<GrpcCall> stuck(long before) {
    List<GrpcCall> stuck = new ArrayList<>(0);
    forEachHandler(
        handler -> {
          if (handler instanceof GrpcCall call && call.stuckSince(before)) {
            stuck.add(call);
          }
        });
    return stuck;
  }

  /** No new calls; those that are on end by themselves. */
  void leave() {
    if (leaving) {
      return;
    }
    leaving = true;
    goAwayInOrder(
        () -> {
          left = true;
          closeIfIdle();
        });
  }

  void closeIfIdle() {
    if (left && calls == 0) {
      channel.close();
    }
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
      goAway(connection().remote().lastStreamCreated(), Http2Error.ENHANCE_YOUR_CALM)
          .addListener(ChannelFutureListener.CLOSE);
    }
  }
}
