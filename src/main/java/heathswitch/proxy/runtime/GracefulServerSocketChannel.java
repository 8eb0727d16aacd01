package heathswitch.proxy.runtime;

import static java.util.concurrent.TimeUnit.MILLISECONDS;

import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.util.List;
import java.util.function.BooleanSupplier;

/**
 * A server channel that can be closed without resetting established connections. A socket that is
 * registered with a selector is really closed only in the selector's next cycle; until then the
 * system keeps establishing connections, which it resets at the close. This channel is therefore
 * deregistered first and then accepts the pending connections. Its socket is closed right after the
 * accept that finds no further connection, before the accepted ones are set up, since the system
 * resets those that it establishes in between.
 */
public final class GracefulServerSocketChannel extends NioServerSocketChannel {
  private static final long POLL_MILLIS = 1;

  private boolean closing;
  private boolean deregistered;
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
    deregistered = true;
    if (hasRoom.getAsBoolean()) {
      config().setAutoRead(true); // May be off after a failed accept.
    }
    int before;
    do {
      before = acceptedCount;
      ((NioUnsafe) unsafe()).read(); // Accepts a limited number of connections.
    } while (isOpen() && acceptedCount > before && hasRoom.getAsBoolean());
    close(); // Also after a failed accept, and without room for all.
  }

  @Override
  protected int doReadMessages(List<Object> messages) throws Exception {
    int count = super.doReadMessages(messages);
    acceptedCount += count;
    if (count == 0 && deregistered) {
      javaChannel().close();
    }
    return count;
  }
}
