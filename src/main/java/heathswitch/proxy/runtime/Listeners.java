package heathswitch.proxy.runtime;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/** How every listener begins, whatever is spoken on it. */
public final class Listeners {
  private Listeners() {}

  /**
   * Has a listener take no more connections, after those that have already come; on the loop. It is
   * closed some turns of the loop later.
   *
   * @param room whether another connection can be taken
   */
  public static void closeGracefully(Channel listener, BooleanSupplier hasRoom) {
    ((GracefulServerSocketChannel) listener).closeGracefully(hasRoom);
  }

  /**
   * A listener on the loop, to be bound. Its address can be had again at once after its end, and
   * what is written on its connections goes out at once.
   *
   * @param accepted told of each connection before anything is read from it, on the loop
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
