package heathswitch.proxy.runtime;

import static java.util.concurrent.TimeUnit.MILLISECONDS;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.io.IOException;

/**
 * What becomes of a listener whose accept has failed, as it may for a moment where the system is
 * short of descriptors or buffers. Netty would leave off for a second; the connections that wait
 * meanwhile are made as far as their clients can tell, and their requests' time runs. One for each
 * listener, on its loop.
 */
final class AcceptRetry extends ChannelInboundHandlerAdapter {
  static final long FIRST_MILLIS = 5;

  /** The wait is doubled with each failure in a row, so often at most: 80 ms. */
  static final int MOST_DOUBLINGS = 4;

  private int failedInRow;
  private boolean waiting;

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object accepted) {
    failedInRow = 0;
    ctx.fireChannelRead(accepted);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (!(cause instanceof IOException)) {
      ctx.fireExceptionCaught(cause);
      return;
    }
    Log.warn("listener", "accept failed: " + cause.getMessage());
    long delay = FIRST_MILLIS << Math.min(failedInRow++, MOST_DOUBLINGS);
    if (!waiting && ctx.channel().config().isAutoRead()) {
      waiting = true;
      ctx.channel().config().setAutoRead(false);
      ctx.executor().schedule(() -> resume(ctx), delay, MILLISECONDS);
    }
  }

  private void resume(ChannelHandlerContext ctx) {
    waiting = false;
    if (ctx.channel().isOpen()) {
      ctx.channel().config().setAutoRead(true);
    }
  }
}
