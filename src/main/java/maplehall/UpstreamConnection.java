package maplehall;

import static java.util.concurrent.TimeUnit.MILLISECONDS;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import meadowtrack.api.Outcome;

/**
 * One connection to an upstream, with one exchange at a time. It says how each attempt ended, by
 * the protocol's table: whether the request may have run depends on whether its last byte was
 * written, and only an answer that is whole is ever passed on as one.
 */
final class UpstreamConnection extends ChannelInboundHandlerAdapter {
  /** Up to this size an answer is gathered whole before the client sees any of it. */
  static final int GATHERED_BYTES = 64 << 10;

  /** A longer body of an answer that is not served is not worth reading for the connection. */
  private static final int MOST_DISCARDED = 64 << 10;

  private static final long MOST_DISCARD_MILLIS = 1000;

  /** What becomes of an attempt. */
  interface Listener {
    /** The attempt is over; for OK the answer stands ready, unless it was streamed. */
    void ended(LiveRequest.Attempt attempt, Outcome outcome, HttpResponse head, ByteBuf body);

    /** A long answer has begun; false if nobody wants it. */
    boolean streamBegins(LiveRequest.Attempt attempt, HttpResponse head);

    /** The next piece of a long answer, to be released by the receiver. */
    void streamPiece(LiveRequest.Attempt attempt, ByteBuf piece);
  }

  private enum Phase {
    /** No exchange is on. */
    IDLE,
    /** The answer's head has not come. */
    HEAD,
    /** Between an interim answer and the real one. */
    INTERIM,
    /** An answer that may be served is being gathered. */
    GATHER,
    /** It was long and goes on to the client piece by piece. */
    STREAM,
    /** An answer to serve is complete; told once it is clear that nothing follows it. */
    COMPLETE,
    /** The outcome has been told; the rest is read so that the connection can be used again. */
    DISCARD
  }

  final Upstream upstream;
  private final UpstreamPool pool;
  private final Clock clock;
  private Channel channel;
  private Listener listener;
  private LiveRequest.Attempt attempt;
  private Phase phase = Phase.IDLE;
  private boolean written;
  private boolean reusable;
  private boolean closed;
  private HttpResponse head;
  private CompositeByteBuf gathered;
  private int discarded;
  private long idleSinceNanos;
  private long heardNanos;

  UpstreamConnection(UpstreamPool pool, Clock clock, Upstream upstream) {
    this.pool = pool;
    this.clock = clock;
    this.upstream = upstream;
  }

  /** A new connection, with the attempt that it was opened for. */
  void dialing(ChannelFuture connecting, LiveRequest.Attempt first, Listener listener) {
    channel = connecting.channel();
    attempt = first;
    this.listener = listener;
    first.connection = this;
    phase = Phase.HEAD;
    written = false;
    if (connecting.isDone()) {
      dialed(connecting);
    } else {
      connecting.addListener(done -> dialed(connecting));
    }
  }

  private void dialed(ChannelFuture connecting) {
    if (!connecting.isSuccess()) {
      if (connecting.cause() instanceof ConnectTimeoutException) {
        pool.closeIdle(upstream); // What is silent now is silent on those too.
      }
      end(Outcome.CONNECT_FAILED);
      close();
    } else if (attempt != null) {
      write();
    }
  }

  /** The next exchange on an idle connection. */
  void begin(LiveRequest.Attempt next, Listener listener) {
    attempt = next;
    this.listener = listener;
    next.connection = this;
    phase = Phase.HEAD;
    written = false;
    write();
  }

  private void write() {
    reusable = false;
    heardNanos = clock.nowNanos();
    LiveRequest.Attempt now = attempt;
    long left = now.request.deadlineNanos - clock.nowNanos();
    channel
        .writeAndFlush(now.request.forward(left))
        .addListener(
            done -> {
              if (attempt != now) {
                return;
              }
              if (done.isSuccess()) {
                written = true;
              } else {
                broken();
              }
            });
  }

  /** Nobody waits for the attempt any more. */
  void abandon() {
    attempt = null;
    close();
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    try {
      heardNanos = clock.nowNanos();
      upstream.silentSinceNanos = heardNanos;
      if (closed) {
        return;
      }
      HttpObject part = (HttpObject) message;
      if (part.decoderResult().isFailure()) {
        Log.warn("malformed answer", upstream.name + ": " + part.decoderResult().cause());
        broken();
      } else if (phase == Phase.IDLE) {
        Log.warn("unasked bytes", upstream.name + ": connection closed");
        close();
      } else {
        if (part instanceof HttpResponse response) {
          head(response);
        }
        if (part instanceof HttpContent content && !closed) {
          content(content);
        }
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void head(HttpResponse response) {
    int status = response.status().code();
    if (phase == Phase.COMPLETE || phase == Phase.DISCARD) {
      reusable = false; // A second answer to one request.
    } else if (status >= 100 && status < 200 && status != 101) {
      phase = Phase.INTERIM;
    } else if (status == HttpResponseStatus.OK.code()) {
      answer(response);
    } else {
      reusable = written && status != 101 && HttpUtil.isKeepAlive(response) && framed(response);
      phase = Phase.DISCARD;
      discarded = 0;
      end(refused(response) ? Outcome.REFUSED : Outcome.ERROR);
      if (reusable) {
        channel.eventLoop().schedule(this::stopDiscarding, MOST_DISCARD_MILLIS, MILLISECONDS);
      } else {
        close();
      }
    }
  }

  private void stopDiscarding() {
    if (phase == Phase.DISCARD) {
      close();
    }
  }

  /**
   * Only the upstream's word that nothing ran makes a repeat safe; a bare 503 says no such thing.
   */
  private static boolean refused(HttpResponse response) {
    int status = response.status().code();
    return (status == 503 || status == 504)
        && "1".equals(response.headers().get(HeaderRules.NOT_RUN));
  }

  private void answer(HttpResponse response) {
    // An upstream begins when it has the last byte: what comes before that answers something else.
    // Without a length or chunks the end of the connection would be the end of the answer, and one
    // that was cut short would look whole.
    if (!written || !framed(response)) {
      Log.warn("unusable answer", upstream.name + (written ? ": no length" : ": too early"));
      broken();
      return;
    }
    head = response;
    reusable = HttpUtil.isKeepAlive(response);
    phase = Phase.GATHER;
    attempt.firstByteNanos = heardNanos;
    gathered = channel.alloc().compositeBuffer(1024);
    if (HttpUtil.getContentLength(response, 0L) > GATHERED_BYTES) {
      stream();
    }
  }

  private static boolean framed(HttpResponse response) {
    int status = response.status().code();
    return HttpUtil.isContentLengthSet(response)
        || HttpUtil.isTransferEncodingChunked(response)
        || status == 204
        || status == 304;
  }

  private void content(HttpContent content) {
    boolean last = content instanceof LastHttpContent;
    switch (phase) {
      case INTERIM -> phase = last ? Phase.HEAD : phase;
      case GATHER -> gather(content, last);
      case STREAM -> {
        listener.streamPiece(attempt, content.content().retain());
        phase = last ? Phase.COMPLETE : phase;
      }
      case DISCARD -> {
        discarded += content.content().readableBytes();
        if (discarded > MOST_DISCARDED) {
          close();
        } else if (last) {
          settle();
        }
      }
      default -> reusable = false; // More than was asked for; what is complete stays so.
    }
  }

  private void gather(HttpContent content, boolean last) {
    if (content.content().isReadable()) {
      gathered.addComponent(true, compact(content.content()));
    }
    if (last) {
      phase = Phase.COMPLETE;
    } else if (gathered.readableBytes() > GATHERED_BYTES) {
      stream();
    }
  }

  /** A short piece is copied: it would keep the whole buffer that it was read into. */
  private ByteBuf compact(ByteBuf piece) {
    return piece.readableBytes() < 1024 ? Unpooled.copiedBuffer(piece) : piece.retain();
  }

  private void stream() {
    phase = Phase.STREAM;
    ByteBuf sofar = gathered;
    gathered = null;
    if (listener.streamBegins(attempt, head)) {
      listener.streamPiece(attempt, sofar);
    } else {
      sofar.release();
      end(Outcome.CANCELLED);
      close();
    }
  }

  /**
   * Only here is an answer told and its connection given back: a second answer in the same read
   * would otherwise be taken for that of the next request.
   */
  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    if (phase == Phase.COMPLETE && !closed) {
      ByteBuf body = gathered;
      gathered = null;
      LiveRequest.Attempt served = attempt;
      attempt = null;
      settle();
      if (served != null) {
        listener.ended(served, Outcome.OK, head, body);
      }
    }
  }

  /** The connection goes back, unless one of the sides wants it closed. */
  private void settle() {
    if (reusable && channel.isActive()) {
      phase = Phase.IDLE;
      idleSinceNanos = clock.nowNanos();
      channel.config().setAutoRead(true);
      pool.giveBack(this);
    } else {
      close();
    }
  }

  /** The connection broke or talks nonsense; before the last byte was written nothing can run. */
  private void broken() {
    LiveRequest.Attempt over = attempt;
    attempt = null;
    close();
    if (over != null) {
      listener.ended(over, written ? Outcome.RESET : Outcome.CONNECT_FAILED, null, null);
    }
  }

  private void end(Outcome outcome) {
    LiveRequest.Attempt over = attempt;
    attempt = null;
    if (over != null) {
      listener.ended(over, outcome, null, null);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    broken();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (!(cause instanceof java.io.IOException)) {
      Log.error("upstream connection", upstream.name, cause);
    }
    broken();
  }

  void close() {
    if (closed) {
      return;
    }
    closed = true;
    pool.forget(this);
    if (gathered != null) {
      gathered.release();
      gathered = null;
    }
    channel.close();
  }

  /**
   * Whether an idle connection may carry another request. Its socket is read first: a connection
   * that the other side has closed, or on which unasked bytes wait, must not get one.
   */
  boolean stillGood(long idleBeforeNanos) {
    if (idleSinceNanos < idleBeforeNanos || !channel.isActive()) {
      return false;
    }
    ((AbstractNioChannel.NioUnsafe) channel.unsafe()).read();
    return !closed && channel.isActive();
  }

  long idleSinceNanos() {
    return idleSinceNanos;
  }

  /** When the upstream last said something, for streams that stall. */
  long heardNanos() {
    return heardNanos;
  }

  /** Backpressure from a client that reads a long answer slowly. */
  void mayRead(boolean may) {
    if (!closed) {
      channel.config().setAutoRead(may);
      heardNanos = clock.nowNanos();
    }
  }
}
