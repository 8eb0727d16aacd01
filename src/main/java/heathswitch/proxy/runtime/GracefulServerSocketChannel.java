package heathswitch.proxy.runtime;

import static java.util.concurrent.TimeUnit.MILLISECONDS;

import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.util.List;
import java.util.function.BooleanSupplier;

/**
 * A listener that ends without resetting those that have connected. A socket that a selector knows
 * is closed in earnest only with the selector's next turn; the system goes on making connections
 * until then, and resets them at the close. So this one leaves the selector first, takes what
 * waits, and closes then, which is at once.
 */
public final class GracefulServerSocketChannel extends NioServerSocketChannel {
  private static final long POLL_MILLIS = 1;

  /** Connections that one read takes at most. */
  private static final int MAX_ACCEPTS_PER_READ = 16;

  private boolean closing;
  private int acceptedCount;

  /**
   * Takes no more connections, after those that have already come. On the loop; the channel is
   * closed some turns of the loop later.
   *
   * @param room whether another connection can be taken; those that cannot are reset
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
      config().setAutoRead(true); // Off for a moment after an accept that failed.
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
