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

/** One connection to an upstream with many streams, each of them an attempt. */
final class UpstreamConnection extends MultiplexedConnection {
  /** Until the upstream's SETTINGS tell, as RFC 9113 section 6.5.2 recommends at least. */
  private static final int STREAMS_UNTOLD = 100;

  /** More than this many on one connection would all be lost with it. */
  private static final int MOST_STREAMS = 250;

  /** With calls out and nothing heard for so long, the upstream is asked by PING. */
  private static final long SILENT_NANOS = 2_000_000_000L;

  /** It has so long to answer that; its kernel may be alive while the machine hangs. */
  private static final long ANSWER_NANOS = 2_000_000_000L;

  /**
   * After so many resets within the time below the connection takes no more calls: servers close
   * one that resets too many (Netty's do after 200 in 30 s), and with it all its calls.
   */
  private static final int MOST_RESETS = 100;

  private static final long RESET_NANOS = 30_000_000_000L;

  /**
   * So often in a row; from then on it is asked only after the time below, until it has sent
   * headers or data. Servers take further PINGs for abuse and close the connection (gRPC's A8: by
   * default the fourth within 5 minutes), and a quiet stream or a long call would be lost by being
   * asked after.
   */
  private static final int MOST_ASKED = 2;

  private static final long PATIENT_NANOS = 310_000_000_000L;

  private final GrpcConnectionPool pool;
  private final Upstream upstream;
  private final Clock clock;
  private final ArrayDeque<AttemptStream> pending = new ArrayDeque<>();
  private ChannelFuture connecting;
  private boolean open;
  private boolean going;
  private int streams;
  private int mostStreams = STREAMS_UNTOLD;
  private long heardNanos;
  private long idleSinceNanos;
  private long pingNanos;
  private int asked;
  private int resets;
  private long resetsSinceNanos;

  UpstreamConnection(
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
    heardNanos = clock.nowNanos();
    idleSinceNanos = heardNanos;
  }

  Upstream upstream() {
    return upstream;
  }

  void dialing(ChannelFuture future) {
    connecting = future;
    future.addListener(
        done -> {
          if (done.isSuccess()) {
            onFrameRead();
          } else {
            closed();
          }
        });
    future.channel().closeFuture().addListener(done -> closed());
  }

  /** Whether another stream may be begun here. */
  boolean hasRoom() {
    return !going && streams < mostStreams;
  }

  /** Begins a stream now, or when the connection is there. */
  void start(AttemptStream stream) {
    streams++;
    if (open) {
      begin(stream);
    } else {
      pending.add(stream);
    }
  }

  private void begin(AttemptStream stream) {
    if (!stream.wanted()) {
      streamDone();
    } else if (!stream.mayBegin()) {
      stream.failed();
    } else if (!stream.begin(clock.nowNanos())) {
      goAway(); // Its ids are used up, or its GOAWAY is just being read.
      stream.failed();
    }
  }

  /** Calls one stream off. */
  void cancel(int id) {
    reset(id, Http2Error.CANCEL);
    long now = clock.nowNanos();
    if (now - resetsSinceNanos > RESET_NANOS) {
      resetsSinceNanos = now;
      resets = 0;
    }
    if (++resets == MOST_RESETS) {
      goAway();
    }
  }

  void streamDone() {
    if (--streams == 0) {
      idleSinceNanos = clock.nowNanos();
      if (going) {
        connecting.channel().close();
      }
    }
  }

  @Override
  protected void onFrameRead() {
    heardNanos = clock.nowNanos();
    upstream.silentSinceNanos = heardNanos;
    pingNanos = 0;
  }

  @Override
  protected void onHeadersOrDataRead() {
    asked = 0;
  }

  @Override
  protected void onPing(boolean answer, long content) {
    if (answer) {
      onFrameRead();
    }
  }

  /**
   * Streams are begun when the first SETTINGS have come, and no more than they allow: those that
   * waited beyond that go to other connections.
   */
  @Override
  protected void onSettings(Http2Settings settings) {
    Long most = settings.maxConcurrentStreams();
    if (most != null) {
      mostStreams = (int) Math.min(MOST_STREAMS, most);
    } else if (!open) {
      mostStreams = MOST_STREAMS;
    }
    if (open) {
      return;
    }
    open = true;
    int begun = 0;
    while (begun < mostStreams && !pending.isEmpty()) {
      begin(pending.poll());
      begun++;
    }
    while (!pending.isEmpty()) {
      AttemptStream stream = pending.poll();
      streams--;
      pool.move(stream);
    }
  }

  @Override
  protected void onGoAway() {
    goAway();
  }

  /** No new streams; those that are on end by themselves. */
  void goAway() {
    going = true;
    pool.forget(this);
    if (streams == 0) {
      connecting.channel().close();
    }
  }

  /**
   * Closes it if it never speaks or is idle for long, and asks by PING if it owes answers and says
   * nothing.
   */
  void tick(long now, long idleNanos) {
    if (!open && now - heardNanos > ANSWER_NANOS) {
      connecting
          .channel()
          .close(); // It accepts and says nothing; its calls would hold it for good.
    } else if (open && streams == 0 && now - idleSinceNanos > idleNanos) {
      goAway();
    } else if (open && streams > 0 && pingNanos == 0 && now - heardNanos > patience()) {
      pingNanos = now;
      asked++;
      writePing(now);
    } else if (pingNanos != 0 && now - pingNanos > ANSWER_NANOS) {
      connecting.channel().close(); // All its streams end as broken ones.
    }
  }

  private long patience() {
    return asked < MOST_ASKED ? SILENT_NANOS : PATIENT_NANOS;
  }

  private void closed() {
    going = true;
    pool.closed(this);
    while (!pending.isEmpty()) {
      pending.poll().failed();
    }
  }
}
