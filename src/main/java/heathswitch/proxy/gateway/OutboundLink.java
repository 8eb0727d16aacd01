package heathswitch.proxy.gateway;

import heathswitch.proxy.http2.MultiplexedConnection;
import io.netty.handler.codec.http2.Http2ConnectionDecoder;
import io.netty.handler.codec.http2.Http2ConnectionEncoder;
import io.netty.handler.codec.http2.Http2Settings;

/** One connection to a gateway of another site, with this site's calls on it. */
final class OutboundLink extends MultiplexedConnection {
  private final PeerGateway far;
  private int streams;
  private boolean leaving;

  OutboundLink(
      Http2ConnectionDecoder decoder,
      Http2ConnectionEncoder encoder,
      Http2Settings settings,
      PeerGateway far) {
    super(decoder, encoder, settings);
    this.far = far;
  }

  void streamBegun() {
    streams++;
  }

  void streamDone() {
    streams--;
    closeIfDone();
  }

  /** No new calls; it closes when those that are on are over. */
  void leave() {
    leaving = true;
    closeIfDone();
  }

  private void closeIfDone() {
    if (leaving && streams == 0) {
      context().channel().close();
    }
  }

  @Override
  protected void onFrameRead() {
    far.heard(this);
  }

  @Override
  protected void onSettings(Http2Settings settings) {
    far.ready(this);
  }

  @Override
  protected void onPing(boolean answer, long content) {
    if (answer) {
      far.returned(this, content);
    }
  }

  @Override
  protected void onGoAway() {
    far.leaving(this);
  }
}
