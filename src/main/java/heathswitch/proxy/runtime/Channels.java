package heathswitch.proxy.runtime;

import io.netty.channel.Channel;
import io.netty.channel.socket.SocketChannel;

/**
 * Connections that may never have been any. Where no socket can be made, for want of descriptors or
 * buffers say, Netty returns a stand-in with the failed connect, which has no event loop: it throws
 * when it is closed, its close is never told, and its listeners run on another thread.
 */
public final class Channels {
  private Channels() {}

  /** Whether a connect has made a socket. */
  public static boolean hasSocket(Channel channel) {
    return channel instanceof SocketChannel || channel.isRegistered();
  }

  /** Closes a channel, if there is one. */
  public static void close(Channel channel) {
    if (hasSocket(channel)) {
      channel.close();
    }
  }
}
