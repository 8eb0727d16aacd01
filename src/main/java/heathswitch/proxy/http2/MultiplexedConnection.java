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
 * An HTTP/2 connection in the client or the server role. Frames go directly from Netty's codec to
 * the handler of their stream, without a child channel per stream or an object per frame; with
 * those, a gRPC call took more event loop time than a call over HTTP/1.1.
 *
 * <p>Flow control: the window of a stream is only returned for bytes that have been processed, so
 * that a slow reader holds back its own sender and no other stream. The window of the connection is
 * refilled automatically; the protocol above must limit the bytes held by all streams together.
 */
public abstract class MultiplexedConnection extends Http2ConnectionHandler {
  /** Initial flow control window of a stream. */
  public static final int STREAM_WINDOW_BYTES = 256 << 10;

  /** Time between the two GOAWAY frames; calls in flight during the first are still accepted. */
  private static final long GOAWAY_GRACE_MILLIS = 550;

  private static final int MAX_EMPTY_FRAMES = 8;
  private static final int MAX_SMALL_CONTINUATIONS = 16;

  /**
   * RST_STREAM frames that a client may send per {@link #RESET_WINDOW_SECONDS}; more counts as a
   * rapid reset attack. The limit is high because a client that cancels or hedges sends one for
   * each call, and closing its connection would lose all its other calls.
   */
  private static final int MAX_RESETS_PER_WINDOW = 2000;

  private static final int RESET_WINDOW_SECONDS = 10;

  /** Receives the events of one stream, on the event loop. */
  public interface StreamHandler {
    void onHeaders(Http2Headers headers, boolean last);

    /**
     * Called for each DATA frame.
     *
     * @param data valid only during the call
     * @return how many bytes of the stream window can be returned at once; the handler returns the
     *     others later with {@link #returnWindow}
     */
    int onData(ByteBuf data, boolean last);

    /** The peer has reset the stream; {@link #onClosed} follows. */
    void onReset(long code);

    /** The stream is closed, for whatever reason. */
    void onClosed(Http2Stream stream);
  }

  /** Creates a connection from the decoder and the encoder of the codec. */
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
   * Builds a connection.
   *
   * @param server whether this side is the server
   * @param maxStreams concurrent streams that the peer may open; ignored for a client
   * @param maxHeaderListBytes limit for the headers of a message, as counted by RFC 9113, section
   *     6.5.2
   * @param neverIndexed names of headers that differ in every message and would evict all other
   *     entries from the HPACK table if they were indexed. Compared by identity.
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
      // Resets are unlimited towards upstreams, which may refuse streams and have streams
      // cancelled.
      // Clients must not be able to cause unlimited resets in either direction.
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

  /** Whether this side can open another stream. */
  public final boolean canOpenStream() {
    return connection().local().canOpenStream() && !connection().goAwayReceived();
  }

  /** Opens a stream with its headers; returns its id, or -1 if that is impossible. */
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

  /** Takes ownership of the data; the future completes when it is written to the socket. */
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

  /** Returns processed bytes to the window of a stream. */
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

  /** Flushes once per turn of the event loop, because each flush is a system call. */
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

  /** Sends GOAWAY with the last accepted stream id; the future completes when it is written. */
  public final ChannelFuture sendGoAway(int lastId, Http2Error error) {
    ChannelFuture writing =
        goAway(ctx, lastId, error.code(), Unpooled.EMPTY_BUFFER, ctx.newPromise());
    ctx.flush();
    return writing;
  }

  /**
   * Sends two GOAWAY frames (RFC 9113, section 6.8): the first with the greatest stream id, so that
   * calls in flight are still accepted, the second with the id of the last stream.
   *
   * @param onSecondGoAway called after the second frame, unless the connection is closed by then
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
      context.channel().close(); // An error of the socket, not of the protocol.
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

  /** Called when the peer opens a stream; returns its handler, or null to ignore the stream. */
  protected StreamHandler onStreamOpened(int id) {
    return null;
  }

  /** Called for every frame except the acknowledgement of a PING. */
  protected void onFrameRead() {}

  /** Called for each HEADERS or DATA frame. */
  protected void onHeadersOrDataRead() {}

  protected void onSettings(Http2Settings settings) {}

  /**
   * Called for a PING or its acknowledgement.
   *
   * @param content the opaque data; an acknowledgement returns the data of the PING
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
