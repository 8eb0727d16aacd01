package heathswitch.testbed.client;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpObjectAggregator;
import java.net.InetSocketAddress;

/** Opens connections over HTTP/1.1 to one address, on one loop, with whole answers. */
public final class HttpDialer {
  private static final int MOST_ANSWER_BYTES = 2 << 20;

  private final Bootstrap bootstrap;
  private final InetSocketAddress to;

  public HttpDialer(EventLoop loop, InetSocketAddress to, int connectMillis) {
    this.to = to;
    this.bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectMillis);
  }

  /**
   * Begins to connect.
   *
   * @param handler gets whole answers
   */
  public ChannelFuture connect(ChannelHandler handler) {
    ChannelInitializer<Channel> pipeline =
        new ChannelInitializer<>() {
          @Override
          protected void initChannel(Channel channel) {
            channel
                .pipeline()
                .addLast(
                    new HttpClientCodec(), new HttpObjectAggregator(MOST_ANSWER_BYTES), handler);
          }
        };
    return bootstrap.clone().handler(pipeline).connect(to);
  }
}
