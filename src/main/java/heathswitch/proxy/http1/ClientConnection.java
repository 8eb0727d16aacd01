package heathswitch.proxy.http1;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static java.util.concurrent.TimeUnit.NANOSECONDS;

import heathswitch.policy.api.RequestClass;
import heathswitch.policy.api.RequestProtocol;
import heathswitch.proxy.dispatch.Dispatcher;
import heathswitch.proxy.runtime.Clock;
import heathswitch.proxy.runtime.Log;
import heathswitch.proxy.spi.Answer;
import heathswitch.proxy.spi.Caller;
import heathswitch.proxy.spi.RequestHandle;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;

/** A client connection; processes one request at a time. */
final class ClientConnection extends ChannelInboundHandlerAdapter
    implements Caller, StreamedAnswerSink, MemoryBudget.Holder {
  /** Requests that declare a longer body are rejected unread. Clients send up to 32 MB. */
  static final long MAX_BODY_BYTES = 40L << 20;

  /**
   * Bodies up to this size are buffered, so that the request can be retried. Longer ones are
   * streamed, because memory can hold only a few of them.
   */
  static final int MAX_BUFFERED_BODY_BYTES = 1 << 20;

  /** A request with a long body is dispatched once this much of the body has been received. */
  private static final int STREAMING_PREFIX_BYTES = 16 << 10;

  /**
   * Bodies up to this size are read without a reservation; what the incomplete ones hold together
   * is limited by {@link MemoryBudget#BODY_BYTES}.
   */
  static final int UNRESERVED_BODY_BYTES = 64 << 10;

  /** Longer bodies reserve this much at a time as they are received. */
  private static final int RESERVATION_STEP_BYTES = 64 << 10;

  /**
   * Time limit for receiving the head of a request, counted from its first byte or, for the first
   * request, from the start of the connection. Frees the descriptors of clients that connect and
   * send nothing or half a head. Such connections must end within 3 s; slow clients need 2 s.
   */
  static final long HEAD_TIMEOUT_NANOS = 2_500_000_000L;

  /**
   * Longest pause within a body. After this time, the average rate must also reach half of the rate
   * of the slowest clients, which is 64 kB/s. Guards against incomplete requests and slow senders.
   */
  static final long BODY_TIMEOUT_NANOS = 1_500_000_000L;

  private static final long MIN_BYTES_PER_SECOND = 32 << 10;

  /** How long an upstream may accept nothing of a streamed body. */
  static final long UPSTREAM_STALL_TIMEOUT_NANOS = 3_000_000_000L;

  /** What a client's own socket may hold of a body: Linux lets send buffers grow to 4 MiB. */
  private static final long MAX_SEND_BUFFER_BYTES = 5 << 20;

  /** How much of a body may have been sent and not read. The system doubles the set size. */
  private static final long MAX_SOCKET_BUFFER_BYTES =
      MAX_SEND_BUFFER_BYTES + 2 * ClientListener.RECEIVE_BUFFER_BYTES;

  /** Added to the timeout of a request whose body is streamed, for receiving the body. */
  private static final long MAX_UPLOAD_NANOS = 600_000_000_000L;

  /** Counted from the last answer; many clients send one request and never close. */
  static final long IDLE_TIMEOUT_NANOS = 10_000_000_000L;

  /** The connection is closed if writing an answer makes no progress for this long. */
  private static final long WRITE_TIMEOUT_NANOS = 10_000_000_000L;

  private enum Phase {
    /** No request, or only a part of its head has been received. */
    IDLE,
    /** The head has been received; the body is being buffered. */
    READING_BODY,
    /** Dispatched; the body is being streamed to the upstream. */
    STREAMING_BODY,
    /**
     * Received completely; dispatched at the end of the read, after a check for pipelined input.
     */
    REQUEST_COMPLETE,
    /** Dispatched and received completely; the answer is outstanding. */
    AWAITING_ANSWER,
    /** The last answer has been written; further input is discarded. */
    LINGERING
  }

  private final ClientListener listener;
  private final Dispatcher dispatcher;
  private final Clock clock;
  private final Channel channel;

  /** Null once no further request is read; input is then discarded undecoded. */
  private StrictRequestDecoder decoder;

  private final PipelineQueue pipelined = new PipelineQueue();
  private Phase phase = Phase.IDLE;
  private long timerStartNanos;
  private long headStartedNanos;
  private HttpRequest head;

  /** The estimated heap of the head of the current request, until it is answered. */
  private long headBytes;

  /** The value of {@link Dispatcher#reloads} when the head was validated. */
  private int settingsReloads;

  private boolean keepAlive;
  private RequestClass requestClass;
  private long clientTimeoutNanos;
  private BodyBuffer body;

  /** The declared length of the body, or -1 if it is chunked. */
  private long bodyLength;

  private long bodyBytes;
  private long reservedBytes;
  private RequestHandle ticket;
  private boolean replayingPipeline;
  private final SocketInput input;

  /** Whether a complete request is being accepted, for which pending input is read. */
  private boolean accepting;

  /** Last piece of a streamed body, kept until the client is known to be still connected. */
  private ByteBuf lastBodyPiece;

  private boolean hadRequest;
  private int readsAtIdle;
  private long discardedBytes;
  private LingeringClose lingeringClose = LingeringClose.AFTER_ANSWER;
  private ChannelFuture answerWrite;
  private HttpVersion version = HttpVersion.HTTP_1_1;
  private long lastPieceNanos;
  private StreamedRequestBody streamedBody;
  private boolean readingPaused;

  /** When reading was paused for the last time because the upstream accepted no more. */
  private long pausedNanos;

  /** When so much of a body had been read that the client may have sent all of it. */
  private long maybeSentNanos;

  /** Whether a tick beside the regular ones is due. */
  private boolean tickScheduled;

  /** When the client may have sent the last byte of the request, once it is complete. */
  private long sentNanos;

  /** The source of the answer while an answer is being streamed, otherwise null. */
  private StreamedAnswerSource answerSource;

  private boolean streamedAnswerKeepAlive;
  private boolean streamedAnswerChunked;

  /** Represents the incomplete body in the budget for bodies. */
  private final MemoryBudget.Holder bodyHolder =
      new MemoryBudget.Holder() {
        @Override
        public boolean canReleaseMemory() {
          return phase == Phase.READING_BODY;
        }

        @Override
        public void releaseMemory() {
          refuseUnread();
        }
      };

  private final ChannelFutureListener writeListener = done -> recordWriteProgress();

  public ClientConnection(
      ClientListener listener,
      Dispatcher dispatcher,
      Clock clock,
      Channel channel,
      StrictRequestDecoder decoder) {
    this.decoder = decoder;
    this.listener = listener;
    this.dispatcher = dispatcher;
    this.clock = clock;
    this.channel = channel;
    this.input = new SocketInput(channel, clock, listener.decodingThrottle);
    channel
        .config()
        .setRecvByteBufAllocator(
            new ShortReadAllocator(() -> input.maxReadBytes(ClientListener.READ_BYTES)));
    this.timerStartNanos = clock.nowNanos();
  }

  // ---- reading ----

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (message instanceof ByteBuf undecoded) {
      discard(undecoded);
      return;
    }
    HttpObject part = (HttpObject) message;
    input.partRead(part);
    boolean busy = phase == Phase.REQUEST_COMPLETE || phase == Phase.AWAITING_ANSWER;
    if (busy || !pipelined.isEmpty() || pipelined.hasOverflowed()) {
      queuePipelined(part);
    } else {
      read(part);
    }
  }

  /**
   * Reading continues while a request is processed, because only reading detects a disconnect. What
   * cannot be decoded shows that the client has sent more than the length it declared, so that the
   * request that is being processed may be incomplete.
   */
  private void queuePipelined(HttpObject part) {
    if (part.decoderResult().isFailure()) {
      Throwable cause = part.decoderResult().cause();
      ReferenceCountUtil.release(part);
      rejectMalformed(cause);
      return;
    }
    pipelined.add(part);
    if (pipelined.hasOverflowed()) {
      dropPipelined();
    }
  }

  /** Discards input that arrives after the last request that is read. */
  private void discard(ByteBuf undecoded) {
    int bytes = undecoded.readableBytes();
    undecoded.release();
    if (phase == Phase.LINGERING) {
      countDiscarded(bytes);
    } else {
      pipelined.countDiscarded(bytes);
      if (pipelined.overflowLimitExceeded()) {
        input.pause(SocketInput.Pause.OVERFLOW);
      }
    }
  }

  /**
   * Reads pending input first, unless a read is in progress. Only reading detects that the client
   * has closed the connection, which may have happened long ago if the event loop was delayed or
   * reading was paused, and that more has arrived than the declared length, upon which the request
   * is rejected. Of a body that is being streamed only a little is read, as it is kept in memory.
   */
  @Override
  public boolean isStillWaiting() {
    if (phase == Phase.STREAMING_BODY) {
      input.readOnce();
    } else {
      input.readPending();
    }
    if (!channel.isActive()) {
      onDisconnected(); // channelInactive is only called on a later turn of the event loop.
      return false;
    }
    return phase != Phase.LINGERING;
  }

  private void read(HttpObject part) {
    try {
      if (phase == Phase.LINGERING) {
        if (part instanceof HttpContent content) {
          countDiscarded(content.content().readableBytes());
        }
        return;
      }
      headStartedNanos = 0;
      if (part.decoderResult().isFailure()) {
        rejectMalformed(part.decoderResult().cause());
        return;
      }
      if (part instanceof HttpRequest request) {
        beginRequest(request);
      }
      if (part instanceof HttpContent content) {
        if (phase == Phase.READING_BODY) {
          readBody(content);
        } else if (phase == Phase.STREAMING_BODY) {
          readStreamedBody(content);
        }
      }
    } finally {
      ReferenceCountUtil.release(part);
    }
  }

  private void countDiscarded(int bytes) {
    discardedBytes += bytes;
    if (lingeringClose.mustCloseNow(discardedBytes)) {
      channel.close();
    }
  }

  private void rejectMalformed(Throwable cause) {
    HttpResponseStatus status = HttpResponseStatus.BAD_REQUEST;
    if (cause instanceof TooLongHttpHeaderException) {
      status = HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE;
    } else if (cause instanceof TooLongHttpLineException) {
      status = HttpResponseStatus.REQUEST_URI_TOO_LONG;
    }
    Log.info("bad request", "malformed: " + cause);
    rejectOpenRequest(status, "malformed request");
  }

  /** Answers an invalid request that may have been dispatched, and cancels its attempts. */
  private void rejectOpenRequest(HttpResponseStatus status, String reason) {
    if (answerSource != null) {
      resetConnection(); // A part of the answer has been written; no error can follow it.
      return;
    }
    RequestHandle openTicket = ticket;
    ticket = null;
    reject(status, reason);
    if (openTicket != null) {
      openTicket.callerGone();
    }
  }

  private void beginRequest(HttpRequest request) {
    listener.becameBusy(this);
    hadRequest = true;
    head = request;
    headBytes = SizedHttpHeaders.heapBytesOf(request);
    settingsReloads = dispatcher.reloadCount();
    version = request.protocolVersion();
    keepAlive = HttpUtil.isKeepAlive(request);
    phase = Phase.READING_BODY;
    timerStartNanos = clock.nowNanos();
    lastPieceNanos = timerStartNanos;
    maybeSentNanos = 0;
    bodyBytes = 0;
    requestClass = null;
    boolean readinessProbe = request.uri().equals("/up");
    String error = readinessProbe ? null : validateHead(request);
    if (error != null) {
      Log.info("bad request", error);
      reject(HttpResponseStatus.BAD_REQUEST, error);
      return;
    }
    long contentLength = HttpUtil.getContentLength(request, 0L);
    if (contentLength > MAX_BODY_BYTES) {
      reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body over 40 MiB");
      return;
    }
    bodyLength = HttpUtil.getContentLength(request, -1L);
    body = new BodyBuffer(channel.alloc(), bodyLength);
    sendContinueIfExpected();
  }

  /** Validates a head and stores its class and timeout; returns the error or null. */
  private String validateHead(HttpRequest request) {
    RequestHead read = RequestHead.read(request, dispatcher, listener.forbiddenHeader());
    requestClass = read.requestClass();
    clientTimeoutNanos = read.timeoutNanos();
    return read.error();
  }

  /**
   * Repeats the validation when the request is dispatched; returns the error or null. Another
   * request may have taken its id in the meantime, and after a reload of the settings the whole
   * head is validated against the new ones.
   */
  private String revalidateHead() {
    if (settingsReloads != dispatcher.reloadCount()) {
      settingsReloads = dispatcher.reloadCount();
      return validateHead(head);
    }
    boolean idInUse = dispatcher.isIdUsed(head.headers().get(HeaderRules.REQUEST_ID));
    return idInUse ? RequestHead.duplicateIdError() : null;
  }

  /**
   * Reserves memory for what has been received of the body; false if there is none left. A body
   * reserves only what it holds, so that slow clients do not take the memory of others.
   */
  private boolean reserveReceivedBytes() {
    if (bodyBytes <= UNRESERVED_BODY_BYTES) {
      return true;
    }
    while (reservedBytes < bodyBytes) {
      if (!listener.budget.tryReserve(RESERVATION_STEP_BYTES)) {
        return false;
      }
      reservedBytes += RESERVATION_STEP_BYTES;
    }
    return true;
  }

  private void sendContinueIfExpected() {
    if (head != null && HttpUtil.is100ContinueExpected(head)) {
      HttpUtil.set100ContinueExpected(head, false);
      channel.writeAndFlush(
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
    }
  }

  private void readBody(HttpContent content) {
    ByteBuf piece = content.content();
    bodyBytes += piece.readableBytes();
    if (bodyBytes > MAX_BODY_BYTES) {
      reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body over 40 MiB");
      return;
    }
    lastPieceNanos = clock.nowNanos();
    boolean last = content instanceof LastHttpContent;
    if (requestClass == null) {
      if (last) { // A health check, whose body is not used.
        onBodyComplete();
      }
      return;
    }
    noteUnsentBody();
    body.append(piece);
    if (last) {
      onBodyComplete();
    } else if (shouldStreamBody() || !reserveReceivedBytes()) {
      startStreaming();
    }
  }

  /** Whether an incomplete body is too long to be buffered, and enough of it has been received. */
  private boolean shouldStreamBody() {
    return bodyLength > MAX_BUFFERED_BODY_BYTES
        ? bodyBytes >= STREAMING_PREFIX_BYTES
        : bodyBytes >= MAX_BUFFERED_BODY_BYTES;
  }

  /** Dispatches the request and streams the rest of its body. */
  private void startStreaming() {
    String error = revalidateHead();
    if (error != null) {
      reject(HttpResponseStatus.BAD_REQUEST, error);
      return;
    }
    if (lacksHeadMemory()) {
      refuseUnread();
      return;
    }
    long prefixReservation = reservedBytes;
    reservedBytes = 0;
    streamedBody =
        new StreamedRequestBody(
            this, listener.budget, bodyLength, body.takeBuffer(), prefixReservation);
    body = null;
    HttpRequest accepted = head;
    head = null;
    phase = Phase.STREAMING_BODY;
    dispatch(
        accepted,
        Unpooled.EMPTY_BUFFER,
        clientTimeoutNanos + MAX_UPLOAD_NANOS,
        RequestProtocol.HTTP1_STREAM);
  }

  private void readStreamedBody(HttpContent content) {
    boolean last = content instanceof LastHttpContent;
    lastPieceNanos = clock.nowNanos();
    bodyBytes += content.content().readableBytes();
    if (bodyBytes > MAX_BODY_BYTES) {
      channel.close(); // Endless chunked body. Without its last byte the request never runs.
      return;
    }
    noteUnsentBody();
    if (!last) {
      streamedBody.append(content.content());
      return;
    }
    long remainingNanos = remainingClientNanos();
    if (remainingNanos == 0) {
      refuseUpload();
      return;
    }
    phase = Phase.AWAITING_ANSWER;
    timerStartNanos = lastPieceNanos;
    if (ticket != null) {
      ticket.bodyComplete(remainingNanos);
    }
    lastBodyPiece = content.content().retain();
  }

  /**
   * Forwards the last piece, after which the upstream runs the request. Before that, the input
   * behind the body is read: while reading was paused, the client may have sent the rest of the
   * body and disconnected.
   */
  private void forwardLastBodyPiece() {
    ByteBuf piece = lastBodyPiece;
    lastBodyPiece = null;
    if (isStillWaiting() && streamedBody != null) {
      streamedBody.appendLast(piece);
    } else {
      piece.release();
    }
  }

  /** Backpressure from the upstream of a streamed body. */
  void setReadingPaused(boolean paused) {
    if (readingPaused != paused) {
      readingPaused = paused;
      lastPieceNanos = clock.nowNanos();
      if (paused) {
        pausedNanos = lastPieceNanos;
        input.pause(SocketInput.Pause.BACKPRESSURE);
      } else {
        input.resume(SocketInput.Pause.BACKPRESSURE);
      }
      timerStartNanos = lastPieceNanos - slowestTransferNanos(bodyBytes);
    }
  }

  /**
   * Ends an upload. The last byte of the body was never forwarded, so the request is answered as
   * refused and can safely be retried.
   */
  private void refuseUpload() {
    lingeringClose = LingeringClose.DURING_UPLOAD;
    rejectOpenRequest(HttpResponseStatus.SERVICE_UNAVAILABLE, "refused");
  }

  /**
   * How long the client still waits if it has sent everything. Its time counts from its last byte,
   * which may have been sent as soon as not all input was read at once: an upstream that reads
   * slowly causes many short pauses, and so does input that is costly to decode.
   */
  long remainingClientNanos() {
    return Math.max(0, clientTimeoutNanos - (clock.nowNanos() - maybeCompleteNanos()));
  }

  /** When the client may have sent everything; now if all that has arrived has been read. */
  private long maybeCompleteNanos() {
    return input.unreadSinceNanos() == 0 || cannotHaveSentAll()
        ? clock.nowNanos()
        : Math.max(input.unreadSinceNanos(), maybeSentNanos);
  }

  /** Called with each piece of the body. */
  private void noteUnsentBody() {
    if (cannotHaveSentAll()) {
      maybeSentNanos = lastPieceNanos;
    }
  }

  /** Whether the rest of the body is longer than what can be on its way. */
  private boolean cannotHaveSentAll() {
    return bodyLength - bodyBytes > MAX_SOCKET_BUFFER_BYTES;
  }

  /** How long reading may be paused; the time of a client that has sent everything runs on. */
  private long maxPauseNanos() {
    return Math.min(UPSTREAM_STALL_TIMEOUT_NANOS, clientTimeoutNanos);
  }

  /** The time that the slowest permitted client needs to send this many bytes. */
  private static long slowestTransferNanos(long bytes) {
    return bytes * 1_000_000_000L / MIN_BYTES_PER_SECOND;
  }

  private void onBodyComplete() {
    if (reservedBytes > bodyBytes) {
      listener.budget.release(reservedBytes - bodyBytes);
      reservedBytes = bodyBytes;
    }
    sentNanos = maybeCompleteNanos();
    phase = Phase.REQUEST_COMPLETE;
  }

  /**
   * Dispatches a completely received request, unless too much was pipelined behind it or its client
   * has left. Both may show only in what has not been read yet.
   */
  private void acceptRequest() {
    if (!accepting) {
      accepting = true;
      try {
        if (isStillWaiting()) {
          acceptFromWaitingClient();
        }
      } finally {
        accepting = false;
      }
    }
  }

  private void acceptFromWaitingClient() {
    if (pipelined.hasOverflowed()) {
      reject(HttpResponseStatus.BAD_REQUEST, "more than one request at a time");
      return;
    }
    String error = requestClass == null ? null : revalidateHead();
    if (error != null) {
      reject(HttpResponseStatus.BAD_REQUEST, error);
      return;
    }
    long remainingNanos = clientTimeoutNanos - (clock.nowNanos() - sentNanos);
    if (lacksHeadMemory() || (requestClass != null && remainingNanos <= 0)) {
      refuseUnread();
      return;
    }
    ByteBuf completeBody = body.takeBuffer();
    body = null;
    HttpRequest accepted = head;
    head = null;
    phase = Phase.AWAITING_ANSWER;
    timerStartNanos = clock.nowNanos();
    if (requestClass == null) {
      completeBody.release();
      answerReadinessProbe(accepted);
    } else {
      dispatch(accepted, completeBody, remainingNanos, RequestProtocol.HTTP1);
    }
  }

  private void dispatch(
      HttpRequest accepted, ByteBuf bufferedBody, long timeoutNanos, RequestProtocol form) {
    HttpHeaders headers = accepted.headers();
    HttpHeaders forwarded = new DefaultHttpHeaders(false);
    HeaderRules.copyEndToEndHeaders(headers, forwarded);
    dispatcher.onRequest(
        this,
        requestClass,
        headers.get(HeaderRules.REQUEST_ID),
        headers.get(HeaderRules.TENANT),
        "1".equals(headers.get(HeaderRules.RETRY)),
        timeoutNanos,
        form,
        new HttpPayload(
            listener.pool(),
            this,
            accepted.method(),
            accepted.uri(),
            forwarded,
            bufferedBody,
            streamedBody));
  }

  /** Called when the request is open, before it can be answered. */
  @Override
  public void accepted(RequestHandle accepted) {
    ticket = accepted;
  }

  private void answerReadinessProbe(HttpRequest probe) {
    boolean isGet = probe.method().equals(HttpMethod.GET);
    HttpResponseStatus status =
        !isGet
            ? HttpResponseStatus.METHOD_NOT_ALLOWED
            : listener.isDraining()
                ? HttpResponseStatus.SERVICE_UNAVAILABLE
                : HttpResponseStatus.OK;
    writeResponse(textResponse(status, status.reasonPhrase()));
  }

  // ---- answering ----

  /** Writes the complete answer of an upstream. */
  @Override
  public void serve(Answer whole) {
    HttpAnswer answer = (HttpAnswer) whole; // HttpPayload produces no other type.
    if (input.isPaused() && !isStillWaiting()) {
      answer.release(); // What was unread showed that the request was longer than declared.
      return;
    }
    FullHttpResponse response =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, answer.body());
    HeaderRules.copyEndToEndHeaders(answer.head().headers(), response.headers());
    writeResponse(response);
  }

  /** Tells the client that a retry is safe. */
  @Override
  public void refuse(long retryAfterNanos, Answer last) {
    FullHttpResponse response = textResponse(HttpResponseStatus.SERVICE_UNAVAILABLE, "refused");
    if (retryAfterNanos > 0) {
      response
          .headers()
          .set(HttpHeaderNames.RETRY_AFTER, HeaderRules.formatSeconds(retryAfterNanos));
    }
    writeResponse(response);
  }

  /** Tells the client that the request failed and may have had an effect. */
  @Override
  public void fail(Answer last) {
    writeResponse(textResponse(HttpResponseStatus.BAD_GATEWAY, "failed"));
  }

  // ---- streamed answers ----

  @Override
  public void answerStarted(HttpResponse upstreamHead, StreamedAnswerSource source) {
    ticket = null;
    answerSource = source;
    listener.pool().streamMemory.streamStarted();
    channel.config().setWriteBufferWaterMark(listener.pool().streamMemory.waterMark());
    HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
    HeaderRules.copyEndToEndHeaders(upstreamHead.headers(), response.headers());
    long contentLength = HttpUtil.getContentLength(upstreamHead, -1L);
    streamedAnswerChunked = contentLength < 0 && version.equals(HttpVersion.HTTP_1_1);
    if (contentLength >= 0) {
      HttpUtil.setContentLength(response, contentLength);
    } else if (streamedAnswerChunked) {
      HttpUtil.setTransferEncodingChunked(response, true);
    } else {
      keepAlive = false; // HTTP/1.0 has no chunked encoding: closing marks the end.
    }
    streamedAnswerKeepAlive = setKeepAlive(response);
    timerStartNanos = clock.nowNanos();
    channel.write(response);
  }

  @Override
  public void answerData(ByteBuf piece) {
    channel.write(new DefaultHttpContent(piece)).addListener(writeListener);
  }

  @Override
  public void answerFlush() {
    channel.flush();
    if (answerSource != null) {
      answerSource.setPaused(!channel.isWritable());
    }
  }

  @Override
  public void answerEnd() {
    endStream();
    finishAnswer(
        streamedAnswerKeepAlive && keepAlive,
        channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
  }

  @Override
  public void answerAborted() {
    endStream();
    resetConnection();
  }

  /** Shows a client that its answer is not whole, also where its end is the close. */
  private void resetConnection() {
    channel.config().setOption(ChannelOption.SO_LINGER, 0);
    channel.close();
  }

  private void endStream() {
    if (answerSource != null) {
      answerSource = null;
      listener.pool().streamMemory.streamEnded();
    }
  }

  private void recordWriteProgress() {
    if (answerSource != null) {
      timerStartNanos = clock.nowNanos();
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    if (answerSource != null) {
      answerSource.setPaused(!channel.isWritable());
    }
  }

  private static FullHttpResponse textResponse(HttpResponseStatus status, String reason) {
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, status, Unpooled.copiedBuffer(reason + "\n", US_ASCII));
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain");
    return response;
  }

  private void writeResponse(FullHttpResponse response) {
    HttpUtil.setContentLength(response, response.content().readableBytes());
    boolean keep = setKeepAlive(response);
    ChannelFuture written = channel.writeAndFlush(response);
    finishAnswer(keep, written);
  }

  private boolean setKeepAlive(HttpResponse response) {
    boolean keep = keepAlive && !listener.keepAliveDisabled() && phase != Phase.STREAMING_BODY;
    response
        .headers()
        .set(
            HttpHeaderNames.CONNECTION,
            keep ? HttpHeaderValues.KEEP_ALIVE : HttpHeaderValues.CLOSE);
    return keep;
  }

  private void finishAnswer(boolean keep, ChannelFuture written) {
    answerWrite = written;
    releaseReservation();
    ticket = null;
    headBytes = 0;
    timerStartNanos = clock.nowNanos();
    if (phase == Phase.STREAMING_BODY) {
      lingerDuringUpload(written);
      return;
    }
    streamedBody = null;
    if (!keep) {
      pipelined.release();
      startLingering();
      halfCloseAfter(written);
      return;
    }
    phase = Phase.IDLE;
    readsAtIdle = decoder.readCount();
    listener.becameIdle(this);
    replayPipelined();
    updateHeadMemory();
  }

  /** Answered before the body was complete: the rest of the body is read and discarded. */
  private void lingerDuringUpload(ChannelFuture written) {
    startLingering();
    lingeringClose = LingeringClose.DURING_UPLOAD;
    streamedBody.release();
    halfCloseAfter(written);
  }

  /** From now on input is discarded; what has been decoded of a further head is dropped. */
  private void startLingering() {
    phase = Phase.LINGERING;
    stopDecoding();
    updateHeadMemory();
  }

  private void stopDecoding() {
    if (decoder != null) {
      StrictRequestDecoder removed = decoder;
      decoder = null;
      if (channel.pipeline().context(removed) != null) {
        channel.pipeline().remove(removed);
      }
    }
  }

  /**
   * Starts the lingering close: shuts down the output and reads further input until the client
   * closes too or a limit of {@link LingeringClose} is reached. All answered connections end this
   * way.
   */
  private void halfCloseAfter(ChannelFuture written) {
    written.addListener(
        done -> {
          if (channel instanceof SocketChannel socket) {
            input.resumeAll();
            socket.shutdownOutput();
          }
        });
  }

  /** Processes the input that was queued while the previous request was being answered. */
  private void replayPipelined() {
    if (replayingPipeline) {
      return;
    }
    replayingPipeline = true;
    while (!pipelined.isEmpty()
        && (phase == Phase.IDLE || phase == Phase.READING_BODY || phase == Phase.STREAMING_BODY)) {
      read(pipelined.poll());
      if (lastBodyPiece != null) {
        forwardLastBodyPiece();
      }
      if (phase == Phase.REQUEST_COMPLETE) {
        acceptRequest();
      }
    }
    if (phase == Phase.STREAMING_BODY) {
      streamedBody.forwardReceived();
    }
    replayingPipeline = false;
    if (pipelined.isEmpty()) {
      input.resume(SocketInput.Pause.OVERFLOW);
    }
  }

  /** Answers an invalid request; the rest of its input is read and discarded. */
  private void reject(HttpResponseStatus status, String reason) {
    FullHttpResponse response = textResponse(status, reason);
    HttpUtil.setContentLength(response, response.content().readableBytes());
    response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    timerStartNanos = clock.nowNanos();
    listener.becameBusy(this);
    discardRequest();
    pipelined.release();
    startLingering();
    updateBodyMemory();
    halfCloseAfter(channel.writeAndFlush(response));
  }

  // ---- memory of heads ----

  private void updateHeadMemory() {
    long unfinished = decoder == null ? 0 : decoder.unfinishedHeadBytes();
    listener.headMemory.update(this, headBytes + pipelined.headBytes() + unfinished);
  }

  /** Whether the large head of the current request does not fit beside those of open requests. */
  private boolean lacksHeadMemory() {
    return headBytes > MemoryBudget.UNCOUNTED_BYTES && listener.headMemory.isExceeded();
  }

  /** Answers a request of which nothing has been forwarded; a retry is safe. */
  private void refuseUnread() {
    reject(HttpResponseStatus.SERVICE_UNAVAILABLE, "refused");
  }

  private void updateBodyMemory() {
    boolean unreserved = phase == Phase.READING_BODY && reservedBytes == 0;
    listener.bodyMemory.update(bodyHolder, unreserved ? bodyBytes : 0);
  }

  @Override
  public boolean canReleaseMemory() {
    return switch (phase) {
      case IDLE, READING_BODY, STREAMING_BODY -> true;
      case AWAITING_ANSWER ->
          decoder != null && pipelined.headBytes() + decoder.unfinishedHeadBytes() > 0;
      case REQUEST_COMPLETE, LINGERING -> false;
    };
  }

  @Override
  public void releaseMemory() {
    switch (phase) {
      case IDLE, READING_BODY -> refuseUnread();
      case STREAMING_BODY -> refuseUpload();
      default -> dropPipelined();
    }
  }

  /** Drops what was received behind the current request, which is the last one to be answered. */
  private void dropPipelined() {
    keepAlive = false;
    pipelined.overflow();
    stopDecoding();
  }

  // ---- end of input, timeouts and closing ----

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    input.readCompleted();
    if (phase == Phase.STREAMING_BODY) {
      streamedBody.forwardReceived();
    }
    if (lastBodyPiece != null) {
      forwardLastBodyPiece();
    }
    if (phase == Phase.REQUEST_COMPLETE && !replayingPipeline) {
      acceptRequest();
    }
    // Bytes without a message are an incomplete head, whose time is limited.
    if (phase == Phase.IDLE && headStartedNanos == 0 && decoder.readCount() != readsAtIdle) {
      headStartedNanos = clock.nowNanos();
      listener.becameBusy(this);
    }
    updateHeadMemory();
    updateBodyMemory();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    onDisconnected();
  }

  /** The only place that reports the disconnect of the client; may be called repeatedly. */
  private void onDisconnected() {
    discardRequest();
    pipelined.release();
    startLingering();
    updateBodyMemory();
    if (lastBodyPiece != null) {
      lastBodyPiece.release();
      lastBodyPiece = null;
    }
    if (answerSource != null) {
      StreamedAnswerSource source = answerSource;
      endStream();
      source.clientDisconnected();
    }
    if (ticket != null) {
      RequestHandle openTicket = ticket;
      ticket = null;
      openTicket.callerGone();
    }
    releaseReservation();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (!(cause instanceof IOException)) {
      Log.error("client connection", "closed", cause);
    }
    channel.close();
  }

  private void discardRequest() {
    head = null;
    headBytes = 0;
    if (body != null) {
      body.release();
      body = null;
    }
    releaseReservation();
  }

  private void releaseReservation() {
    if (reservedBytes > 0) {
      long bytes = reservedBytes;
      reservedBytes = 0;
      listener.budget.release(bytes);
    }
  }

  /**
   * Closes a connection between requests at once, to free its descriptor; false if it carries a
   * request. The socket is read first, because a request that has arrived but has not been read
   * would be lost.
   */
  public boolean evict() {
    if (!isBetweenRequests()) {
      return false;
    }
    channel.close();
    return true;
  }

  /** Starts a lingering close between requests. Requests that arrive later are not forwarded. */
  public void closeIdle() {
    if (phase == Phase.IDLE && isBetweenRequests()) {
      startLingering();
      timerStartNanos = clock.nowNanos();
      lingeringClose = LingeringClose.BETWEEN_REQUESTS;
      listener.lingerStarted(this);
      halfCloseAfter(channel.newSucceededFuture());
    }
  }

  private boolean isBetweenRequests() {
    if (phase == Phase.IDLE) {
      input.readOnce();
    }
    return (phase == Phase.IDLE || phase == Phase.LINGERING) && headStartedNanos == 0;
  }

  /** How long the connection has been open; only valid before its first request. */
  long unusedNanos(long now) {
    return now - timerStartNanos;
  }

  /** Whether a request has ever been received on the connection. */
  public boolean hadRequest() {
    return hadRequest;
  }

  private boolean isBodyTooSlow(long now) {
    return now - lastPieceNanos > BODY_TIMEOUT_NANOS
        || now - timerStartNanos > BODY_TIMEOUT_NANOS + slowestTransferNanos(bodyBytes);
  }

  private void tickAgainAfter(long nanos) {
    if (!tickScheduled) {
      tickScheduled = true;
      channel.eventLoop().schedule(this::tickOnce, nanos, NANOSECONDS);
    }
  }

  private void tickOnce() {
    tickScheduled = false;
    tick(clock.nowNanos());
  }

  /**
   * Enforces the limits on a body that is being buffered. A client whose input was throttled may
   * have sent all of it, so it is told that a retry is safe, and when its time is over.
   */
  private void enforceBodyTimeout(long now) {
    boolean clientWaits = input.isPaused() && requestClass != null;
    if (isBodyTooSlow(now) && !input.wasThrottled()) {
      reject(HttpResponseStatus.REQUEST_TIMEOUT, "body too slow");
    } else if (isBodyTooSlow(now) || (clientWaits && remainingClientNanos() == 0)) {
      refuseUnread();
    } else if (clientWaits) {
      tickBeforeTimeout();
    }
  }

  /** Enforces the limits on a body that is being streamed. */
  private void enforceUploadTimeout(long now) {
    boolean tooSlow = !readingPaused && isBodyTooSlow(now);
    boolean pausedTooLong = readingPaused && now - pausedNanos > maxPauseNanos();
    if (tooSlow && !input.wasThrottled()) {
      channel.close(); // Without its last byte the request never runs.
    } else if (tooSlow || pausedTooLong || remainingClientNanos() == 0) {
      refuseUpload();
    } else {
      tickBeforeTimeout();
    }
  }

  /** Ticks again when the client's time is over, if the next regular tick would be too late. */
  private void tickBeforeTimeout() {
    long remainingNanos = remainingClientNanos();
    if (remainingNanos < ClientListener.TICK_NANOS) {
      tickAgainAfter(remainingNanos);
    }
  }

  /** Enforces the time limits; called periodically. */
  public void tick(long now) {
    long age = now - timerStartNanos;
    switch (phase) {
      case IDLE -> {
        if (headStartedNanos > 0) {
          if (now - (hadRequest ? headStartedNanos : timerStartNanos) > HEAD_TIMEOUT_NANOS) {
            reject(HttpResponseStatus.REQUEST_TIMEOUT, "head too slow");
          }
        } else if (age > (hadRequest ? IDLE_TIMEOUT_NANOS : HEAD_TIMEOUT_NANOS)) {
          closeIdle();
        }
      }
      case READING_BODY -> enforceBodyTimeout(now);
      case STREAMING_BODY -> {
        input.noteSilence(now);
        enforceUploadTimeout(now);
      }
      case AWAITING_ANSWER -> {
        if (answerSource != null && !channel.isWritable() && age > WRITE_TIMEOUT_NANOS) {
          channel.close();
        }
      }
      case LINGERING -> {
        boolean unwritten = answerWrite != null && !answerWrite.isDone();
        if (age > (unwritten ? WRITE_TIMEOUT_NANOS : lingeringClose.timeoutNanos)) {
          channel.close();
        }
      }
      default -> {}
    }
  }
}
