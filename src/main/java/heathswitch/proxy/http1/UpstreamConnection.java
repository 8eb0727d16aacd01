package heathswitch.proxy.http1;

import static java.util.concurrent.TimeUnit.MILLISECONDS;

import heathswitch.policy.api.Outcome;
import heathswitch.proxy.runtime.Channels;
import heathswitch.proxy.runtime.Clock;
import heathswitch.proxy.runtime.Log;
import heathswitch.proxy.spi.Attempt;
import heathswitch.proxy.spi.Upstream;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;

/**
 * One connection to an upstream, with one exchange at a time. It says how each attempt ended, by
 * the protocol's table: whether the request may have run depends on whether its last byte was
 * written, and only an answer that is whole is ever passed on as one.
 */
final class UpstreamConnection extends ChannelInboundHandlerAdapter
    implements Attempt.Exchange, StreamedAnswerSource {
  /**
   * A longer answer is spoilt, or broken off where it does not say how long it is. Upstreams send
   * up to 32 MB.
   */
  static final long MOST_BODY_BYTES = 48L << 20;

  /**
   * An answer is gathered up to this size, so that one that breaks can be tried again. A longer one
   * goes on as it comes: memory holds only a few of them.
   */
  static final int GATHERED_BYTES = 64 << 10;

  /**
   * So long after its first byte an answer that still comes goes on, however little there is: its
   * client is owed what the upstream gives. Until then it could be tried again.
   */
  static final long HELD_BACK_MILLIS = 1000;

  /**
   * An answer that has begun and of which nothing came for so long will never be complete. Guards
   * against heads and bodies that stop short on a connection that stays open, and ought to against
   * a machine that dies while it writes. Would do harm to an upstream that pauses while it sends.
   */
  static final long ANSWER_MILLIS = 500;

  /** The same for an answer that goes on, which cannot be had in any other way. */
  static final long PASSED_MILLIS = 6000;

  /** A longer body of an answer that is not served is not worth reading for the connection. */
  private static final int MOST_DISCARDED = 64 << 10;

  private static final long MOST_DISCARD_MILLIS = 1000;

  /** So many connections in a row that do not come up in time are a machine that is cut off. */
  private static final int SILENT_DIALS = 2;

  private enum Phase {
    /** No exchange is on. */
    IDLE,
    /** The answer's head has not come. */
    HEAD,
    /** Between an interim answer and the real one. */
    INTERIM,
    /** An answer that may be served is being gathered. */
    GATHER,
    /** An answer to serve is complete; told once it is clear that nothing follows it. */
    COMPLETE,
    /** An answer goes on to the client as it comes; its outcome has been told. */
    PASS,
    /** All of such an answer has come. */
    PASSED,
    /** The outcome has been told; the rest is read so that the connection can be used again. */
    DISCARD
  }

  final Upstream upstream;
  private final UpstreamConnectionPool pool;
  private final Clock clock;
  final StrictResponseDecoder decoder = new StrictResponseDecoder();
  private Channel channel;
  private Attempt attempt;
  private HttpPayload payload;
  private Phase phase = Phase.IDLE;
  private boolean dialing;
  private Future<?> dialTimeout;
  private boolean written;
  private boolean reusable;
  private boolean closed;
  private HttpResponse head;
  private CompositeByteBuf gathered;
  private int discarded;
  private long idleSinceNanos;
  private int readsBefore;
  private int readsAtInterim;
  private boolean interim;
  private Future<?> stall;
  private int readsAtStall;
  private long begunNanos;
  private long passed;
  private StreamedAnswerSink client;
  private boolean paused;

  public UpstreamConnection(UpstreamConnectionPool pool, Clock clock, Upstream upstream) {
    this.pool = pool;
    this.clock = clock;
    this.upstream = upstream;
  }

  /** A new connection, with the attempt that it was opened for. */
  public void dialing(ChannelFuture connecting, Attempt first, HttpPayload what) {
    payload = what;
    channel = connecting.channel();
    attempt = first;
    first.attach(this);
    phase = Phase.HEAD;
    written = false;
    if (connecting.isDone()) {
      dialed(connecting);
    } else {
      dialing = true;
      dialTimeout =
          channel.eventLoop().schedule(this::dialTimedOut, pool.dialMillis(), MILLISECONDS);
      connecting.addListener(done -> dialed(connecting));
    }
  }

  /**
   * The attempt is over; the connection is not. One that comes up late is as good as any, and where
   * many do, to open each anew would find most of them late again.
   */
  private void dialTimedOut() {
    dialTimeout = null;
    if (upstream.recordDialTimeout() >= SILENT_DIALS) {
      pool.closeSilent(upstream); // What is silent now is silent on those too.
    }
    pool.comesLate(this);
    end(Outcome.CONNECT_FAILED);
  }

  private void dialed(ChannelFuture connecting) {
    dialing = false;
    if (dialTimeout != null) {
      dialTimeout.cancel(false);
      dialTimeout = null;
    }
    if (!connecting.isSuccess()) {
      end(Outcome.CONNECT_FAILED);
      close();
    } else if (attempt != null) {
      write();
    } else if (!closed) {
      upstream.recordHeard(clock.nowNanos());
      reusable = true;
      settle();
    }
  }

  /** The next exchange on an idle connection. */
  public void begin(Attempt next, HttpPayload what) {
    payload = what;
    attempt = next;
    next.attach(this);
    phase = Phase.HEAD;
    written = false;
    write();
  }

  private void write() {
    reusable = false;
    readsBefore = decoder.reads();
    interim = false;
    Attempt now = attempt;
    if (!now.maySend()) {
      end(Outcome.MOOT);
      close();
      return;
    }
    long left = now.deadlineNanos() - clock.nowNanos();
    StreamedRequestBody upload = payload.upload();
    if (upload == null) {
      writtenWith(channel.writeAndFlush(payload.forward(left)), now);
    } else {
      channel.write(payload.forwardHead(left));
      upload.attach(this);
    }
  }

  private void writtenWith(ChannelFuture last, Attempt now) {
    last.addListener(
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

  /** A piece of a long body, which it takes over; false where the upstream is to be given time. */
  boolean more(ByteBuf piece, boolean last) {
    if (closed || attempt == null) {
      piece.release();
      return true;
    }
    if (last) {
      writtenWith(channel.writeAndFlush(new DefaultLastHttpContent(piece)), attempt);
    } else {
      channel.writeAndFlush(new DefaultHttpContent(piece));
    }
    return channel.isWritable();
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    if (attempt != null && payload.upload() != null && channel.isWritable()) {
      payload.upload().writable(this);
    }
  }

  @Override
  public void cancel() {
    attempt = null;
    if (dialing && !closed) {
      pool.comesLate(this);
    } else {
      close();
    }
  }

  // ---- an answer that goes on as it comes ----

  @Override
  public void setPaused(boolean pause) {
    if (phase == Phase.PASS && paused != pause) {
      paused = pause;
      channel.config().setAutoRead(!pause);
    }
  }

  @Override
  public void clientDisconnected() {
    if (phase == Phase.PASS || phase == Phase.PASSED) {
      client = null;
      close();
    }
  }

  /** False if the answer has no client any more; the connection is closed then. */
  private boolean startPassing() {
    Attempt begun = attempt;
    if (!begun.beginStreaming() || closed) {
      attempt = null;
      close();
      return false;
    }
    attempt = null;
    noStall();
    phase = Phase.PASS;
    passed = gathered.readableBytes();
    client = payload.sink();
    client.answerStarted(head, this);
    if (gathered.isReadable()) {
      client.answerData(gathered);
    } else {
      gathered.release();
    }
    gathered = null;
    // Its work is done and its place free; how long the rest takes is between it and the client.
    begun.complete(Outcome.OK, null);
    watchPassing();
    return !closed;
  }

  private void passOn(HttpContent content, boolean last) {
    passed += content.content().readableBytes();
    if (passed > MOST_BODY_BYTES) {
      spoilt("too long");
      return;
    }
    if (content.content().isReadable()) {
      client.answerData(compact(content.content()));
    }
    if (last) {
      phase = Phase.PASSED;
    }
  }

  private void watchPassing() {
    readsAtStall = decoder.reads();
    stall =
        channel
            .eventLoop()
            .schedule(
                () -> {
                  stall = null;
                  if (phase != Phase.PASS) {
                    return;
                  }
                  if (!paused && decoder.reads() == readsAtStall) {
                    spoilt("it stopped short");
                  } else {
                    watchPassing();
                  }
                },
                PASSED_MILLIS,
                MILLISECONDS);
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    try {
      upstream.recordHeard(clock.nowNanos());
      if (closed) {
        return;
      }
      HttpObject part = (HttpObject) message;
      if (phase == Phase.COMPLETE || phase == Phase.PASSED) {
        tooMuch(); // What is complete stays so.
      } else if (part.decoderResult().isFailure()) {
        spoilt("malformed: " + part.decoderResult().cause());
      } else if (phase == Phase.IDLE) {
        Log.warn("unasked bytes", upstream.name + ": connection closed", "server", upstream.name);
        tooMuch();
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
    if (phase == Phase.DISCARD) {
      tooMuch(); // A second answer to one request.
    } else if (status >= 100 && status < 200 && status != 101) {
      phase = Phase.INTERIM;
    } else if (status == HttpResponseStatus.OK.code()) {
      answer(response);
    } else {
      reusable = written && status != 101 && HttpUtil.isKeepAlive(response) && framed(response);
      phase = Phase.DISCARD;
      discarded = 0;
      end(refusedOrFailed(response));
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
  private static Outcome refusedOrFailed(HttpResponse response) {
    int status = response.status().code();
    if ((status == 503 || status == 504)
        && "1".equals(response.headers().get(HeaderRules.NOT_RUN))) {
      return Outcome.REFUSED;
    }
    return status >= 400 && status < 500 ? Outcome.BAD_REQUEST : Outcome.ERROR;
  }

  private void answer(HttpResponse response) {
    // An upstream begins when it has the last byte: what comes before that answers something else.
    if (!written || unclear(response)) {
      spoilt(written ? "unclear framing" : "too early");
      return;
    }
    if (HttpUtil.getContentLength(response, 0L) > MOST_BODY_BYTES) {
      spoilt("too long: " + HttpUtil.getContentLength(response));
      return;
    }
    head = response;
    // One that ends with its connection is whole if the connection ends in order, and only then.
    reusable = HttpUtil.isKeepAlive(response) && framed(response);
    phase = Phase.GATHER;
    begunNanos = clock.nowNanos();
    gathered = channel.alloc().compositeBuffer(1024);
  }

  private static boolean unclear(HttpResponse response) {
    return response.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)
        && !HttpUtil.isTransferEncodingChunked(response);
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
      case INTERIM -> {
        if (last) {
          phase = Phase.HEAD;
          interim = true;
          readsAtInterim = decoder.reads();
        }
      }
      case GATHER -> gather(content, last);
      case PASS -> passOn(content, last);
      case DISCARD -> {
        discarded += content.content().readableBytes();
        if (discarded > MOST_DISCARDED) {
          close();
        } else if (last) {
          settle();
        }
      }
      default -> tooMuch(); // What is complete stays so.
    }
  }

  private void gather(HttpContent content, boolean last) {
    if (content.content().isReadable()) {
      gathered.addComponent(true, compact(content.content()));
    }
    boolean goesOn =
        gathered.readableBytes() > GATHERED_BYTES
            || HttpUtil.getContentLength(head, 0L) > GATHERED_BYTES && gathered.isReadable();
    if (goesOn && !startPassing()) {
      return;
    }
    if (last) {
      phase = phase == Phase.PASS ? Phase.PASSED : Phase.COMPLETE;
    }
  }

  /** A short piece is copied: it would keep the whole buffer that it was read into. */
  private ByteBuf compact(ByteBuf piece) {
    return piece.readableBytes() < 1024 ? Unpooled.copiedBuffer(piece) : piece.retain();
  }

  /**
   * Only here is an answer told and its connection given back: a second answer in the same read
   * would otherwise be taken for that of the next request.
   */
  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    if (closed) {
      return;
    }
    boolean came = decoder.reads() != readsBefore;
    if (phase == Phase.IDLE && came) {
      tooMuch();
      close(); // Bytes that nobody asked for, even if they make no message yet.
    } else if (phase == Phase.HEAD && betweenMessages()) {
      noStall(); // Interim answers came whole; the real one may take its time.
    } else if (came && attempt != null && phase != Phase.COMPLETE && stall == null) {
      watchForStall();
    }
    if (phase == Phase.PASS) {
      client.answerFlush();
    } else if (phase == Phase.PASSED) {
      checkLeftovers();
      StreamedAnswerSink to = client;
      client = null;
      settle();
      to.answerEnd();
      return;
    }
    if (phase == Phase.COMPLETE) {
      checkLeftovers();
      ByteBuf body = gathered;
      gathered = null;
      Attempt served = attempt;
      attempt = null;
      settle();
      if (served != null) {
        served.complete(Outcome.OK, new HttpAnswer(head, body));
      }
    }
  }

  private void checkLeftovers() {
    if (decoder.leftovers()) {
      tooMuch();
    }
  }

  /** More came than belongs to an answer. */
  private void tooMuch() {
    reusable = false;
    pool.sawMore();
  }

  private void watchForStall() {
    Attempt begun = attempt;
    readsAtStall = decoder.reads();
    stall = channel.eventLoop().schedule(() -> stalled(begun), ANSWER_MILLIS, MILLISECONDS);
  }

  private void stalled(Attempt begun) {
    stall = null;
    if (attempt != begun || phase == Phase.COMPLETE) {
      return;
    }
    if (decoder.reads() == readsAtStall) {
      spoilt("it stopped short");
    } else if (phase == Phase.GATHER
        && gathered.isReadable()
        && clock.nowNanos() - begunNanos >= HELD_BACK_MILLIS * 1_000_000L) {
      if (startPassing()) {
        client.answerFlush();
      }
    } else {
      watchForStall();
    }
  }

  private boolean betweenMessages() {
    return interim && decoder.reads() == readsAtInterim && !decoder.leftovers();
  }

  private void noStall() {
    if (stall != null) {
      stall.cancel(false);
      stall = null;
    }
  }

  /** The connection goes back, unless one of the sides wants it closed. */
  private void settle() {
    noStall();
    readsBefore = decoder.reads();
    if (reusable && channel.isActive()) {
      phase = Phase.IDLE;
      payload = null;
      paused = false;
      idleSinceNanos = clock.nowNanos();
      channel.config().setAutoRead(true);
      pool.giveBack(this);
    } else {
      close();
    }
  }

  /**
   * An answer came that is none. The request has run for all that is known, and its upstream is not
   * cut off: it answers, and what spoils one upstream's answers may spoil every one's. The module
   * counts it as an error, which is judged against the upstream's peers.
   */
  private void spoilt(String why) {
    Log.warn("spoilt answer", upstream.name + ": " + why, "server", upstream.name, "reason", why);
    Attempt over = attempt;
    attempt = null;
    close();
    if (over != null) {
      over.complete(Outcome.ERROR, null);
    }
  }

  /** The connection broke; before the last byte was written nothing can run. */
  private void broken() {
    if (phase == Phase.PASS && !closed) {
      spoilt("it broke off");
      return;
    }
    Attempt over = attempt;
    attempt = null;
    close();
    if (over != null) {
      over.complete(written ? Outcome.RESET : Outcome.CONNECT_FAILED, null);
    }
  }

  private void end(Outcome outcome) {
    Attempt over = attempt;
    attempt = null;
    if (over != null) {
      over.complete(outcome, null);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    broken();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (!(cause instanceof java.io.IOException)) {
      Log.error("upstream connection", upstream.name, cause, "server", upstream.name);
    }
    broken();
  }

  public void close() {
    if (closed) {
      return;
    }
    closed = true;
    noStall();
    if (dialTimeout != null) {
      dialTimeout.cancel(false);
      dialTimeout = null;
    }
    if (payload != null && payload.upload() != null) {
      payload.upload().detach(this);
    }
    if (client != null) {
      StreamedAnswerSink cut = client;
      client = null;
      cut.answerAborted();
    }
    pool.forget(this);
    if (gathered != null) {
      gathered.release();
      gathered = null;
    }
    Channels.close(channel);
  }

  /**
   * Whether an idle connection may carry another request. Its socket is read first: a connection
   * that the other side has closed, or on which unasked bytes wait, must not get one.
   */
  public boolean stillGood(long idleBeforeNanos) {
    if (idleSinceNanos < idleBeforeNanos || !channel.isActive()) {
      return false;
    }
    ((AbstractNioChannel.NioUnsafe) channel.unsafe()).read();
    return !closed && channel.isActive();
  }

  public long idleSinceNanos() {
    return idleSinceNanos;
  }
}
