package heathswitch.proxy.gateway;

import heathswitch.proxy.runtime.Log;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.ssl.SslHandler;
import io.netty.handler.ssl.SslHandshakeCompletionEvent;
import java.util.List;
import java.util.function.Predicate;
import javax.net.ssl.SSLPeerUnverifiedException;

/**
 * Waits for the TLS handshake and accepts the peer if its certificate names an expected site;
 * closes the connection otherwise. The TLS library has validated the certificate by then.
 */
final class PeerSiteVerifier extends ChannelInboundHandlerAdapter {
  private final SslHandler tls;
  private final Predicate<String> accept;

  /**
   * Creates the verifier of one connection.
   *
   * @param accept called with each name of the peer until it accepts one
   */
  PeerSiteVerifier(SslHandler tls, Predicate<String> accept) {
    this.tls = tls;
    this.accept = accept;
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext ctx, Object event) throws Exception {
    if (event instanceof SslHandshakeCompletionEvent handshake) {
      if (!handshake.isSuccess()) {
        Log.warn(
            "gateway",
            "TLS handshake with "
                + ctx.channel().remoteAddress()
                + " failed: "
                + handshake.cause());
        ctx.close();
        return;
      }
      List<String> names = peerNames();
      ctx.pipeline().remove(this);
      if (names.stream().noneMatch(accept)) {
        Log.warn(
            "gateway",
            "certificate of "
                + ctx.channel().remoteAddress()
                + " names no expected site: "
                + names);
        ctx.close();
      }
      return;
    }
    super.userEventTriggered(ctx, event);
  }

  private List<String> peerNames() {
    try {
      return Identity.dnsNames(tls.engine().getSession().getPeerCertificates()[0]);
    } catch (SSLPeerUnverifiedException e) {
      return List.of();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    ctx.close(); // The event of the handshake has already logged the reason.
  }
}
