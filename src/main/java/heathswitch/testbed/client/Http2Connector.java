package heathswitch.testbed.client;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http2.Http2FrameCodecBuilder;
import io.netty.handler.codec.http2.Http2MultiplexHandler;
import io.netty.handler.codec.http2.Http2Settings;
import java.net.InetSocketAddress;

/** Opens HTTP/2 client connections whose calls each use a separate stream. */
final class Http2Connector {
  private Http2Connector() {}

  /**
   * Connects to a loopback address and returns once connected. Must not be called on the event
   * loop.
   */
  static Channel connect(EventLoop loop, InetSocketAddress address) throws InterruptedException {
    return new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .handler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                channel
                    .pipeline()
                    .addLast(
                        Http2FrameCodecBuilder.forClient()
                            .initialSettings(Http2Settings.defaultSettings().pushEnabled(false))
                            .build(),
                        new Http2MultiplexHandler(new ChannelInboundHandlerAdapter()));
              }
            })
        .connect(LoadGenerator.requireLoopback(address))
        .sync()
        .channel();
  }
}
