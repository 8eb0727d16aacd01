package heathswitch.proxy.runtime;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/** Creates and closes the listeners of all protocols. */
public final class Listeners {
  private Listeners() {}

  /**
   * Accepts a listener's pending connections and closes it, some iterations of the event loop
   * later. To be called on the event loop.
   *
   * @param hasRoom whether another connection can be accepted
   */
  public static void closeGracefully(Channel listener, BooleanSupplier hasRoom) {
    ((GracefulServerSocketChannel) listener).closeGracefully(hasRoom);
  }

  /**
   * Returns the bootstrap of a listener on an event loop, ready to be bound. Its address can be
   * reused right after it is closed (SO_REUSEADDR), and writes to its connections are not delayed
   * (TCP_NODELAY).
   *
   * @param onAccept called with each connection on the event loop, before anything is read from it
   */
  public static ServerBootstrap bootstrap(EventLoop loop, Consumer<Channel> onAccept) {
    return new ServerBootstrap()
        .group(loop)
        .channel(GracefulServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .handler(new AcceptRetryHandler())
        .childHandler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                onAccept.accept(channel);
              }
            });
  }
}
