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
 * One gateway of another site: connected as long as this one runs, asked by PING all the time, and
 * tried again after a break when the module says so.
 */
final class PeerGateway {
  /** Between two PINGs: they measure the way and show a link that is cut. */
  private static final long PING_NANOS = 200_000_000L;

  /** For the connection, its handshake and the first SETTINGS together. */
  private static final long DIAL_NANOS = 3_000_000_000L;

  private static final int HANDSHAKE_MILLIS = 2500;

  final PeerLink state;
  final InetSocketAddress address;

  /** How the dispatcher knows it. */
  final Upstream place;

  final LinkCounters counts = new LinkCounters();
  private final OutboundLinks outward;
  private OutboundLink link;
  private Channel dialing;
  private long dialedNanos;
  private long nextDialNanos;
  private long pingNanos;
  private long heardNanos;

  PeerGateway(OutboundLinks outward, PeerLink state, InetSocketAddress address, long id) {
    this.outward = outward;
    this.state = state;
    this.address = address;
    String host = address.getAddress().getHostAddress() + ':' + address.getPort();
    place = new Upstream(id, state.site() + ' ' + host);
  }

  /** The connection that takes calls, or null. */
  OutboundLink link() {
    return link;
  }

  /**
   * Looks after the connection.
   *
   * @param stalledNanos for which this loop has done nothing at all: no sign against the far side
   */
  void tick(long now, long stalledNanos) {
    if (link != null) {
      heardNanos = Math.min(now, heardNanos + stalledNanos);
      if (now - heardNanos > outward.table().silenceTimeoutNanos()) {
        Log.warn("gateway", place.name + " says nothing: link given up");
        link.context().channel().close();
      } else if (now - pingNanos >= PING_NANOS) {
        pingNanos = now;
        link.writePing(now);
      }
    } else if (dialing != null) {
      dialedNanos += stalledNanos;
      if (now - dialedNanos > DIAL_NANOS) {
        dialing.close();
      }
    } else if (now >= nextDialNanos) {
      dial(now);
    }
  }

  private void dial(long now) {
    if (!outward.mayOpen()) {
      nextDialNanos = now + PING_NANOS;
      return;
    }
    dialedNanos = now;
    OutboundLink next =
        MultiplexedConnection.build(
            false,
            0,
            SiteHeaders.MOST_BYTES,
            SiteHeaders.CHANGING,
            (decoder, encoder, settings) -> new OutboundLink(decoder, encoder, settings, this));
    ChannelFuture connecting =
        outward
            .bootstrap()
            .clone()
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    begin(channel, next);
                  }
                })
            .connect(address);
    Channel channel = connecting.channel();
    dialing = channel;
    if (!Channels.hasSocket(channel)) {
      closed(channel, next);
      return;
    }
    outward.opened(channel);
    channel.closeFuture().addListener(closed -> closed(channel, next));
    connecting.addListener(
        done -> {
          if (!done.isSuccess()) {
            channel.close();
          }
        });
  }

  private void begin(Channel channel, OutboundLink next) {
    Identity identity = outward.identity();
    if (identity == null) {
      channel.pipeline().addLast(next);
      return;
    }
    SslHandler tls = identity.client().newHandler(channel.alloc());
    tls.setHandshakeTimeoutMillis(HANDSHAKE_MILLIS);
    channel
        .pipeline()
        .addLast(
            tls,
            new PeerSiteVerifier(
                tls,
                name -> {
                  boolean right = name.equals(state.site());
                  if (right) {
                    channel.pipeline().addLast(next);
                  }
                  return right;
                }));
  }

  /** Its first SETTINGS have come. */
  void ready(OutboundLink of) {
    if (dialing == null || of.context().channel() != dialing) {
      return;
    }
    dialing = null;
    link = of;
    long now = outward.now();
    heardNanos = now;
    pingNanos = now;
    outward.gateway().onUp(now, state);
    Log.info("gateway", place.name + " is linked");
    of.writePing(now); // Calls go once the way is known.
  }

  void heard(OutboundLink of) {
    if (of == link) {
      heardNanos = outward.now();
    }
  }

  void returned(OutboundLink of, long sentNanos) {
    if (of == link) {
      heardNanos = outward.now();
      outward.gateway().onRoundTrip(state, heardNanos - sentNanos);
    }
  }

  /** It takes no more calls; another connection may. */
  void leaving(OutboundLink of) {
    if (of == link) {
      link = null;
      outward.gateway().onLeaving(state);
      nextDialNanos = outward.now();
      of.leave();
    }
  }

  /** What it shows has changed: a new connection takes the place of this one. */
  void renew() {
    if (link != null) {
      leaving(link);
    }
  }

  private void closed(Channel channel, OutboundLink of) {
    boolean broke = of == link;
    if (!broke && channel != dialing) {
      return; // It was leaving.
    }
    link = broke ? null : link;
    dialing = channel == dialing ? null : dialing;
    long now = outward.now();
    long rest = outward.gateway().onBroken(now, state);
    nextDialNanos = now + rest;
    Log.warn(
        "gateway",
        place.name
            + (broke ? " broke" : " cannot be had")
            + "; again in "
            + rest / 1_000_000
            + " ms");
  }

  void close() {
    nextDialNanos = Long.MAX_VALUE;
    if (dialing != null) {
      dialing.close();
    }
    if (link != null) {
      link.context().channel().close();
    }
  }

  String linkState(long now) {
    if (link != null) {
      return "up";
    }
    return dialing != null ? "dialing" : now < nextDialNanos ? "resting" : "down";
  }
}
