package heathswitch.proxy.runtime;

import static java.util.concurrent.TimeUnit.MILLISECONDS;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.io.IOException;

/**
 * Retries accepting after a failure, which happens temporarily when the system is short of
 * descriptors or buffers. Netty would pause for a second; meanwhile the pending connections look
 * established to their clients, and the time limits of their requests run. One instance per
 * listener, used on its event loop.
 */
final class AcceptRetryHandler extends ChannelInboundHandlerAdapter {
  static final long INITIAL_DELAY_MILLIS = 5;

  /** The delay doubles with each consecutive failure, up to this many times: 80 ms. */
  static final int MAX_DOUBLINGS = 4;

  private int consecutiveFailures;
  private boolean paused;

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object accepted) {
    consecutiveFailures = 0;
    ctx.fireChannelRead(accepted);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (!(cause instanceof IOException)) {
      ctx.fireExceptionCaught(cause);
      return;
    }
    Log.warn("listener", "accept failed: " + cause.getMessage());
    long delay = INITIAL_DELAY_MILLIS << Math.min(consecutiveFailures++, MAX_DOUBLINGS);
    if (!paused && ctx.channel().config().isAutoRead()) {
      paused = true;
      ctx.channel().config().setAutoRead(false);
      ctx.executor().schedule(() -> resume(ctx), delay, MILLISECONDS);
    }
  }

  private void resume(ChannelHandlerContext ctx) {
    paused = false;
    if (ctx.channel().isOpen()) {
      ctx.channel().config().setAutoRead(true);
    }
  }
}
