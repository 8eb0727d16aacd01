package heathswitch.proxy.platform;

import static java.util.concurrent.TimeUnit.MILLISECONDS;

import com.fasterxml.jackson.jr.ob.JSON;
import heathswitch.policy.api.ListUpdate;
import heathswitch.proxy.runtime.Channels;
import heathswitch.proxy.runtime.Log;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.NoRouteToHostException;

/**
 * One call to discovery on a connection of its own, a watch or the whole list once: its framing,
 * its silence and its end.
 */
final class DiscoveryCall extends ChannelInboundHandlerAdapter {
  /** Whom a call tells what becomes of it, on the loop. */
  interface Listener {
    /** When a call is given up, as the settings have it now. */
    DiscoveryTimeouts clock();

    /** The revision of the list that is known. */
    long revision();

    /** The call has brought its first whole line. */
    void spoke(DiscoveryCall call);

    /** The list, or what has changed of it. */
    void news(DiscoveryCall call, DiscoveryList list);

    /** Nothing has changed since the line before. */
    void confirmed(DiscoveryCall call);

    /**
     * The call has ended and will tell nothing more.
     *
     * @param how what its end shows of discovery
     */
    void ended(DiscoveryCall call, String why, ListUpdate how);
  }

  private static final int MOST_LINE_BYTES = 4 << 20;
  private static final int MOST_STATUS_LINE_BYTES = 4096;
  private static final int MOST_HEADER_BYTES = 16_384;
  private static final int MOST_CHUNK_BYTES = 65_536;

  private final String uri;
  private final boolean stream;

  /** Whether what is wanted is what has changed since a revision, which may be nothing. */
  private final boolean indexed;

  private final InetSocketAddress to;
  private final EventLoop loop;
  private final DiscoveryCallLog log;
  private final DiscoveryCallLog.Entry entry;
  private final Listener listener;
  private final JsonFramer framer = new JsonFramer(MOST_LINE_BYTES);
  private Channel channel;
  private Future<?> silence;
  private boolean connected;
  private boolean begun;
  private boolean told;
  private boolean closed;

  /** The newest revision that this call has brought: an older one may not undo what it told. */
  private long spokenRevision;

  private DiscoveryCall(
      String uri,
      boolean stream,
      InetSocketAddress to,
      String cause,
      EventLoop loop,
      DiscoveryCallLog log,
      Listener listener) {
    this.uri = uri;
    this.stream = stream;
    this.indexed = listener.revision() >= 0;
    this.to = to;
    this.loop = loop;
    this.log = log;
    this.entry = log.planned(cause, to, listener.revision());
    this.listener = listener;
  }

  /**
   * A watch: the list or what has changed since a revision, and all that changes later.
   *
   * @param cause why it is made, for the log
   */
  static DiscoveryCall watch(
      InetSocketAddress to, String cause, EventLoop loop, DiscoveryCallLog log, Listener listener) {
    String index = listener.revision() >= 0 ? "&index=" + listener.revision() : "";
    return new DiscoveryCall(
        "/discovery/hosts?stream=1" + index, true, to, cause, loop, log, listener);
  }

  /** The whole list, once. */
  static DiscoveryCall fetch(
      InetSocketAddress to, String cause, EventLoop loop, DiscoveryCallLog log, Listener listener) {
    return new DiscoveryCall("/discovery/hosts", false, to, cause, loop, log, listener);
  }

  /** Connects and asks. */
  void open(Bootstrap bootstrap) {
    DiscoveryCall call = this;
    ChannelFuture connecting =
        bootstrap
            .clone()
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    channel
                        .pipeline()
                        .addLast(
                            new HttpClientCodec(
                                MOST_STATUS_LINE_BYTES, MOST_HEADER_BYTES, MOST_CHUNK_BYTES),
                            call);
                  }
                })
            .connect(to);
    channel = connecting.channel();
    heard();
    // Always later: a connect that fails at once must not be told inside the module's call.
    connecting.addListener(done -> loop.execute(() -> connected(connecting)));
  }

  private void connected(ChannelFuture connecting) {
    if (!connecting.isSuccess()) {
      Throwable cause = connecting.cause();
      end("cannot connect: " + cause, notReached(cause) ? ListUpdate.FAILED : ListUpdate.NOT_SENT);
      return;
    }
    connected = true;
    FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uri);
    request.headers().set(HttpHeaderNames.HOST, to.getHostString() + ":" + to.getPort());
    if (!stream) {
      request.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    channel.writeAndFlush(request);
  }

  /** Whether a connect failed for want of an answer; else it failed on this machine. */
  private static boolean notReached(Throwable cause) {
    return cause instanceof ConnectException || cause instanceof NoRouteToHostException;
  }

  boolean isWatch() {
    return stream;
  }

  /** Whether it was made to this address. */
  boolean uses(InetSocketAddress address) {
    return to.equals(address);
  }

  /** Only whole lines count: half a line, however it drips, tells nothing. */
  private void heard() {
    if (silence != null) {
      silence.cancel(false);
    }
    long millis = told ? listener.clock().lineMillis() : listener.clock().firstLineMillis();
    silence = loop.schedule(() -> silent(millis), millis, MILLISECONDS);
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    try {
      if (!closed) {
        read((HttpObject) message);
      }
    } catch (IOException | RuntimeException e) {
      fail("unreadable: " + DiscoveryList.clip(String.valueOf(e.getMessage())));
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void read(HttpObject part) throws IOException {
    if (part.decoderResult().isFailure()) {
      fail("malformed: " + part.decoderResult().cause().getMessage());
      return;
    }
    if (part instanceof HttpResponse response && response.status().code() != 200) {
      if (response.status().code() >= 200) {
        end("status " + response.status().code(), ListUpdate.REJECTED);
      }
      return;
    }
    begun |= part instanceof HttpResponse;
    if (part instanceof HttpContent content) {
      take(content.content());
      if (part instanceof LastHttpContent && !closed) {
        ended();
      }
    }
  }

  private void take(ByteBuf bytes) throws IOException {
    while (bytes.isReadable() && !closed) {
      boolean complete = framer.add(bytes.readByte());
      if (complete && stream) {
        line(framer.take());
      }
    }
  }

  private void line(String text) throws IOException {
    boolean first = !told;
    if (text.isEmpty() && first && !indexed) {
      return; // It owes the whole list, and an empty line tells none.
    }
    told = true;
    heard();
    log.heard();
    if (text.isEmpty() && !first) {
      listener.confirmed(this);
      return;
    }
    // Empty at first: nothing has changed, but the module waits to hear that its call went
    // through.
    DiscoveryList list =
        text.isEmpty()
            ? DiscoveryList.unchanged(listener.revision())
            : DiscoveryList.parse(JSON.std.mapFrom(text));
    if (!first && list.revision() < spokenRevision) {
      Log.warn("discovery", "left out: revision " + list.revision() + " after " + spokenRevision);
      return;
    }
    spokenRevision = list.revision();
    if (first) {
      log.answered(entry, list);
    }
    listener.spoke(this);
    listener.news(this, list);
  }

  private void ended() throws IOException {
    if (!stream) {
      DiscoveryList list = DiscoveryList.parse(JSON.std.mapFrom(framer.take()));
      close();
      log.answered(entry, list);
      listener.news(this, list);
    } else {
      fail("ended");
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    fail("connection closed");
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    fail(String.valueOf(cause.getMessage()));
  }

  private void silent(long millis) {
    // An agent says nothing while discovery is down, whatever it has begun to say.
    boolean cut = begun && !told && !listener.clock().pushed();
    end("silent for " + millis + " ms", form(cut));
  }

  private ListUpdate form(boolean cut) {
    if (cut) {
      return ListUpdate.TRUNCATED;
    }
    return connected ? ListUpdate.SILENT : ListUpdate.FAILED;
  }

  private void fail(String why) {
    end(why, begun ? ListUpdate.TRUNCATED : ListUpdate.FAILED);
  }

  private void end(String why, ListUpdate how) {
    if (!closed) {
      close();
      log.failed(entry, why, told);
      listener.ended(this, why, how);
    }
  }

  /** Gives it up; nothing is told of it any more. */
  void giveUp(String why) {
    if (!closed) {
      close();
      log.givenUp(entry, why);
    }
  }

  private void close() {
    closed = true;
    if (silence != null) {
      silence.cancel(false);
    }
    Channels.close(channel);
  }
}
