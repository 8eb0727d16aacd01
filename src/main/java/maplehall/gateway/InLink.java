package maplehall.gateway;

import io.netty.channel.Channel;
import io.netty.handler.codec.http2.Http2ConnectionDecoder;
import io.netty.handler.codec.http2.Http2ConnectionEncoder;
import io.netty.handler.codec.http2.Http2Settings;
import maplehall.http2.Link;

/** One connection of a gateway of another site, with that site's calls on it. */
final class InLink extends Link {
  /** Peers ask by PING several times a second; one that says nothing for so long has gone. */
  private static final long SILENT_NANOS = 10_000_000_000L;

  private final Inward inward;
  private final Channel channel;

  /** Whose certificate it brought, or null in plain text. */
  private final String peer;

  private int calls;
  private long heardNanos;
  private boolean leaving;
  private boolean left;

  InLink(
      Http2ConnectionDecoder decoder,
      Http2ConnectionEncoder encoder,
      Http2Settings settings,
      Inward inward,
      Channel channel,
      String peer) {
    super(decoder, encoder, settings);
    this.inward = inward;
    this.channel = channel;
    this.peer = peer;
    heardNanos = inward.now();
  }

  String peer() {
    return peer;
  }

  @Override
  protected Handler opened(int id) {
    calls++;
    return new InCall(inward, this, id);
  }

  void callDone() {
    calls--;
    closeIfIdle();
  }

  @Override
  protected void heard() {
    heardNanos = inward.now();
  }

  void tick(long now) {
    if (now - heardNanos > SILENT_NANOS) {
      channel.close();
    }
  }

  /** No new calls; those that are on end by themselves. */
  void leave() {
    if (!leaving) {
      leaving = true;
      goAwayInOrder(
          () -> {
            left = true;
            closeIfIdle();
          });
    }
  }

  void closeIfIdle() {
    if (left && calls == 0) {
      channel.close();
    }
  }
}
