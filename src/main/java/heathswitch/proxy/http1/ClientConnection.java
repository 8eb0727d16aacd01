package heathswitch.proxy.http1;

import static java.nio.charset.StandardCharsets.US_ASCII;

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
import io.netty.channel.nio.AbstractNioChannel;
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

/** One client's connection: reads one request at a time and writes its one answer. */
final class ClientConnection extends ChannelInboundHandlerAdapter
    implements Caller, StreamedAnswerSink {
  /** A longer body is turned away by its length, before it is read. Clients send up to 32 MB. */
  static final long MAX_BODY_BYTES = 40L << 20;

  /**
   * A body is gathered up to this size, so that its request can be tried again. Of a longer one the
   * rest goes on as it comes: memory holds only a few of them.
   */
  static final int MAX_BUFFERED_BODY_BYTES = 1 << 20;

  /** So much of a long body is there before its request is taken. */
  private static final int STREAMING_PREFIX_BYTES = 16 << 10;

  /** A body up to this size is read without asking; connections are few enough to bear that. */
  static final int UNRESERVED_BODY_BYTES = 64 << 10;

  /**
   * For the head of a request, from its first byte or from the start of its connection. Guards the
   * descriptor against clients that connect and say nothing, or half a head, and owes them an end
   * within 3 s; slow ones need 2 s.
   */
  static final long HEAD_TIMEOUT_NANOS = 2_500_000_000L;

  /**
   * Of a body something has to come so often, and from this long after its start on half of what
   * the slowest clients send, 64 kB/s. Guards against half requests and trickles.
   */
  static final long BODY_TIMEOUT_NANOS = 1_500_000_000L;

  private static final long MIN_BYTES_PER_SECOND = 32 << 10;

  /** For an upstream of a long body that takes nothing of it. */
  static final long UPSTREAM_STALL_TIMEOUT_NANOS = 3_000_000_000L;

  /** What a request may take to come whole, beside its own time, where it is taken before that. */
  private static final long MAX_UPLOAD_NANOS = 600_000_000_000L;

  /** Since the last answer; many clients ask once and never close. */
  static final long IDLE_TIMEOUT_NANOS = 10_000_000_000L;

  /** Without any progress for so long the writing of an answer is given up. */
  private static final long WRITE_TIMEOUT_NANOS = 10_000_000_000L;

  private enum Phase {
    /** No request, or only a part of its head. */
    IDLE,
    /** The head has come, the body has not. */
    READING_BODY,
    /** Taken while its body still comes. */
    STREAMING_BODY,
    /** Come whole; taken once it is clear what came along with it. */
    REQUEST_COMPLETE,
    /** Taken; the answer is owed. */
    AWAITING_ANSWER,
    /** The last answer has been given; what still comes is thrown away. */
    LINGERING
  }

  private final ClientListener server;
  private final Dispatcher dispatcher;
  private final Clock clock;
  private final Channel channel;
  private final StrictRequestDecoder decoder;
  private final PipelineQueue pipelined = new PipelineQueue();
  private Phase phase = Phase.IDLE;
  private long timerStartNanos;
  private long headStartedNanos;
  private HttpRequest head;

  /** The settings that the head was read by, as {@link Dispatcher#reloads} counts them. */
  private int settingsReloads;

  private boolean keepAlive;
  private RequestClass requestClass;
  private long ttlNanos;
  private RequestBodyBuffer body;
  private long bodyBytes;
  private long reserved;
  private Object pendingReservation;
  private RequestHandle ticket;
  private boolean replayingPipeline;

  /**
   * Whether bytes of this very connection are being decoded, in the middle of which none are read.
   */
  private boolean decoding;

  /** The end of a long body, kept until it is known that its client has stayed. */
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

  /** Brings an answer that goes on as it comes. */
  private StreamedAnswerSource answerSource;

  private boolean streamedAnswerKeepAlive;
  private boolean streamedAnswerChunked;
  private final ChannelFutureListener writeListener = done -> recordWriteProgress();

  public ClientConnection(
      ClientListener server,
      Dispatcher dispatcher,
      Clock clock,
      Channel channel,
      StrictRequestDecoder decoder) {
    this.decoder = decoder;
    this.server = server;
    this.dispatcher = dispatcher;
    this.clock = clock;
    this.channel = channel;
    this.timerStartNanos = clock.nowNanos();
  }

  // ---- reading ----

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    decoding = true;
    HttpObject part = (HttpObject) message;
    boolean busy = phase == Phase.REQUEST_COMPLETE || phase == Phase.AWAITING_ANSWER;
    if (busy || !pipelined.isEmpty() || pipelined.hasOverflowed()) {
      queuePipelined(part);
    } else {
      read(part);
    }
  }

  /** Reading goes on while a request is answered, as only that shows that a client has gone. */
  private void queuePipelined(HttpObject part) {
    pipelined.add(part);
    if (pipelined.hasOverflowed()) {
      keepAlive = false;
    }
    if (pipelined.overflowLimitExceeded()) {
      channel.config().setAutoRead(false);
    }
  }

  /**
   * Reads what has come, unless that is going on: only reading shows that a client has closed its
   * connection, and while the loop was held up or reading paused that may have been long ago.
   */
  @Override
  public boolean isStillWaiting() {
    if (!decoding && channel.isActive()) {
      ((AbstractNioChannel.NioUnsafe) channel.unsafe()).read();
    }
    if (!channel.isActive()) {
      onDisconnected(); // The channel tells of its end on a later turn of the loop only.
      return false;
    }
    return true;
  }

  private void read(HttpObject part) {
    try {
      if (phase == Phase.LINGERING) {
        discard(part);
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

  private void discard(HttpObject part) {
    discardedBytes += LingeringClose.bodyBytes(part);
    if (lingeringClose.mustCloseNow(discardedBytes, part)) {
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
    reject(status, "malformed request");
  }

  private void beginRequest(HttpRequest request) {
    server.becameBusy(this);
    hadRequest = true;
    head = request;
    settingsReloads = dispatcher.reloadCount();
    version = request.protocolVersion();
    keepAlive = HttpUtil.isKeepAlive(request);
    phase = Phase.READING_BODY;
    timerStartNanos = clock.nowNanos();
    lastPieceNanos = timerStartNanos;
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
    body = new RequestBodyBuffer(channel.alloc(), HttpUtil.getContentLength(request, -1L));
    if (contentLength > UNRESERVED_BODY_BYTES && contentLength <= MAX_BUFFERED_BODY_BYTES) {
      reserveBuffer(contentLength);
    } else {
      sendContinueIfExpected();
    }
  }

  /** Reads what a head says; what is wrong with it, or null. */
  private String validateHead(HttpRequest request) {
    RequestHead read = RequestHead.read(request, dispatcher, server.forbiddenHeader());
    requestClass = read.requestClass();
    ttlNanos = read.timeoutNanos();
    return read.error();
  }

  /**
   * What has become wrong with the request since its head was read, or null. Its id may have been
   * taken by another meanwhile; and it is taken wholly under the settings that hold now.
   */
  private String revalidateHead() {
    if (settingsReloads != dispatcher.reloadCount()) {
      settingsReloads = dispatcher.reloadCount();
      return validateHead(head);
    }
    boolean idInUse = dispatcher.isRequestOpen(head.headers().get(HeaderRules.REQUEST_ID));
    return idInUse ? RequestHead.duplicateIdError() : null;
  }

  private void reserveBuffer(long bytes) {
    long additional = bytes - reserved;
    pendingReservation =
        server.budget.reserve(
            additional,
            () -> {
              pendingReservation = null;
              reserved += additional;
              timerStartNanos = clock.nowNanos() - slowestTransferNanos(bodyBytes);
              lastPieceNanos = clock.nowNanos();
              sendContinueIfExpected();
              channel.config().setAutoRead(true);
            });
    if (pendingReservation == null) {
      reserved += additional;
      sendContinueIfExpected();
    } else {
      channel.config().setAutoRead(false);
    }
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
    body.append(piece);
    if (content instanceof LastHttpContent) {
      onBodyComplete();
    } else if (requestClass != null && pendingReservation == null && shouldStreamBody()) {
      startStreaming();
    } else if (bodyBytes > UNRESERVED_BODY_BYTES && reserved == 0 && pendingReservation == null) {
      // In chunks, so of unknown length: all that it may come to, or two could wait for each other.
      reserveBuffer(MAX_BUFFERED_BODY_BYTES);
    }
  }

  /** Whether a body that has not ended is too long to be gathered. */
  private boolean shouldStreamBody() {
    return HttpUtil.getContentLength(head, -1L) > MAX_BUFFERED_BODY_BYTES
        ? bodyBytes >= STREAMING_PREFIX_BYTES
        : bodyBytes >= MAX_BUFFERED_BODY_BYTES;
  }

  /** A long one is taken now, and the rest of its body goes on as it comes. */
  private void startStreaming() {
    String error = revalidateHead();
    if (error != null) {
      reject(HttpResponseStatus.BAD_REQUEST, error);
      return;
    }
    long prefixReservation = reserved;
    reserved = 0;
    long contentLength = HttpUtil.getContentLength(head, -1L);
    streamedBody =
        new StreamedRequestBody(
            this, server.budget, contentLength, ttlNanos, body.takeBuffer(), prefixReservation);
    body = null;
    HttpRequest accepted = head;
    head = null;
    phase = Phase.STREAMING_BODY;
    dispatch(
        accepted, Unpooled.EMPTY_BUFFER, ttlNanos + MAX_UPLOAD_NANOS, RequestProtocol.HTTP1_STREAM);
  }

  private void readStreamedBody(HttpContent content) {
    boolean last = content instanceof LastHttpContent;
    lastPieceNanos = clock.nowNanos();
    bodyBytes += content.content().readableBytes();
    if (bodyBytes > MAX_BODY_BYTES) {
      channel.close(); // In chunks without end; nothing has run, as its last byte never came.
      return;
    }
    if (!last) {
      streamedBody.append(content.content().retain(), false);
      return;
    }
    phase = Phase.AWAITING_ANSWER;
    timerStartNanos = lastPieceNanos;
    if (ticket != null) {
      ticket.bodyComplete(ttlNanos);
    }
    lastBodyPiece = content.content().retain();
  }

  /**
   * The last piece makes the request run. It goes on once what came behind it has been read too: a
   * client that had sent everything and left may lie behind a body whose reading was paused.
   */
  private void forwardLastBodyPiece() {
    ByteBuf piece = lastBodyPiece;
    lastBodyPiece = null;
    if (isStillWaiting() && streamedBody != null) {
      streamedBody.append(piece, true);
    } else {
      piece.release();
    }
  }

  /** The upstream of a long body takes no more for now, or takes more again. */
  void setReadingPaused(boolean paused) {
    if (readingPaused != paused) {
      readingPaused = paused;
      lastPieceNanos = clock.nowNanos();
      timerStartNanos = lastPieceNanos - slowestTransferNanos(bodyBytes);
      channel.config().setAutoRead(!paused);
    }
  }

  /** Its upstream takes nothing. The last byte was never sent on, so a retry is harmless. */
  private void abortStalledUpload() {
    RequestHandle openTicket = ticket;
    lingeringClose = LingeringClose.DURING_UPLOAD;
    reject(HttpResponseStatus.SERVICE_UNAVAILABLE, "refused");
    if (openTicket != null) {
      ticket = null;
      openTicket.callerGone();
    }
  }

  /** What the slowest permitted client takes for so many bytes. */
  private static long slowestTransferNanos(long bytes) {
    return bytes * 1_000_000_000L / MIN_BYTES_PER_SECOND;
  }

  private void onBodyComplete() {
    if (pendingReservation != null) {
      server.budget.cancelReservation(pendingReservation);
      pendingReservation = null;
      channel.config().setAutoRead(true);
    } else if (reserved > bodyBytes) {
      server.budget.release(reserved - bodyBytes);
      reserved = bodyBytes;
    }
    phase = Phase.REQUEST_COMPLETE;
  }

  /** The request that has come whole is taken, unless a flood came behind it. */
  private void acceptRequest() {
    if (pipelined.hasOverflowed()) {
      reject(HttpResponseStatus.BAD_REQUEST, "more than one request at a time");
      return;
    }
    String error = requestClass == null ? null : revalidateHead();
    if (error != null) {
      reject(HttpResponseStatus.BAD_REQUEST, error);
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
      dispatch(accepted, completeBody, ttlNanos, RequestProtocol.HTTP1);
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
            server.pool(),
            this,
            accepted.method(),
            accepted.uri(),
            forwarded,
            bufferedBody,
            streamedBody));
  }

  /** The request is live; told before anything can answer it. */
  @Override
  public void accepted(RequestHandle accepted) {
    ticket = accepted;
  }

  private void answerReadinessProbe(HttpRequest probe) {
    boolean isGet = probe.method().equals(HttpMethod.GET);
    HttpResponseStatus status =
        !isGet
            ? HttpResponseStatus.METHOD_NOT_ALLOWED
            : server.isDraining() ? HttpResponseStatus.SERVICE_UNAVAILABLE : HttpResponseStatus.OK;
    writeResponse(textResponse(status, status.reasonPhrase()));
  }

  // ---- answering ----

  /** Serves an upstream's whole answer. */
  @Override
  public void serve(Answer whole) {
    HttpAnswer answer = (HttpAnswer) whole; // The only kind that an HttpPayload brings.
    FullHttpResponse response =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, answer.body());
    HeaderRules.copyEndToEndHeaders(answer.head().headers(), response.headers());
    writeResponse(response);
  }

  /** Tells the client that a retry is harmless. */
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

  /** Tells the client that the request failed, and may have had an effect. */
  @Override
  public void fail(Answer last) {
    writeResponse(textResponse(HttpResponseStatus.BAD_GATEWAY, "failed"));
  }

  // ---- an answer that goes on as it comes ----

  @Override
  public void answerStarted(HttpResponse from, StreamedAnswerSource source) {
    ticket = null;
    answerSource = source;
    HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
    HeaderRules.copyEndToEndHeaders(from.headers(), response.headers());
    long contentLength = HttpUtil.getContentLength(from, -1L);
    streamedAnswerChunked = contentLength < 0 && version.equals(HttpVersion.HTTP_1_1);
    if (contentLength >= 0) {
      HttpUtil.setContentLength(response, contentLength);
    } else if (streamedAnswerChunked) {
      HttpUtil.setTransferEncodingChunked(response, true);
    } else {
      keepAlive = false; // It ends with its connection: the client knows no chunks.
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
    answerSource = null;
    finishAnswer(
        streamedAnswerKeepAlive, channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
  }

  @Override
  public void answerAborted() {
    answerSource = null;
    channel.config().setOption(ChannelOption.SO_LINGER, 0);
    channel.close();
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
    boolean keep = keepAlive && !server.keepAliveDisabled() && phase != Phase.STREAMING_BODY;
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
    timerStartNanos = clock.nowNanos();
    if (phase == Phase.STREAMING_BODY) {
      lingerDuringUpload(written);
      return;
    }
    streamedBody = null;
    if (!keep) {
      phase = Phase.LINGERING;
      pipelined.release();
      halfCloseAfter(written);
      return;
    }
    phase = Phase.IDLE;
    readsAtIdle = decoder.readCount();
    server.becameIdle(this);
    replayPipelined();
  }

  /** Answered in the middle of a long body: what still comes is read and thrown away. */
  private void lingerDuringUpload(ChannelFuture written) {
    phase = Phase.LINGERING;
    lingeringClose = LingeringClose.DURING_UPLOAD;
    streamedBody.release();
    halfCloseAfter(written);
  }

  /**
   * The one way in which an answered connection ends: its sending is shut, and what still comes is
   * read until the client closes too, or as long as {@link LingeringClose} says.
   */
  private void halfCloseAfter(ChannelFuture written) {
    written.addListener(
        done -> {
          if (channel instanceof SocketChannel socket) {
            channel.config().setAutoRead(true);
            socket.shutdownOutput();
          }
        });
  }

  /** Takes up what came while the answer was on its way. */
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
    replayingPipeline = false;
    if (pipelined.isEmpty() && pendingReservation == null) {
      channel.config().setAutoRead(true);
    }
  }

  /** An answer to what is no request; what is left of it is read and thrown away. */
  private void reject(HttpResponseStatus status, String reason) {
    FullHttpResponse response = textResponse(status, reason);
    HttpUtil.setContentLength(response, response.content().readableBytes());
    response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    phase = Phase.LINGERING;
    timerStartNanos = clock.nowNanos();
    server.becameBusy(this);
    discardRequest();
    pipelined.release();
    halfCloseAfter(channel.writeAndFlush(response));
  }

  // ---- the end ----

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    decoding = false;
    if (lastBodyPiece != null) {
      forwardLastBodyPiece();
    }
    if (phase == Phase.REQUEST_COMPLETE && !replayingPipeline) {
      acceptRequest();
    }
    // Bytes came and made no message: a part of a head, which must not take for ever.
    if (phase == Phase.IDLE && headStartedNanos == 0 && decoder.readCount() != readsAtIdle) {
      headStartedNanos = clock.nowNanos();
      server.becameBusy(this);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    onDisconnected();
  }

  /** The one place that says that the client has gone; may be told more than once. */
  private void onDisconnected() {
    phase = Phase.LINGERING;
    discardRequest();
    pipelined.release();
    if (lastBodyPiece != null) {
      lastBodyPiece.release();
      lastBodyPiece = null;
    }
    if (answerSource != null) {
      StreamedAnswerSource source = answerSource;
      answerSource = null;
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
    if (pendingReservation != null) {
      server.budget.cancelReservation(pendingReservation);
      pendingReservation = null;
    }
    if (body != null) {
      body.release();
      body = null;
    }
    releaseReservation();
  }

  private void releaseReservation() {
    if (reserved > 0) {
      long bytes = reserved;
      reserved = 0;
      server.budget.release(bytes);
    }
  }

  /**
   * Closes a connection between requests at once, for its descriptor; false if a request turns out
   * to be on it. The socket is read first: one that has come but has not been read would be lost
   * with the connection.
   */
  public boolean evict() {
    if (!isBetweenRequests()) {
      return false;
    }
    channel.close();
    return true;
  }

  /** Ends a connection between requests; what crosses the end is read, and never sent on. */
  public void closeIdle() {
    if (phase == Phase.IDLE && isBetweenRequests()) {
      phase = Phase.LINGERING;
      timerStartNanos = clock.nowNanos();
      lingeringClose = LingeringClose.BETWEEN_REQUESTS;
      server.lingerStarted(this);
      halfCloseAfter(channel.newSucceededFuture());
    }
  }

  private boolean isBetweenRequests() {
    if (phase == Phase.IDLE && channel.isActive()) {
      ((AbstractNioChannel.NioUnsafe) channel.unsafe()).read();
    }
    return (phase == Phase.IDLE || phase == Phase.LINGERING) && headStartedNanos == 0;
  }

  /** For how long a connection has been open on which no request has ever begun. */
  long unusedNanos(long now) {
    return now - timerStartNanos;
  }

  /** Whether a request has ever begun on the connection. */
  public boolean hadRequest() {
    return hadRequest;
  }

  private boolean isBodyTooSlow(long now) {
    return now - lastPieceNanos > BODY_TIMEOUT_NANOS
        || now - timerStartNanos > BODY_TIMEOUT_NANOS + slowestTransferNanos(bodyBytes);
  }

  /** Gives up what takes too long. */
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
      case READING_BODY -> {
        if (pendingReservation == null && isBodyTooSlow(now)) {
          reject(HttpResponseStatus.REQUEST_TIMEOUT, "body too slow");
        }
      }
      case STREAMING_BODY -> {
        if (!readingPaused && isBodyTooSlow(now)) {
          channel.close(); // Nothing has run: its last byte never came.
        } else if (readingPaused && now - lastPieceNanos > UPSTREAM_STALL_TIMEOUT_NANOS) {
          abortStalledUpload();
        }
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
