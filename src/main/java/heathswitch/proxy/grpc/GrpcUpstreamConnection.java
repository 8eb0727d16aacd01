package heathswitch.proxy.grpc;

import heathswitch.proxy.http2.MultiplexedConnection;
import heathswitch.proxy.runtime.Clock;
import heathswitch.proxy.spi.Upstream;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http2.Http2ConnectionDecoder;
import io.netty.handler.codec.http2.Http2ConnectionEncoder;
import io.netty.handler.codec.http2.Http2Error;
import io.netty.handler.codec.http2.Http2Settings;
import java.util.ArrayDeque;

/** An HTTP/2 connection to an upstream; each stream on it is one attempt. */
final class GrpcUpstreamConnection extends MultiplexedConnection {
  /**
   * Assumed limit until the SETTINGS of the upstream arrive: the minimum that RFC 9113, section
   * 6.5.2 recommends.
   */
  private static final int DEFAULT_MAX_STREAMS = 100;

  /** Limits how many streams are lost with one connection. */
  private static final int MAX_STREAMS = 250;

  /** A PING is sent when streams are open and nothing was received for this long. */
  private static final long PING_AFTER_SILENCE_NANOS = 2_000_000_000L;

  /**
   * How long the upstream may take to send its first SETTINGS or to acknowledge a PING. Its kernel
   * may still accept connections and TCP segments while the machine hangs.
   */
  private static final long RESPONSE_TIMEOUT_NANOS = 2_000_000_000L;

  /**
   * After this many resets within {@link #RESET_WINDOW_NANOS} the connection accepts no more
   * streams: servers close a connection with too many resets (Netty's do after 200 in 30 s), and
   * all calls on it fail.
   */
  private static final int MAX_RESETS = 100;

  private static final long RESET_WINDOW_NANOS = 30_000_000_000L;

  /**
   * After this many PINGs without headers or data in between, further PINGs are sent only after
   * {@link #PING_INTERVAL_NANOS} of silence. Servers treat more frequent PINGs as abuse and close
   * the connection (gRFC A8: by default at the fourth within 5 minutes), and a quiet stream or a
   * long call would fail because of its keepalive.
   */
  private static final int MAX_FREQUENT_PINGS = 2;

  private static final long PING_INTERVAL_NANOS = 310_000_000_000L;

  private final GrpcConnectionPool pool;
  private final Upstream upstream;
  private final Clock clock;
  private final ArrayDeque<AttemptStream> pending = new ArrayDeque<>();
  private ChannelFuture connecting;
  private boolean ready;
  private boolean draining;
  private int openStreams;
  private int maxStreams = DEFAULT_MAX_STREAMS;
  private long lastReadNanos;
  private long idleSinceNanos;
  private long pingSentNanos;
  private int pingsWithoutData;
  private int resets;
  private long resetWindowStartNanos;

  GrpcUpstreamConnection(
      Http2ConnectionDecoder decoder,
      Http2ConnectionEncoder encoder,
      Http2Settings settings,
      GrpcConnectionPool pool,
      Upstream upstream,
      Clock clock) {
    super(decoder, encoder, settings);
    this.pool = pool;
    this.upstream = upstream;
    this.clock = clock;
    lastReadNanos = clock.nowNanos();
    idleSinceNanos = lastReadNanos;
  }

  Upstream upstream() {
    return upstream;
  }

  void onConnecting(ChannelFuture future) {
    connecting = future;
    future.addListener(
        done -> {
          if (done.isSuccess()) {
            onFrameRead();
          } else {
            onConnectionClosed();
          }
        });
    future.channel().closeFuture().addListener(done -> onConnectionClosed());
  }

  /** Whether another stream may be started on this connection. */
  boolean hasRoom() {
    return !draining && openStreams < maxStreams;
  }

  /** Opens a stream now, or when the connection is ready. */
  void start(AttemptStream stream) {
    openStreams++;
    if (ready) {
      open(stream);
    } else {
      pending.add(stream);
    }
  }

  private void open(AttemptStream stream) {
    if (!stream.isNeeded()) {
      releaseStream();
    } else if (!stream.maySend()) {
      stream.onConnectFailed();
    } else if (!stream.open(clock.nowNanos())) {
      stopNewStreams(); // The stream ids are used up, or a GOAWAY is being processed.
      stream.onConnectFailed();
    }
  }

  /** Resets a stream whose result is no longer needed. */
  void cancel(int id) {
    reset(id, Http2Error.CANCEL);
    long nowNanos = clock.nowNanos();
    if (nowNanos - resetWindowStartNanos > RESET_WINDOW_NANOS) {
      resetWindowStartNanos = nowNanos;
      resets = 0;
    }
    if (++resets == MAX_RESETS) {
      stopNewStreams();
    }
  }

  void releaseStream() {
    if (--openStreams == 0) {
      idleSinceNanos = clock.nowNanos();
      if (draining) {
        connecting.channel().close();
      }
    }
  }

  @Override
  protected void onFrameRead() {
    lastReadNanos = clock.nowNanos();
    upstream.silentSinceNanos = lastReadNanos;
    pingSentNanos = 0;
  }

  @Override
  protected void onHeadersOrDataRead() {
    pingsWithoutData = 0;
  }

  @Override
  protected void onPing(boolean ack, long content) {
    if (ack) {
      onFrameRead();
    }
  }

  /**
   * Opens the pending streams when the first SETTINGS arrive, up to the limit that they set. The
   * remaining ones are moved to other connections.
   */
  @Override
  protected void onSettings(Http2Settings settings) {
    Long maxConcurrentStreams = settings.maxConcurrentStreams();
    if (maxConcurrentStreams != null) {
      maxStreams = (int) Math.min(MAX_STREAMS, maxConcurrentStreams);
    } else if (!ready) {
      maxStreams = MAX_STREAMS;
    }
    if (ready) {
      return;
    }
    ready = true;
    int started = 0;
    while (started < maxStreams && !pending.isEmpty()) {
      open(pending.poll());
      started++;
    }
    while (!pending.isEmpty()) {
      AttemptStream stream = pending.poll();
      openStreams--;
      pool.reassign(stream);
    }
  }

  @Override
  protected void onGoAway() {
    stopNewStreams();
  }

  /** Accepts no new streams, and closes the connection after the last open one. */
  void stopNewStreams() {
    draining = true;
    pool.remove(this);
    if (openStreams == 0) {
      connecting.channel().close();
    }
  }

  /**
   * Closes the connection if it is idle or unresponsive, and sends a PING if answers are
   * outstanding and nothing is received.
   */
  void checkTimeouts(long nowNanos, long idleNanos) {
    if (!ready && nowNanos - lastReadNanos > RESPONSE_TIMEOUT_NANOS) {
      // Accepted, but no SETTINGS received. The pending streams would keep it open forever.
      connecting.channel().close();
    } else if (ready && openStreams == 0 && nowNanos - idleSinceNanos > idleNanos) {
      stopNewStreams();
    } else if (ready
        && openStreams > 0
        && pingSentNanos == 0
        && nowNanos - lastReadNanos > pingDelayNanos()) {
      pingSentNanos = nowNanos;
      pingsWithoutData++;
      writePing(nowNanos);
    } else if (pingSentNanos != 0 && nowNanos - pingSentNanos > RESPONSE_TIMEOUT_NANOS) {
      connecting.channel().close(); // All its streams end without an answer.
    }
  }

  private long pingDelayNanos() {
    return pingsWithoutData < MAX_FREQUENT_PINGS ? PING_AFTER_SILENCE_NANOS : PING_INTERVAL_NANOS;
  }

  private void onConnectionClosed() {
    draining = true;
    pool.onClosed(this);
    while (!pending.isEmpty()) {
      pending.poll().onConnectFailed();
    }
  }
}
