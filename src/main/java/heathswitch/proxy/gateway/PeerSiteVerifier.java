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
 * Waits for the handshake and lets the peer in whose certificate names a site that is expected; the
 * connection of any other is closed. The library has checked the certificate itself by then.
 */
final class PeerSiteVerifier extends ChannelInboundHandlerAdapter {
  private final SslHandler tls;
  private final Predicate<String> letIn;

  /**
   * For one connection.
   *
   * @param letIn asked for each name of the peer until it takes one
   */
  PeerSiteVerifier(SslHandler tls, Predicate<String> letIn) {
    this.tls = tls;
    this.letIn = letIn;
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext ctx, Object event) throws Exception {
    if (event instanceof SslHandshakeCompletionEvent done) {
      if (!done.isSuccess()) {
        Log.warn("gateway", "no link with " + ctx.channel().remoteAddress() + ": " + done.cause());
        ctx.close();
        return;
      }
      List<String> names = names();
      ctx.pipeline().remove(this);
      if (names.stream().noneMatch(letIn)) {
        Log.warn("gateway", ctx.channel().remoteAddress() + " is of no site expected: " + names);
        ctx.close();
      }
      return;
    }
    super.userEventTriggered(ctx, event);
  }

  private List<String> names() {
    try {
      return Identity.sites(tls.engine().getSession().getPeerCertificates()[0]);
    } catch (SSLPeerUnverifiedException e) {
      return List.of();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    ctx.close(); // The handshake's event has said why.
  }
}
