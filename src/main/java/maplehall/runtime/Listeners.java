package maplehall.runtime;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.util.function.Consumer;

/** How every listener begins, whatever is spoken on it. */
public final class Listeners {
  private Listeners() {}

  /**
   * A listener on the loop, to be bound. Its address can be had again at once after its end, and
   * what is written on its connections goes out at once.
   *
   * @param accepted told of each connection before anything is read from it, on the loop
   */
  public static ServerBootstrap on(EventLoop loop, Consumer<Channel> accepted) {
    return new ServerBootstrap()
        .group(loop)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .handler(new AcceptRetry())
        .childHandler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                accepted.accept(channel);
              }
            });
  }
}
