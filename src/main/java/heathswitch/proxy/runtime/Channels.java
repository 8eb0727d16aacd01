package heathswitch.proxy.runtime;

import io.netty.channel.Channel;
import io.netty.channel.socket.SocketChannel;

/**
 * Handles channels whose socket may never have been created. If Netty cannot create a socket, for
 * example for lack of descriptors or buffers, it returns the failed connect with a placeholder
 * channel that has no event loop: closing it throws, its close future never completes, and its
 * listeners run on another thread.
 */
public final class Channels {
  private Channels() {}

  /** Whether a connect created a socket. */
  public static boolean hasSocket(Channel channel) {
    return channel instanceof SocketChannel || channel.isRegistered();
  }

  /** Closes a channel if it has a socket. */
  public static void close(Channel channel) {
    if (hasSocket(channel)) {
      channel.close();
    }
  }
}
