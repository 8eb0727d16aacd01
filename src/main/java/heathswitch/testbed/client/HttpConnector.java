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

/** Opens HTTP/1.1 connections with aggregated responses to one address on one event loop. */
public final class HttpConnector {
  private static final int MAX_RESPONSE_BYTES = 2 << 20;

  private final Bootstrap bootstrap;
  private final InetSocketAddress address;

  public HttpConnector(EventLoop loop, InetSocketAddress address, int connectTimeoutMillis) {
    this.address = address;
    this.bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMillis);
  }

  /**
   * Starts to connect.
   *
   * @param handler receives aggregated responses
   */
  public ChannelFuture connect(ChannelHandler handler) {
    ChannelInitializer<Channel> pipeline =
        new ChannelInitializer<>() {
          @Override
          protected void initChannel(Channel channel) {
            channel
                .pipeline()
                .addLast(
                    new HttpClientCodec(), new HttpObjectAggregator(MAX_RESPONSE_BYTES), handler);
          }
        };
    return bootstrap.clone().handler(pipeline).connect(address);
  }
}
