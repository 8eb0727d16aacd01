package heathswitch.proxy.http1;

import static java.util.concurrent.TimeUnit.MILLISECONDS;
import static java.util.concurrent.TimeUnit.NANOSECONDS;

import heathswitch.policy.api.Outcome;
import heathswitch.proxy.runtime.Channels;
import heathswitch.proxy.runtime.Clock;
import heathswitch.proxy.runtime.Log;
import heathswitch.proxy.spi.Attempt;
import heathswitch.proxy.spi.Upstream;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
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
 * A connection to an upstream that carries one exchange at a time and reports the outcome of each
 * attempt. Whether a request may have run depends on whether its last byte was written; an answer
 * counts as complete only if all of it was received.
 */
final class UpstreamConnection extends ChannelInboundHandlerAdapter
    implements Attempt.Exchange, StreamedAnswerSource, MemoryBudget.Holder {
  /**
   * A longer answer is treated as invalid, or aborted if it was already being streamed without a
   * declared length. Upstreams send up to 32 MB.
   */
  static final long MAX_BODY_BYTES = 48L << 20;

  /**
   * Answers up to this size are buffered, so that the request can be retried if the answer breaks
   * off. Longer ones are streamed, because memory can hold only a few of them.
   */
  static final int MAX_BUFFERED_BYTES = 64 << 10;

  /**
   * An incomplete answer is streamed from this long after its first byte, however short it is, so
   * that the client gets what the upstream sends. Until then the request can be retried.
   */
  static final long MAX_BUFFERING_MILLIS = 1000;

  /**
   * An answer that has begun and makes no progress for this long is reported as stalled, so that
   * another attempt can be sent beside it. Heads and bodies that stop short on a connection that
   * stays open, and those of a machine that dies while writing, look the same as those of a slow
   * upstream: the attempt itself goes on until the request's time is over.
   */
  static final long STALL_TIMEOUT_MILLIS = 500;

  /** A streamed answer that makes no progress for this long is aborted. */
  static final long STREAMED_STALL_TIMEOUT_MILLIS = 15_000;

  /**
   * A long answer that is incomplete this long before the request's deadline is streamed. Once a
   * client has got the beginning, the rest may come after the deadline.
   */
  static final long STREAMING_MARGIN_MILLIS = 200;

  /** The same for an answer that has stalled, so that any other attempt's answer goes first. */
  static final long STALLED_STREAMING_MARGIN_MILLIS = 100;

  /** For a longer body of an error answer, closing is cheaper than reusing the connection. */
  private static final int MAX_DISCARDED_BYTES = 64 << 10;

  private static final long DISCARD_TIMEOUT_MILLIS = 1000;

  /** After this many consecutive dial timeouts the machine is considered unreachable. */
  private static final int MAX_CONSECUTIVE_DIAL_TIMEOUTS = 2;

  private enum Phase {
    /** No exchange is in progress. */
    IDLE,
    /** The head of the answer has not been received. */
    AWAITING_HEAD,
    /** Inside an interim (1xx) answer. */
    INTERIM,
    /** A 200 answer is being buffered. */
    BUFFERING,
    /** A buffered answer is complete; reported at the end of the read, with no excess bytes. */
    COMPLETE,
    /** The answer is being streamed to the client; its outcome has been reported. */
    STREAMING,
    /** A streamed answer is complete. */
    STREAMED,
    /** The outcome has been reported; the rest is read so that the connection can be reused. */
    DISCARDING
  }

  final Upstream upstream;
  private final int generation;
  private final UpstreamConnectionPool pool;
  private final Clock clock;
  final StrictResponseDecoder decoder = new StrictResponseDecoder();
  private Channel channel;
  private SocketInput input;
  private Attempt attempt;
  private HttpPayload payload;
  private Phase phase = Phase.IDLE;
  private boolean connecting;
  private Future<?> dialTimeout;
  private boolean requestWritten;
  private boolean reusable;
  private boolean closed;
  private HttpResponse head;
  private BodyBuffer buffered;
  private final PieceCollector collector = new PieceCollector(PooledByteBufAllocator.DEFAULT);
  private int discardedBytes;
  private boolean hadExchange;
  private long idleSinceNanos;
  private int readsAtStart;
  private int readsAtInterim;
  private boolean sawInterimAnswer;
  private final StallTimer stallTimer = new StallTimer(decoder);
  private Future<?> streamingTimer;

  /** Whether nothing has been received since the stall timer found that the answer had stalled. */
  private boolean stalled;

  private long answerStartedNanos;
  private long streamedBytes;
  private StreamedAnswerSink sink;

  /** Represents the buffered answer in the budget for answers: it is streamed to give up memory. */
  private final MemoryBudget.Holder bufferHolder =
      new MemoryBudget.Holder() {
        @Override
        public boolean canReleaseMemory() {
          return attempt != null && phase == Phase.BUFFERING;
        }

        @Override
        public void releaseMemory() {
          streamNow();
        }
      };

  public UpstreamConnection(UpstreamConnectionPool pool, Clock clock, Upstream upstream) {
    this.pool = pool;
    this.clock = clock;
    this.upstream = upstream;
    this.generation = upstream.generation;
  }

  /** Whether the connection leads to the process that discovery lists now. */
  boolean leadsToListedProcess() {
    return generation == upstream.generation && !upstream.outOfService;
  }

  /** Called once for a new connection, with the attempt that it was opened for. */
  public void startConnecting(
      ChannelFuture connectFuture, Attempt firstAttempt, HttpPayload requestPayload) {
    payload = requestPayload;
    channel = connectFuture.channel();
    input = new SocketInput(channel, clock, pool.decodingThrottle);
    channel
        .config()
        .setRecvByteBufAllocator(
            new ShortReadAllocator(() -> input.maxReadBytes(pool.streamMemory.bytesPerStream())));
    attempt = firstAttempt;
    firstAttempt.attach(this);
    phase = Phase.AWAITING_HEAD;
    requestWritten = false;
    if (connectFuture.isDone()) {
      onConnectDone(connectFuture);
    } else {
      connecting = true;
      dialTimeout =
          channel.eventLoop().schedule(this::onDialTimeout, pool.dialTimeoutMillis(), MILLISECONDS);
      connectFuture.addListener(done -> onConnectDone(connectFuture));
    }
  }

  /**
   * Ends the attempt, but not the connection. A connection that is established late is still
   * usable, and if many are late, most of their replacements would be late again.
   */
  private void onDialTimeout() {
    dialTimeout = null;
    if (upstream.recordDialTimeout() >= MAX_CONSECUTIVE_DIAL_TIMEOUTS) {
      pool.closeEstablished(upstream); // An unreachable machine is silent on these too.
    }
    pool.addUnclaimed(this);
    endAttempt(Outcome.CONNECT_FAILED);
  }

  private void onConnectDone(ChannelFuture connectFuture) {
    connecting = false;
    if (dialTimeout != null) {
      dialTimeout.cancel(false);
      dialTimeout = null;
    }
    if (!connectFuture.isSuccess()) {
      endAttempt(Outcome.CONNECT_FAILED);
      close();
    } else if (attempt != null) {
      writeRequest();
    } else if (!closed) {
      upstream.recordHeard(clock.nowNanos());
      reusable = true;
      finishExchange();
    }
  }

  /** Starts the next exchange on an idle connection. */
  public void startExchange(Attempt nextAttempt, HttpPayload requestPayload) {
    payload = requestPayload;
    attempt = nextAttempt;
    nextAttempt.attach(this);
    phase = Phase.AWAITING_HEAD;
    requestWritten = false;
    writeRequest();
  }

  private void writeRequest() {
    hadExchange = true;
    reusable = false;
    readsAtStart = decoder.readCount();
    sawInterimAnswer = false;
    Attempt current = attempt;
    if (generation != upstream.generation || !current.maySend()) {
      endAttempt(Outcome.MOOT);
      close();
      return;
    }
    long remainingNanos = current.deadlineNanos() - clock.nowNanos();
    StreamedRequestBody streamedBody = payload.streamedBody();
    if (streamedBody == null) {
      trackRequestWritten(
          channel.writeAndFlush(payload.toUpstreamRequest(remainingNanos)), current);
    } else {
      channel.write(payload.toUpstreamHead(remainingNanos));
      streamedBody.attach(this);
    }
  }

  private void trackRequestWritten(ChannelFuture lastWrite, Attempt current) {
    lastWrite.addListener(
        done -> {
          if (attempt != current) {
            return;
          }
          if (done.isSuccess()) {
            requestWritten = true;
            current.requestWritten();
          } else {
            onConnectionLost();
          }
        });
  }

  /** Writes a piece of a streamed body and takes ownership; false asks for backpressure. */
  boolean writeBody(ByteBuf piece, boolean last) {
    if (closed || attempt == null) {
      piece.release();
      return true;
    }
    if (last) {
      trackRequestWritten(channel.writeAndFlush(new DefaultLastHttpContent(piece)), attempt);
    } else {
      channel.writeAndFlush(new DefaultHttpContent(piece));
    }
    return channel.isWritable();
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    if (attempt != null && payload.streamedBody() != null && channel.isWritable()) {
      payload.streamedBody().onWritable(this);
    }
  }

  @Override
  public void cancel() {
    attempt = null;
    if (connecting && !closed) {
      pool.addUnclaimed(this);
    } else {
      close();
    }
  }

  // ---- streamed answers ----

  @Override
  public void setPaused(boolean pause) {
    if (pause && phase == Phase.STREAMING) {
      input.pause(SocketInput.Pause.BACKPRESSURE);
    } else {
      input.resume(SocketInput.Pause.BACKPRESSURE);
    }
  }

  @Override
  public void clientDisconnected() {
    if (phase == Phase.STREAMING || phase == Phase.STREAMED) {
      sink = null;
      close();
    }
  }

  private void streamNow() {
    if (startStreaming()) {
      sink.answerFlush();
    }
  }

  /** Returns false, with the connection closed, if no client waits for the answer any more. */
  private boolean startStreaming() {
    Attempt current = attempt;
    if (!current.beginStreaming() || closed) {
      attempt = null;
      close();
      return false;
    }
    attempt = null;
    cancelAnswerTimers();
    phase = Phase.STREAMING;
    sink = payload.sink();
    sink.answerStarted(head, this);
    head = null;
    ByteBuf begun = takeBuffered();
    streamedBytes = begun.readableBytes();
    if (begun.isReadable()) {
      sink.answerData(begun);
    } else {
      begun.release();
    }
    // The upstream has done its work and its slot is free; the rest depends on the transfer only.
    current.complete(Outcome.OK, null);
    watchStreamForStall();
    return !closed;
  }

  private void streamContent(HttpContent content, boolean last) {
    streamedBytes += content.content().readableBytes();
    if (streamedBytes > MAX_BODY_BYTES) {
      failInvalidAnswer("answer too long");
      return;
    }
    collector.add(content.content(), sink::answerData);
    if (last) {
      phase = Phase.STREAMED;
    }
  }

  private void watchStreamForStall() {
    stallTimer.start(channel.eventLoop(), STREAMED_STALL_TIMEOUT_MILLIS, this::checkStreamForStall);
  }

  private void checkStreamForStall(boolean receivedBytes) {
    if (phase != Phase.STREAMING) {
      return;
    }
    if (!receivedBytes && !input.isPaused()) {
      failInvalidAnswer("streamed answer stalled");
    } else {
      watchStreamForStall();
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    try {
      upstream.recordHeard(clock.nowNanos());
      if (closed) {
        return;
      }
      HttpObject part = (HttpObject) message;
      input.partRead(part);
      if (phase == Phase.COMPLETE || phase == Phase.STREAMED) {
        onExcessBytes(); // The complete answer stays valid.
      } else if (part.decoderResult().isFailure()) {
        failInvalidAnswer("malformed: " + part.decoderResult().cause());
      } else if (phase == Phase.IDLE) {
        closeAfterUnaskedBytes();
      } else {
        if (part instanceof HttpResponse response) {
          onHead(response);
        }
        if (part instanceof HttpContent content && !closed) {
          onContent(content);
        }
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void onHead(HttpResponse response) {
    int status = response.status().code();
    if (phase == Phase.DISCARDING) {
      onExcessBytes(); // A second answer to one request.
    } else if (status >= 100 && status < 200 && status != 101) {
      phase = Phase.INTERIM;
    } else if (status == HttpResponseStatus.OK.code()) {
      startAnswer(response);
    } else {
      reusable =
          requestWritten
              && status != 101
              && HttpUtil.isKeepAlive(response)
              && hasDefinedEnd(response);
      phase = Phase.DISCARDING;
      discardedBytes = 0;
      endAttempt(errorOutcome(response));
      if (reusable) {
        channel.eventLoop().schedule(this::stopDiscarding, DISCARD_TIMEOUT_MILLIS, MILLISECONDS);
      } else {
        close();
      }
    }
  }

  private void stopDiscarding() {
    if (phase == Phase.DISCARDING) {
      close();
    }
  }

  /**
   * A retry is safe only if the upstream states that the request did not run; a plain 503 does not.
   */
  private static Outcome errorOutcome(HttpResponse response) {
    int status = response.status().code();
    if ((status == 503 || status == 504)
        && "1".equals(response.headers().get(HeaderRules.NOT_RUN))) {
      return Outcome.REFUSED;
    }
    return status >= 400 && status < 500 ? Outcome.BAD_REQUEST : Outcome.ERROR;
  }

  private void startAnswer(HttpResponse response) {
    // Upstreams start after the last byte of a request; an earlier answer belongs to another one.
    if (!requestWritten || hasUnknownFraming(response)) {
      failInvalidAnswer(
          requestWritten
              ? "unsupported Transfer-Encoding"
              : "answer before the end of the request");
      return;
    }
    if (HttpUtil.getContentLength(response, 0L) > MAX_BODY_BYTES) {
      failInvalidAnswer("answer too long: " + HttpUtil.getContentLength(response));
      return;
    }
    head = response;
    // An answer without a defined end is complete only if the connection is closed in order.
    reusable = HttpUtil.isKeepAlive(response) && hasDefinedEnd(response);
    phase = Phase.BUFFERING;
    answerStartedNanos = clock.nowNanos();
    buffered = new BodyBuffer(channel.alloc(), HttpUtil.getContentLength(response, -1L));
    if (mayBeLong()) {
      streamBeforeDeadline(attempt, STREAMING_MARGIN_MILLIS);
    }
  }

  /** Whether the answer that has begun may be too long to be buffered. */
  private boolean mayBeLong() {
    return phase == Phase.BUFFERING
        && HttpUtil.getContentLength(head, Long.MAX_VALUE) > MAX_BUFFERED_BYTES;
  }

  private void streamBeforeDeadline(Attempt current, long marginMillis) {
    long leftNanos = current.deadlineNanos() - clock.nowNanos();
    streamingTimer =
        channel
            .eventLoop()
            .schedule(
                () -> onDeadlineNear(current, marginMillis),
                leftNanos - MILLISECONDS.toNanos(marginMillis),
                NANOSECONDS);
  }

  private void onDeadlineNear(Attempt current, long marginMillis) {
    streamingTimer = null;
    if (attempt != current || phase != Phase.BUFFERING) {
      return;
    }
    if (stalled && marginMillis > STALLED_STREAMING_MARGIN_MILLIS) {
      streamBeforeDeadline(current, STALLED_STREAMING_MARGIN_MILLIS);
    } else {
      streamNow();
    }
  }

  private static boolean hasUnknownFraming(HttpResponse response) {
    return response.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)
        && !HttpUtil.isTransferEncodingChunked(response);
  }

  private static boolean hasDefinedEnd(HttpResponse response) {
    int status = response.status().code();
    return HttpUtil.isContentLengthSet(response)
        || HttpUtil.isTransferEncodingChunked(response)
        || status == 204
        || status == 304;
  }

  private void onContent(HttpContent content) {
    boolean last = content instanceof LastHttpContent;
    switch (phase) {
      case INTERIM -> {
        if (last) {
          phase = Phase.AWAITING_HEAD;
          sawInterimAnswer = true;
          readsAtInterim = decoder.readCount();
        }
      }
      case BUFFERING -> buffer(content, last);
      case STREAMING -> streamContent(content, last);
      case DISCARDING -> {
        discardedBytes += content.content().readableBytes();
        if (discardedBytes > MAX_DISCARDED_BYTES) {
          close();
        } else if (last) {
          finishExchange();
        }
      }
      default -> onExcessBytes(); // The complete answer stays valid.
    }
  }

  private void buffer(HttpContent content, boolean last) {
    buffered.append(content.content());
    int received = buffered.readableBytes();
    boolean mustStream =
        received > MAX_BUFFERED_BYTES
            || HttpUtil.getContentLength(head, 0L) > MAX_BUFFERED_BYTES && received > 0;
    if (mustStream && !startStreaming()) {
      return;
    }
    if (last) {
      phase = phase == Phase.STREAMING ? Phase.STREAMED : Phase.COMPLETE;
    }
  }

  /**
   * Reports a complete answer and releases the connection. This waits for the end of the read,
   * because a second answer in the same read would otherwise be taken for the answer to the next
   * request.
   */
  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    input.readCompleted();
    if (closed) {
      return;
    }
    boolean bytesRead = decoder.readCount() != readsAtStart;
    if (phase == Phase.IDLE && bytesRead) {
      closeAfterUnaskedBytes(); // Even if the bytes do not form a message yet.
    } else if (phase == Phase.AWAITING_HEAD && awaitsFinalAnswer()) {
      stallTimer.cancel(); // The interim answers are complete; the final one may take longer.
    } else if (bytesRead && attempt != null && phase != Phase.COMPLETE && !stallTimer.isRunning()) {
      watchForStall();
    }
    if (phase == Phase.STREAMING) {
      collector.flush(sink::answerData);
      sink.answerFlush();
    } else if (phase == Phase.STREAMED) {
      checkUnparsedBytes();
      collector.flush(sink::answerData);
      StreamedAnswerSink currentSink = sink;
      sink = null;
      finishExchange();
      currentSink.answerEnd();
      return;
    }
    if (phase == Phase.COMPLETE) {
      checkUnparsedBytes();
      ByteBuf body = takeBuffered();
      HttpResponse answerHead = head;
      Attempt served = attempt;
      attempt = null;
      finishExchange();
      if (served != null) {
        served.complete(Outcome.OK, new HttpAnswer(answerHead, body));
      }
      return;
    }
    updateMemory();
  }

  private ByteBuf takeBuffered() {
    ByteBuf bytes = buffered.takeBuffer();
    buffered = null;
    return bytes;
  }

  private void updateMemory() {
    long answered = head == null ? 0 : SizedHttpHeaders.heapBytesOf(head);
    pool.headMemory.update(this, answered + decoder.unfinishedHeadBytes());
    pool.answerMemory.update(bufferHolder, buffered == null ? 0 : buffered.readableBytes());
  }

  @Override
  public boolean canReleaseMemory() {
    return !closed && phase != Phase.COMPLETE && phase != Phase.STREAMED;
  }

  @Override
  public void releaseMemory() {
    if (attempt != null && phase == Phase.BUFFERING) {
      streamNow();
      return;
    }
    failInvalidAnswer("large head while memory for heads is exhausted");
  }

  private void checkUnparsedBytes() {
    if (decoder.hasUnparsedBytes()) {
      onExcessBytes();
    }
  }

  /** The upstream has sent more than belongs to the answer, in the same read. */
  private void onExcessBytes() {
    if (reusable) {
      reusable = false;
      Log.info(
          "excess bytes",
          upstream.name + ": behind an answer, connection closed",
          "server",
          upstream.name);
    }
  }

  private void closeAfterUnaskedBytes() {
    long idleMillis = (clock.nowNanos() - idleSinceNanos) / 1_000_000;
    Log.warn(
        "unasked bytes",
        upstream.name + ": connection closed, " + idleMillis + " ms after its last answer",
        "server",
        upstream.name,
        "idle_ms",
        Long.toString(idleMillis));
    close();
  }

  private void watchForStall() {
    Attempt watched = attempt;
    stalled = false;
    stallTimer.start(
        channel.eventLoop(),
        STALL_TIMEOUT_MILLIS,
        receivedBytes -> checkForStall(watched, receivedBytes));
  }

  private void checkForStall(Attempt watched, boolean receivedBytes) {
    if (attempt != watched || phase == Phase.COMPLETE) {
      return;
    }
    if (!receivedBytes && !input.isPaused()) {
      stalled = true;
      attempt.answerStalled(mayBeLong());
    } else if (phase == Phase.BUFFERING
        && buffered.readableBytes() > 0
        && clock.nowNanos() - answerStartedNanos >= MAX_BUFFERING_MILLIS * 1_000_000L) {
      streamNow();
    } else {
      watchForStall();
    }
  }

  private boolean awaitsFinalAnswer() {
    return sawInterimAnswer && decoder.readCount() == readsAtInterim && !decoder.hasUnparsedBytes();
  }

  private void cancelAnswerTimers() {
    stallTimer.cancel();
    if (streamingTimer != null) {
      streamingTimer.cancel(false);
      streamingTimer = null;
    }
  }

  private void releaseBudgets() {
    pool.headMemory.update(this, 0);
    pool.answerMemory.update(bufferHolder, 0);
  }

  /** Returns the connection to the pool, unless one of the sides wants it closed. */
  private void finishExchange() {
    cancelAnswerTimers();
    head = null;
    releaseBudgets();
    readsAtStart = decoder.readCount();
    if (reusable && channel.isActive()) {
      phase = Phase.IDLE;
      payload = null;
      idleSinceNanos = clock.nowNanos();
      input.resume(SocketInput.Pause.BACKPRESSURE);
      pool.release(this);
    } else {
      close();
    }
  }

  /**
   * Ends the attempt with an error after an invalid answer. The request may have run, and the
   * upstream is reachable. Whatever corrupts the answers of one upstream may corrupt those of all,
   * so the outcome is an error, which the policy compares with the other upstreams.
   */
  private void failInvalidAnswer(String reason) {
    Attempt failed = attempt;
    String request = failed == null ? "" : ", request " + failed.requestId();
    Log.warn(
        "spoilt answer",
        upstream.name + ": " + reason + request,
        "server",
        upstream.name,
        "reason",
        reason);
    attempt = null;
    close();
    if (failed != null) {
      failed.complete(Outcome.ERROR, null);
    }
  }

  /** The connection broke. Until its last byte was written, the request cannot have run. */
  private void onConnectionLost() {
    if (phase == Phase.STREAMING && !closed) {
      failInvalidAnswer("connection lost before the end of the answer");
      return;
    }
    Attempt failed = attempt;
    attempt = null;
    close();
    if (failed != null) {
      failed.complete(requestWritten ? Outcome.RESET : Outcome.CONNECT_FAILED, null);
    }
  }

  private void endAttempt(Outcome outcome) {
    Attempt ended = attempt;
    attempt = null;
    if (ended != null) {
      ended.complete(outcome, null);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    onConnectionLost();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (!(cause instanceof java.io.IOException)) {
      Log.error("upstream connection", upstream.name, cause, "server", upstream.name);
    }
    onConnectionLost();
  }

  public void close() {
    if (closed) {
      return;
    }
    closed = true;
    cancelAnswerTimers();
    if (dialTimeout != null) {
      dialTimeout.cancel(false);
      dialTimeout = null;
    }
    if (payload != null && payload.streamedBody() != null) {
      payload.streamedBody().detach(this);
    }
    if (sink != null) {
      StreamedAnswerSink openSink = sink;
      sink = null;
      openSink.answerAborted();
    }
    pool.remove(this);
    releaseBudgets();
    collector.release();
    if (buffered != null) {
      buffered.release();
      buffered = null;
    }
    Channels.close(channel);
  }

  /**
   * Whether an idle connection may carry another request. The socket is read first, because a
   * connection that the upstream has closed, or on which unsolicited bytes are pending, must not be
   * reused.
   *
   * @param oldestIdleNanos a connection that has been idle since before then is too old
   */
  public boolean canBeReused(long oldestIdleNanos) {
    if (idleSinceNanos < oldestIdleNanos || !channel.isActive()) {
      return false;
    }
    input.readOnce();
    return !closed && channel.isActive();
  }

  public long idleSinceNanos() {
    return idleSinceNanos;
  }

  /** Whether the connection has ever carried a request. */
  boolean hadExchange() {
    return hadExchange;
  }
}
