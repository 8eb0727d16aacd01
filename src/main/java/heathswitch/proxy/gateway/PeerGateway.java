package heathswitch.proxy.gateway;

import heathswitch.policy.gateway.PeerLink;
import heathswitch.proxy.http2.MultiplexedConnection;
import heathswitch.proxy.runtime.Channels;
import heathswitch.proxy.runtime.Log;
import heathswitch.proxy.spi.Upstream;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.handler.ssl.SslHandler;
import java.net.InetSocketAddress;

/**
 * One gateway of a peer site. Keeps a connection to it as long as this gateway runs, measures and
 * checks the connection with PING, and reconnects after the backoff when it broke.
 */
final class PeerGateway {
  /** Time between PINGs, which measure the round trip and detect a broken link. */
  private static final long PING_INTERVAL_NANOS = 200_000_000L;

  /** Timeout for the TCP connection, the TLS handshake and the first SETTINGS together. */
  private static final long CONNECT_TIMEOUT_NANOS = 3_000_000_000L;

  private static final int HANDSHAKE_TIMEOUT_MILLIS = 2500;

  final PeerLink link;
  final InetSocketAddress address;

  /** Represents this gateway in the dispatcher. */
  final Upstream upstream;

  final LinkCounters counters = new LinkCounters();
  private final OutboundLinks outboundLinks;
  private OutboundLink connection;
  private Channel connectingChannel;
  private long connectStartNanos;
  private long nextConnectNanos;
  private long lastPingNanos;
  private long lastFrameNanos;

  PeerGateway(OutboundLinks outboundLinks, PeerLink link, InetSocketAddress address, long id) {
    this.outboundLinks = outboundLinks;
    this.link = link;
    this.address = address;
    String host = address.getAddress().getHostAddress() + ':' + address.getPort();
    upstream = new Upstream(id, link.site() + ' ' + host);
  }

  /** Returns the connection that accepts calls, or null if there is none. */
  OutboundLink connection() {
    return connection;
  }

  /**
   * Maintains the connection: opens it, sends PINGs and applies the timeouts.
   *
   * @param stalledNanos the time for which the event loop was stalled; it does not count as silence
   *     of the peer
   */
  void tick(long now, long stalledNanos) {
    if (connection != null) {
      lastFrameNanos = Math.min(now, lastFrameNanos + stalledNanos);
      if (now - lastFrameNanos > outboundLinks.table().silenceTimeoutNanos()) {
        Log.warn("gateway", upstream.name + " has sent nothing for too long; closing the link");
        connection.context().channel().close();
      } else if (now - lastPingNanos >= PING_INTERVAL_NANOS) {
        lastPingNanos = now;
        connection.writePing(now);
      }
    } else if (connectingChannel != null) {
      connectStartNanos += stalledNanos;
      if (now - connectStartNanos > CONNECT_TIMEOUT_NANOS) {
        connectingChannel.close();
      }
    } else if (now >= nextConnectNanos) {
      connect(now);
    }
  }

  private void connect(long now) {
    if (!outboundLinks.mayConnect()) {
      nextConnectNanos = now + PING_INTERVAL_NANOS;
      return;
    }
    connectStartNanos = now;
    OutboundLink newConnection =
        MultiplexedConnection.build(
            false,
            0,
            SiteHeaders.MAX_HEADER_BYTES,
            SiteHeaders.VARIABLE_HEADERS,
            (decoder, encoder, settings) -> new OutboundLink(decoder, encoder, settings, this));
    ChannelFuture connecting =
        outboundLinks
            .bootstrap()
            .clone()
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    addHandlers(channel, newConnection);
                  }
                })
            .connect(address);
    Channel channel = connecting.channel();
    connectingChannel = channel;
    if (!Channels.hasSocket(channel)) {
      onClosed(channel, newConnection);
      return;
    }
    outboundLinks.onChannelOpened(channel);
    channel.closeFuture().addListener(closed -> onClosed(channel, newConnection));
    connecting.addListener(
        connected -> {
          if (!connected.isSuccess()) {
            channel.close();
          }
        });
  }

  private void addHandlers(Channel channel, OutboundLink newConnection) {
    Identity identity = outboundLinks.identity();
    if (identity == null) {
      channel.pipeline().addLast(newConnection);
      return;
    }
    SslHandler tls = identity.clientContext().newHandler(channel.alloc());
    tls.setHandshakeTimeoutMillis(HANDSHAKE_TIMEOUT_MILLIS);
    channel
        .pipeline()
        .addLast(
            tls,
            new PeerSiteVerifier(
                tls,
                name -> {
                  boolean expected = name.equals(link.site());
                  if (expected) {
                    channel.pipeline().addLast(newConnection);
                  }
                  return expected;
                }));
  }

  /** The first SETTINGS of a connection have been received. */
  void onReady(OutboundLink source) {
    if (connectingChannel == null || source.context().channel() != connectingChannel) {
      return;
    }
    connectingChannel = null;
    connection = source;
    long now = outboundLinks.now();
    lastFrameNanos = now;
    lastPingNanos = now;
    outboundLinks.gateway().onUp(now, link);
    Log.info("gateway", upstream.name + " is connected");
    source.writePing(now); // Calls are sent once the round-trip time is known.
  }

  void onFrame(OutboundLink source) {
    if (source == connection) {
      lastFrameNanos = outboundLinks.now();
    }
  }

  void onPingAnswered(OutboundLink source, long sentNanos) {
    if (source == connection) {
      lastFrameNanos = outboundLinks.now();
      outboundLinks.gateway().onRoundTrip(link, lastFrameNanos - sentNanos);
    }
  }

  /** The connection accepts no more calls and is to be replaced. */
  void onLeaving(OutboundLink source) {
    if (source == connection) {
      connection = null;
      outboundLinks.gateway().onLeaving(link);
      nextConnectNanos = outboundLinks.now();
      source.closeWhenIdle();
    }
  }

  /** Replaces the connection by one that uses the new identity. */
  void reconnect() {
    if (connection != null) {
      onLeaving(connection);
    }
  }

  private void onClosed(Channel channel, OutboundLink source) {
    boolean broke = source == connection;
    if (!broke && channel != connectingChannel) {
      return; // It had already been replaced.
    }
    connection = broke ? null : connection;
    connectingChannel = channel == connectingChannel ? null : connectingChannel;
    long now = outboundLinks.now();
    long backoff = outboundLinks.gateway().onBroken(now, link);
    nextConnectNanos = now + backoff;
    Log.warn(
        "gateway",
        upstream.name
            + (broke ? ": the link broke" : " cannot be reached")
            + "; reconnecting in "
            + backoff / 1_000_000
            + " ms");
  }

  void close() {
    nextConnectNanos = Long.MAX_VALUE;
    if (connectingChannel != null) {
      connectingChannel.close();
    }
    if (connection != null) {
      connection.context().channel().close();
    }
  }

  String connectionState(long now) {
    if (connection != null) {
      return "up";
    }
    return connectingChannel != null ? "dialing" : now < nextConnectNanos ? "resting" : "down";
  }
}
