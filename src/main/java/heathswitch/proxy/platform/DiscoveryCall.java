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
 * One HTTP call to discovery on a connection of its own: a watch, or a single fetch of the whole
 * list. Reads the response line by line and ends the call when it is silent for too long.
 */
final class DiscoveryCall extends ChannelInboundHandlerAdapter {
  /** Receives the lists and the end of a call, on the event loop. */
  interface Listener {
    /** The timeouts of calls by the current settings. */
    DiscoveryTimeouts timeouts();

    /** The revision of the current list. */
    long revision();

    /** The call has received its first complete line. */
    void onFirstLine(DiscoveryCall call);

    /** The call has received a list or its changes. */
    void onList(DiscoveryCall call, DiscoveryList list);

    /** Nothing has changed since the previous line. */
    void onConfirmed(DiscoveryCall call);

    /**
     * The call has ended; nothing follows.
     *
     * @param outcome what the end of the call shows about discovery
     */
    void onEnd(DiscoveryCall call, String reason, ListUpdate outcome);
  }

  private static final int MAX_LINE_BYTES = 4 << 20;
  private static final int MAX_STATUS_LINE_BYTES = 4096;
  private static final int MAX_HEADER_BYTES = 16_384;
  private static final int MAX_CHUNK_BYTES = 65_536;

  private final String uri;
  private final boolean watch;

  /** Whether the call asks for the changes since a revision, of which there may be none. */
  private final boolean incremental;

  private final InetSocketAddress address;
  private final EventLoop loop;
  private final DiscoveryCallLog log;
  private final DiscoveryCallLog.Entry logEntry;
  private final Listener listener;
  private final JsonFramer framer = new JsonFramer(MAX_LINE_BYTES);
  private Channel channel;
  private Future<?> silenceTimeout;
  private boolean connected;
  private boolean responseStarted;
  private boolean lineReceived;
  private boolean closed;

  /** The newest revision that this call has received; lists with an older one are ignored. */
  private long newestRevision;

  private DiscoveryCall(
      String uri,
      boolean watch,
      InetSocketAddress address,
      String cause,
      EventLoop loop,
      DiscoveryCallLog log,
      Listener listener) {
    this.uri = uri;
    this.watch = watch;
    this.incremental = listener.revision() >= 0;
    this.address = address;
    this.loop = loop;
    this.log = log;
    this.logEntry = log.start(cause, address, listener.revision());
    this.listener = listener;
  }

  /**
   * Creates a watch: it receives the whole list, or the changes since the current revision, and
   * then every later change.
   *
   * @param cause why the call is made, for the log
   */
  static DiscoveryCall watch(
      InetSocketAddress address,
      String cause,
      EventLoop loop,
      DiscoveryCallLog log,
      Listener listener) {
    String index = listener.revision() >= 0 ? "&index=" + listener.revision() : "";
    return new DiscoveryCall(
        "/discovery/hosts?stream=1" + index, true, address, cause, loop, log, listener);
  }

  /** Creates a call that fetches the whole list once. */
  static DiscoveryCall fetch(
      InetSocketAddress address,
      String cause,
      EventLoop loop,
      DiscoveryCallLog log,
      Listener listener) {
    return new DiscoveryCall("/discovery/hosts", false, address, cause, loop, log, listener);
  }

  /** Connects and sends the request. */
  void start(Bootstrap bootstrap) {
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
                                MAX_STATUS_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES),
                            call);
                  }
                })
            .connect(address);
    channel = connecting.channel();
    restartSilenceTimeout();
    // Always in a later task: a connect that fails at once must not be reported to the module
    // while the module is still asking for the call.
    connecting.addListener(done -> loop.execute(() -> onConnect(connecting)));
  }

  private void onConnect(ChannelFuture connecting) {
    if (!connecting.isSuccess()) {
      Throwable cause = connecting.cause();
      end(
          "cannot connect: " + cause,
          isUnreachable(cause) ? ListUpdate.FAILED : ListUpdate.NOT_SENT);
      return;
    }
    connected = true;
    FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uri);
    request.headers().set(HttpHeaderNames.HOST, address.getHostString() + ":" + address.getPort());
    if (!watch) {
      request.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    channel.writeAndFlush(request);
  }

  /** Whether discovery could not be reached; otherwise the connect failed on this machine. */
  private static boolean isUnreachable(Throwable cause) {
    return cause instanceof ConnectException || cause instanceof NoRouteToHostException;
  }

  boolean isWatch() {
    return watch;
  }

  /** Whether the call was made to this address. */
  boolean isTo(InetSocketAddress other) {
    return address.equals(other);
  }

  /** Only complete lines restart the timeout: a line that drips in byte by byte does not. */
  private void restartSilenceTimeout() {
    if (silenceTimeout != null) {
      silenceTimeout.cancel(false);
    }
    long millis =
        lineReceived
            ? listener.timeouts().lineTimeoutMillis()
            : listener.timeouts().firstLineTimeoutMillis();
    silenceTimeout = loop.schedule(() -> onSilence(millis), millis, MILLISECONDS);
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    try {
      if (!closed) {
        read((HttpObject) message);
      }
    } catch (IOException | RuntimeException e) {
      fail("unreadable: " + DiscoveryList.truncate(String.valueOf(e.getMessage())));
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
    responseStarted |= part instanceof HttpResponse;
    if (part instanceof HttpContent content) {
      readBody(content.content());
      if (part instanceof LastHttpContent && !closed) {
        onResponseEnd();
      }
    }
  }

  private void readBody(ByteBuf bytes) throws IOException {
    while (bytes.isReadable() && !closed) {
      boolean complete = framer.add(bytes.readByte());
      if (complete && watch) {
        onLine(framer.take());
      }
    }
  }

  private void onLine(String line) throws IOException {
    boolean first = !lineReceived;
    if (line.isEmpty() && first && !incremental) {
      return; // The whole list was asked for, and an empty line does not carry it.
    }
    lineReceived = true;
    restartSilenceTimeout();
    log.onLine();
    if (line.isEmpty() && !first) {
      listener.onConfirmed(this);
      return;
    }
    // An empty first line means that nothing has changed; it is passed on as an empty list of
    // changes because the module waits for the answer to its call.
    DiscoveryList list =
        line.isEmpty()
            ? DiscoveryList.unchanged(listener.revision())
            : DiscoveryList.parse(JSON.std.mapFrom(line));
    if (!first && list.revision() < newestRevision) {
      Log.warn(
          "discovery", "ignored revision " + list.revision() + ", older than " + newestRevision);
      return;
    }
    newestRevision = list.revision();
    if (first) {
      log.onAnswer(logEntry, list);
    }
    listener.onFirstLine(this);
    listener.onList(this, list);
  }

  private void onResponseEnd() throws IOException {
    if (!watch) {
      DiscoveryList list = DiscoveryList.parse(JSON.std.mapFrom(framer.take()));
      close();
      log.onAnswer(logEntry, list);
      listener.onList(this, list);
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

  private void onSilence(long millis) {
    // An agent is silent while discovery is down, even after the start of a response.
    boolean cutShort = responseStarted && !lineReceived && !listener.timeouts().pushed();
    end("silent for " + millis + " ms", silenceOutcome(cutShort));
  }

  private ListUpdate silenceOutcome(boolean cutShort) {
    if (cutShort) {
      return ListUpdate.TRUNCATED;
    }
    return connected ? ListUpdate.SILENT : ListUpdate.FAILED;
  }

  private void fail(String reason) {
    end(reason, responseStarted ? ListUpdate.TRUNCATED : ListUpdate.FAILED);
  }

  private void end(String reason, ListUpdate outcome) {
    if (!closed) {
      close();
      log.onFailure(logEntry, reason, lineReceived);
      listener.onEnd(this, reason, outcome);
    }
  }

  /** Ends the call; the listener is not called any more. */
  void cancel(String reason) {
    if (!closed) {
      close();
      log.onCancel(logEntry, reason);
    }
  }

  private void close() {
    closed = true;
    if (silenceTimeout != null) {
      silenceTimeout.cancel(false);
    }
    Channels.close(channel);
  }
}
