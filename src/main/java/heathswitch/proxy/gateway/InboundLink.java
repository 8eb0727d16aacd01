package heathswitch.proxy.gateway;

import heathswitch.proxy.http2.InboundConnection;
import io.netty.handler.codec.http2.Http2ConnectionDecoder;
import io.netty.handler.codec.http2.Http2ConnectionEncoder;
import io.netty.handler.codec.http2.Http2Settings;

/** A connection from a gateway of a peer site, which carries calls from that site. */
final class InboundLink extends InboundConnection {
  /** Peers send PINGs several times a second; one that sends no frame for this long is gone. */
  private static final long SILENCE_TIMEOUT_NANOS = 10_000_000_000L;

  /** Number of checks for stalled calls within one stall timeout. */
  private static final int STALL_CHECKS = 8;

  private final InboundLinks inboundLinks;

  /** The site in the peer's certificate, or null in plain text. */
  private final String peerSite;

  private long lastFrameNanos;
  private long lastStallCheckNanos;

  InboundLink(
      Http2ConnectionDecoder decoder,
      Http2ConnectionEncoder encoder,
      Http2Settings settings,
      InboundLinks inboundLinks,
      String peerSite) {
    super(decoder, encoder, settings);
    this.inboundLinks = inboundLinks;
    this.peerSite = peerSite;
    lastFrameNanos = inboundLinks.now();
    lastStallCheckNanos = lastFrameNanos;
  }

  String peerSite() {
    return peerSite;
  }

  @Override
  protected Call createCall(int id) {
    return new InboundCall(inboundLinks, this, id);
  }

  @Override
  protected void onFrameRead() {
    lastFrameNanos = inboundLinks.now();
  }

  /** Closes the connection if the peer is silent, and aborts its stalled calls. */
  void tick(long now) {
    if (now - lastFrameNanos > SILENCE_TIMEOUT_NANOS) {
      context().channel().close();
    } else if (now - lastStallCheckNanos > inboundLinks.stallTimeoutNanos() / STALL_CHECKS) {
      lastStallCheckNanos = now;
      abortStalledCalls(now - inboundLinks.stallTimeoutNanos());
    }
  }
}
