package heathswitch.proxy.http2;

import static java.util.concurrent.TimeUnit.MILLISECONDS;

import heathswitch.proxy.runtime.Log;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http2.AbstractHttp2ConnectionHandlerBuilder;
import io.netty.handler.codec.http2.DefaultHttp2Connection;
import io.netty.handler.codec.http2.DefaultHttp2LocalFlowController;
import io.netty.handler.codec.http2.DefaultHttp2RemoteFlowController;
import io.netty.handler.codec.http2.Http2CodecUtil;
import io.netty.handler.codec.http2.Http2Connection;
import io.netty.handler.codec.http2.Http2ConnectionAdapter;
import io.netty.handler.codec.http2.Http2ConnectionDecoder;
import io.netty.handler.codec.http2.Http2ConnectionEncoder;
import io.netty.handler.codec.http2.Http2ConnectionHandler;
import io.netty.handler.codec.http2.Http2Error;
import io.netty.handler.codec.http2.Http2Exception;
import io.netty.handler.codec.http2.Http2FrameAdapter;
import io.netty.handler.codec.http2.Http2Headers;
import io.netty.handler.codec.http2.Http2Settings;
import io.netty.handler.codec.http2.Http2Stream;
import io.netty.handler.codec.http2.UniformStreamByteDistributor;
import java.util.Set;
import java.util.function.Consumer;

/**
 * One HTTP/2 connection, of either side. Frames go from Netty's codec straight to the handler of
 * their stream, without a channel or an object for each: that is what made a gRPC call cost more of
 * the loop than one over HTTP/1.1.
 *
 * <p>A stream's window is given back only for bytes that have been used up, so that a slow reader
 * holds back its sender and nobody else: the connection's own window refills by itself, and what
 * all streams hold together is for the protocol above to bound.
 */
public abstract class MultiplexedConnection extends Http2ConnectionHandler {
  /** What the other side may send ahead on a stream. */
  public static final int STREAM_WINDOW_BYTES = 256 << 10;

  /** Between the two steps of a GOAWAY: calls that cross the first are still taken. */
  private static final long GOAWAY_GRACE_MILLIS = 550;

  private static final int MAX_EMPTY_FRAMES = 8;
  private static final int MAX_SMALL_CONTINUATIONS = 16;

  /**
   * Resets that a client may send within the window below: more is a rapid reset. A client that
   * gives up or hedges sends one for each call, and losing its connection would lose all others.
   */
  private static final int MAX_RESETS_PER_WINDOW = 2000;

  private static final int RESET_WINDOW_SECONDS = 10;

  /** What a stream is for. All calls come on the loop. */
  public interface StreamHandler {
    void onHeaders(Http2Headers headers, boolean last);

    /**
     * A piece of data, valid during the call.
     *
     * @return bytes of its window that are used up already; the others are given back by {@link
     *     Link#consume}
     */
    int onData(ByteBuf data, boolean last);

    /** The other side has reset the stream; {@link #onClosed} follows. */
    void onReset(long code);

    /** The stream is gone, in whatever way. */
    void onClosed(Http2Stream stream);
  }

  /** Makes a connection's handler from the codec's two halves. */
  public interface Factory<T extends MultiplexedConnection> {
    T create(
        Http2ConnectionDecoder decoder, Http2ConnectionEncoder encoder, Http2Settings settings);
  }

  private final Http2Connection.PropertyKey handlerKey;
  private ChannelHandlerContext ctx;
  private boolean flushScheduled;

  protected MultiplexedConnection(
      Http2ConnectionDecoder decoder, Http2ConnectionEncoder encoder, Http2Settings settings) {
    super(decoder, encoder, settings);
    handlerKey = connection().newKey();
    decoder.frameListener(new FrameListener());
    connection()
        .addListener(
            new Http2ConnectionAdapter() {
              @Override
              public void onStreamClosed(Http2Stream stream) {
                StreamHandler handler = stream.getProperty(handlerKey);
                if (handler != null) {
                  handler.onClosed(stream);
                }
              }
            });
  }

  /**
   * Puts a connection together.
   *
   * @param mostStreams that the other side may have open at a time; of no matter for a client
   * @param mostHeaders bytes of the headers of one message, as RFC 9113 section 6.5.2 counts them
   * @param changing names of headers that are another in every message: indexed, they would push
   *     all else out of the table. Compared by identity.
   */
  public static <T extends MultiplexedConnection> T build(
      boolean server,
      int maxStreams,
      int maxHeaderListBytes,
      Set<? extends CharSequence> neverIndexed,
      Factory<T> factory) {
    Http2Settings settings =
        Http2Settings.defaultSettings()
            .initialWindowSize(STREAM_WINDOW_BYTES)
            .maxHeaderListSize(maxHeaderListBytes);
    if (server) {
      settings.maxConcurrentStreams(maxStreams);
    } else {
      settings.pushEnabled(false);
    }
    return new Builder<>(server, settings, neverIndexed, factory).build();
  }

  private static final class Builder<T extends MultiplexedConnection>
      extends AbstractHttp2ConnectionHandlerBuilder<T, Builder<T>> {
    private final Factory<T> factory;

    Builder(
        boolean server,
        Http2Settings settings,
        Set<? extends CharSequence> neverIndexed,
        Factory<T> factory) {
      this.factory = factory;
      Http2Connection connection = new DefaultHttp2Connection(server);
      connection
          .local()
          .flowController(
              new DefaultHttp2LocalFlowController(
                  connection, DefaultHttp2LocalFlowController.DEFAULT_WINDOW_UPDATE_RATIO, true));
      connection
          .remote()
          .flowController(
              new DefaultHttp2RemoteFlowController(
                  connection, new UniformStreamByteDistributor(connection)));
      connection(connection);
      initialSettings(settings);
      gracefulShutdownTimeoutMillis(0);
      decoderEnforceMaxConsecutiveEmptyDataFrames(MAX_EMPTY_FRAMES);
      decoderEnforceMaxSmallContinuationFrames(MAX_SMALL_CONTINUATIONS);
      // An upstream may refuse and be told to stop as many streams as it takes; a client may make
      // neither side send resets without end.
      int resets = server ? MAX_RESETS_PER_WINDOW : 0;
      decoderEnforceMaxRstFramesPerWindow(resets, RESET_WINDOW_SECONDS);
      encoderEnforceMaxRstFramesPerWindow(resets, RESET_WINDOW_SECONDS);
      headerSensitivityDetector(
          (name, value) -> {
            for (CharSequence header : neverIndexed) {
              if (header == name) {
                return true;
              }
            }
            return false;
          });
    }

    @Override
    public T build() {
      return super.build();
    }

    @Override
    protected T build(
        Http2ConnectionDecoder decoder, Http2ConnectionEncoder encoder, Http2Settings settings) {
      return factory.create(decoder, encoder, settings);
    }
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) throws Exception {
    ctx = context;
    super.handlerAdded(context);
  }

  public final ChannelHandlerContext context() {
    return ctx;
  }

  /** Whether another stream may be opened from this side. */
  public final boolean canOpenStream() {
    return connection().local().canOpenStream() && !connection().goAwayReceived();
  }

  /** Opens a stream with its headers; its id, or -1 where none could be had and nothing is sent. */
  public final int openStream(StreamHandler handler, Http2Headers headers, boolean last) {
    int id = canOpenStream() ? connection().local().incrementAndGetNextStreamId() : -1;
    if (id <= 0) {
      return -1;
    }
    encoder().writeHeaders(ctx, id, headers, 0, last, ctx.newPromise());
    Http2Stream stream = connection().stream(id);
    if (stream == null) {
      return -1;
    }
    stream.setProperty(handlerKey, handler);
    scheduleFlush();
    return id;
  }

  public final ChannelFuture writeHeaders(int id, Http2Headers headers, boolean last) {
    scheduleFlush();
    return encoder().writeHeaders(ctx, id, headers, 0, last, ctx.newPromise());
  }

  /** Takes over the data; done when it has been written to the socket. */
  public final ChannelFuture writeData(int id, ByteBuf data, boolean last) {
    scheduleFlush();
    return encoder().writeData(ctx, id, data, 0, last, ctx.newPromise());
  }

  public final void reset(int id, Http2Error error) {
    if (connection().stream(id) != null) {
      scheduleFlush();
      resetStream(ctx, id, error.code(), ctx.newPromise());
    }
  }

  public final void writePing(long content) {
    scheduleFlush();
    encoder().writePing(ctx, false, content, ctx.newPromise());
  }

  /** Bytes of a stream's window have been used up. */
  public final void returnWindow(int id, int bytes) {
    Http2Stream stream = connection().stream(id);
    if (stream == null || bytes == 0) {
      return;
    }
    try {
      if (connection().local().flowController().consumeBytes(stream, bytes)) {
        scheduleFlush();
      }
    } catch (Http2Exception e) {
      onError(ctx, true, e);
    }
  }

  /** One flush for all that is written in a turn of the loop: each alone is a system call. */
  private void scheduleFlush() {
    if (!flushScheduled) {
      flushScheduled = true;
      ctx.executor().execute(this::flushNow);
    }
  }

  private void flushNow() {
    flushScheduled = false;
    flush(ctx);
  }

  public final void close() {
    ctx.close();
  }

  /** Says that no stream after this one is taken; done when it is written. */
  public final ChannelFuture sendGoAway(int lastId, Http2Error error) {
    ChannelFuture writing =
        goAway(ctx, lastId, error.code(), Unpooled.EMPTY_BUFFER, ctx.newPromise());
    ctx.flush();
    return writing;
  }

  /**
   * GOAWAY in two steps (RFC 9113, section 6.8): first with the greatest id, so that calls on their
   * way are still taken, then with that of the last one.
   *
   * @param left called after the second step, unless the connection is closed by then
   */
  public final void sendGracefulGoAway(Runnable onSecondGoAway) {
    sendGoAway(Integer.MAX_VALUE, Http2Error.NO_ERROR);
    ctx.executor()
        .schedule(
            () -> {
              if (ctx.channel().isActive()) {
                sendGoAway(connection().remote().lastStreamCreated(), Http2Error.NO_ERROR);
                onSecondGoAway.run();
              }
            },
            GOAWAY_GRACE_MILLIS,
            MILLISECONDS);
  }

  public final void forEachStreamHandler(Consumer<StreamHandler> action) {
    try {
      connection()
          .forEachActiveStream(
              stream -> {
                StreamHandler handler = stream.getProperty(handlerKey);
                if (handler != null) {
                  action.accept(handler);
                }
                return true;
              });
    } catch (Http2Exception e) {
      onError(ctx, true, e);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) throws Exception {
    if (Http2CodecUtil.getEmbeddedHttp2Exception(cause) == null) {
      context.channel().close(); // Its socket is broken.
    } else {
      super.exceptionCaught(context, cause);
    }
  }

  @Override
  protected void onConnectionError(
      ChannelHandlerContext context, boolean outbound, Throwable cause, Http2Exception known) {
    if (known == null) {
      Log.error("HTTP/2 connection", "closed", cause);
    } else {
      Log.info("HTTP/2 connection", "closed: " + known.getMessage());
    }
    super.onConnectionError(context, outbound, cause, known);
  }

  /** The first headers of a stream that the other side opens; null turns the frame down. */
  protected StreamHandler onStreamOpened(int id) {
    return null;
  }

  /** Any frame has come but the answer to a PING. */
  protected void onFrameRead() {}

  /** Headers or data have come. */
  protected void onHeadersOrDataRead() {}

  protected void onSettings(Http2Settings settings) {}

  /**
   * A PING has come, or the answer to one.
   *
   * @param content what it carries; an answer brings back what was sent
   */
  protected void onPing(boolean ack, long content) {}

  protected void onGoAway() {}

  private final class FrameListener extends Http2FrameAdapter {
    @Override
    public void onHeadersRead(
        ChannelHandlerContext context,
        int id,
        Http2Headers headers,
        int dependency,
        short weight,
        boolean exclusive,
        int padding,
        boolean last) {
      onHeadersRead(context, id, headers, padding, last);
    }

    @Override
    public void onHeadersRead(
        ChannelHandlerContext context, int id, Http2Headers headers, int padding, boolean last) {
      onFrameRead();
      onHeadersOrDataRead();
      Http2Stream stream = connection().stream(id);
      StreamHandler handler = stream.getProperty(handlerKey);
      if (handler == null) {
        handler = onStreamOpened(id);
        stream.setProperty(handlerKey, handler);
      }
      if (handler != null) {
        handler.onHeaders(headers, last);
      }
    }

    @Override
    public int onDataRead(
        ChannelHandlerContext context, int id, ByteBuf data, int padding, boolean last) {
      onFrameRead();
      onHeadersOrDataRead();
      StreamHandler handler = connection().stream(id).getProperty(handlerKey);
      return padding + (handler == null ? data.readableBytes() : handler.onData(data, last));
    }

    @Override
    public void onRstStreamRead(ChannelHandlerContext context, int id, long code) {
      onFrameRead();
      StreamHandler handler = connection().stream(id).getProperty(handlerKey);
      if (handler != null) {
        handler.onReset(code);
      }
    }

    @Override
    public void onSettingsRead(ChannelHandlerContext context, Http2Settings settings) {
      onFrameRead();
      onSettings(settings);
    }

    @Override
    public void onPingRead(ChannelHandlerContext context, long data) {
      onFrameRead();
      onPing(false, data);
    }

    @Override
    public void onPingAckRead(ChannelHandlerContext context, long data) {
      onPing(true, data);
    }

    @Override
    public void onWindowUpdateRead(ChannelHandlerContext context, int id, int increment) {
      onFrameRead();
    }

    @Override
    public void onGoAwayRead(ChannelHandlerContext context, int lastId, long code, ByteBuf debug) {
      onFrameRead();
      onGoAway();
    }
  }
}
