package heathswitch.proxy.runtime;

import static java.util.concurrent.TimeUnit.MILLISECONDS;

import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.util.List;
import java.util.function.BooleanSupplier;

/**
 * A server channel that can be closed without resetting established connections. A socket that is
 * registered with a selector is really closed only in the selector's next cycle; until then the
 * system keeps establishing connections, which it resets at the close. This channel is therefore
 * deregistered first, then accepts the pending connections, and is then closed, which takes effect
 * immediately.
 */
public final class GracefulServerSocketChannel extends NioServerSocketChannel {
  private static final long POLL_MILLIS = 1;

  /** The maximum number of connections accepted by one read. */
  private static final int MAX_ACCEPTS_PER_READ = 16;

  private boolean closing;
  private int acceptedCount;

  /**
   * Accepts the pending connections and closes the channel, some iterations of the event loop
   * later. To be called on the event loop.
   *
   * @param hasRoom whether another connection can be accepted; those that cannot are reset
   */
  public void closeGracefully(BooleanSupplier hasRoom) {
    if (!closing) {
      closing = true;
      deregister().addListener(done -> acceptBacklogAndClose(hasRoom));
    }
  }

  private void acceptBacklogAndClose(BooleanSupplier hasRoom) {
    if (javaChannel().isRegistered()) {
      eventLoop().schedule(() -> acceptBacklogAndClose(hasRoom), POLL_MILLIS, MILLISECONDS);
      return;
    }
    if (hasRoom.getAsBoolean()) {
      config().setAutoRead(true); // May be off after a failed accept.
    }
    int before;
    do {
      before = acceptedCount;
      ((NioUnsafe) unsafe()).read();
    } while (acceptedCount >= before + MAX_ACCEPTS_PER_READ && hasRoom.getAsBoolean());
    close();
  }

  @Override
  protected int doReadMessages(List<Object> messages) throws Exception {
    int count = super.doReadMessages(messages);
    acceptedCount += count;
    return count;
  }
}
