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

/** A client's connection over HTTP/2, for calls on streams of their own. */
final class Http2Client {
  private Http2Client() {}

  /** Returns once it is connected; loopback addresses alone. Not to be called on the loop. */
  static Channel connect(EventLoop loop, InetSocketAddress to) throws InterruptedException {
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
        .connect(Load.loopback(to))
        .sync()
        .channel();
  }
}
