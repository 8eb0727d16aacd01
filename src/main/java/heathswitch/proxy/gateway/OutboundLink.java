package heathswitch.proxy.gateway;

import heathswitch.proxy.http2.MultiplexedConnection;
import io.netty.handler.codec.http2.Http2ConnectionDecoder;
import io.netty.handler.codec.http2.Http2ConnectionEncoder;
import io.netty.handler.codec.http2.Http2Settings;

/** A connection to a gateway of a peer site, which carries calls from this site. */
final class OutboundLink extends MultiplexedConnection {
  private final PeerGateway peer;
  private int streams;
  private boolean closing;

  OutboundLink(
      Http2ConnectionDecoder decoder,
      Http2ConnectionEncoder encoder,
      Http2Settings settings,
      PeerGateway peer) {
    super(decoder, encoder, settings);
    this.peer = peer;
  }

  void onStreamOpened() {
    streams++;
  }

  void onStreamClosed() {
    streams--;
    closeIfIdle();
  }

  /** Accepts no new calls and closes the connection once those in flight have ended. */
  void closeWhenIdle() {
    closing = true;
    closeIfIdle();
  }

  private void closeIfIdle() {
    if (closing && streams == 0) {
      context().channel().close();
    }
  }

  @Override
  protected void onFrameRead() {
    peer.onFrame(this);
  }

  @Override
  protected void onSettings(Http2Settings settings) {
    peer.onReady(this);
  }

  @Override
  protected void onPing(boolean answer, long sentNanos) {
    if (answer) {
      peer.onPingAnswered(this, sentNanos);
    }
  }

  @Override
  protected void onGoAway() {
    peer.onLeaving(this);
  }
}
