package heathswitch.proxy.gateway;

import heathswitch.proxy.http2.InboundConnection;
import io.netty.handler.codec.http2.Http2ConnectionDecoder;
import io.netty.handler.codec.http2.Http2ConnectionEncoder;
import io.netty.handler.codec.http2.Http2Settings;

/** One connection of a gateway of another site, with that site's calls on it. */
final class InboundLink extends InboundConnection {
  /** Peers ask by PING several times a second; one that says nothing for so long has gone. */
  private static final long SILENT_NANOS = 10_000_000_000L;

  /** Looks at all calls within the time that a stuck one is given. */
  private static final int LOOKS = 8;

  private final InboundLinks inward;

  /** Whose certificate it brought, or null in plain text. */
  private final String peer;

  private long heardNanos;
  private long lookedNanos;

  InboundLink(
      Http2ConnectionDecoder decoder,
      Http2ConnectionEncoder encoder,
      Http2Settings settings,
      InboundLinks inward,
      String peer) {
    super(decoder, encoder, settings);
    this.inward = inward;
    this.peer = peer;
    heardNanos = inward.now();
    lookedNanos = heardNanos;
  }

  String peer() {
    return peer;
  }

  @Override
  protected Call createCall(int id) {
    return new InboundCall(inward, this, id);
  }

  @Override
  protected void onFrameRead() {
    heardNanos = inward.now();
  }

  /** Ends what says nothing, and its calls that have stopped. */
  void tick(long now) {
    if (now - heardNanos > SILENT_NANOS) {
      context().channel().close();
    } else if (now - lookedNanos > inward.stallTimeoutNanos() / LOOKS) {
      lookedNanos = now;
      abortStalledCalls(now - inward.stallTimeoutNanos());
    }
  }
}
