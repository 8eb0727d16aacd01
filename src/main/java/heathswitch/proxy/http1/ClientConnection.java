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
  static final long MOST_BODY_BYTES = 40L << 20;

  /**
   * A body is gathered up to this size, so that its request can be tried again. Of a longer one the
   * rest goes on as it comes: memory holds only a few of them.
   */
  static final int GATHERED_BYTES = 1 << 20;

  /** So much of a long body is there before its request is taken. */
  private static final int FIRST_BYTES = 16 << 10;

  /** A body up to this size is read without asking; connections are few enough to bear that. */
  static final int FREE_BODY_BYTES = 64 << 10;

  /**
   * For the head of a request, from its first byte or from the start of its connection. Guards the
   * descriptor against clients that connect and say nothing, or half a head, and owes them an end
   * within 3 s; slow ones need 2 s.
   */
  static final long HEAD_NANOS = 2_500_000_000L;

  /**
   * Of a body something has to come so often, and from this long after its start on half of what
   * the slowest clients send, 64 kB/s. Guards against half requests and trickles.
   */
  static final long BODY_NANOS = 1_500_000_000L;

  private static final long LEAST_BYTES_PER_SECOND = 32 << 10;

  /** For an upstream of a long body that takes nothing of it. */
  static final long TAKE_NANOS = 3_000_000_000L;

  /** What a request may take to come whole, beside its own time, where it is taken before that. */
  private static final long MOST_UPLOAD_NANOS = 600_000_000_000L;

  /** Since the last answer; many clients ask once and never close. */
  static final long IDLE_NANOS = 10_000_000_000L;

  /** Without any progress for so long the writing of an answer is given up. */
  private static final long WRITE_NANOS = 10_000_000_000L;

  private enum Phase {
    /** No request, or only a part of its head. */
    IDLE,
    /** The head has come, the body has not. */
    BODY,
    /** Taken while its body still comes. */
    UPLOAD,
    /** Come whole; taken once it is clear what came along with it. */
    COMPLETE,
    /** Taken; the answer is owed. */
    TAKEN,
    /** The last answer has been given; what still comes is thrown away. */
    LINGER
  }

  private final ClientListener server;
  private final Dispatcher dispatcher;
  private final Clock clock;
  private final Channel channel;
  private final StrictRequestDecoder decoder;
  private final PipelineQueue pipelined = new PipelineQueue();
  private Phase phase = Phase.IDLE;
  private long sinceNanos;
  private long headSinceNanos;
  private HttpRequest head;

  /** The settings that the head was read by, as {@link Dispatcher#reloads} counts them. */
  private int readUnder;

  private boolean keepAlive;
  private RequestClass type;
  private long ttlNanos;
  private RequestBodyBuffer body;
  private long bodyBytes;
  private long reserved;
  private Object waiting;
  private RequestHandle request;
  private boolean replaying;

  /**
   * Whether bytes of this very connection are being decoded, in the middle of which none are read.
   */
  private boolean decoding;

  /** The end of a long body, kept until it is known that its client has stayed. */
  private ByteBuf uploadEnd;

  private boolean asked;
  private int readsBefore;
  private long lingerBytes;
  private LingeringClose linger = LingeringClose.ANSWERED;
  private ChannelFuture answering;
  private HttpVersion version = HttpVersion.HTTP_1_1;
  private long pieceNanos;
  private StreamedRequestBody upload;
  private boolean readingPaused;

  /** Brings an answer that goes on as it comes. */
  private StreamedAnswerSource passing;

  private boolean passKeep;
  private boolean passChunked;
  private final ChannelFutureListener progress = done -> madeProgress();

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
    this.sinceNanos = clock.nowNanos();
  }

  // ---- reading ----

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    decoding = true;
    HttpObject part = (HttpObject) message;
    boolean busy = phase == Phase.COMPLETE || phase == Phase.TAKEN;
    if (busy || !pipelined.isEmpty() || pipelined.isFlood()) {
      readAhead(part);
    } else {
      read(part);
    }
  }

  /** Reading goes on while a request is answered, as only that shows that a client has gone. */
  private void readAhead(HttpObject part) {
    pipelined.add(part);
    if (pipelined.isFlood()) {
      keepAlive = false;
    }
    if (pipelined.isEndless()) {
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
      end(); // The channel tells of its end on a later turn of the loop only.
      return false;
    }
    return true;
  }

  private void read(HttpObject part) {
    try {
      if (phase == Phase.LINGER) {
        thrownAway(part);
        return;
      }
      headSinceNanos = 0;
      if (part.decoderResult().isFailure()) {
        malformed(part.decoderResult().cause());
        return;
      }
      if (part instanceof HttpRequest next) {
        begin(next);
      }
      if (part instanceof HttpContent content) {
        if (phase == Phase.BODY) {
          content(content);
        } else if (phase == Phase.UPLOAD) {
          uploaded(content);
        }
      }
    } finally {
      ReferenceCountUtil.release(part);
    }
  }

  private void thrownAway(HttpObject part) {
    lingerBytes += LingeringClose.bytes(part);
    if (linger.endsAt(lingerBytes, part)) {
      channel.close();
    }
  }

  private void malformed(Throwable cause) {
    HttpResponseStatus status = HttpResponseStatus.BAD_REQUEST;
    if (cause instanceof TooLongHttpHeaderException) {
      status = HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE;
    } else if (cause instanceof TooLongHttpLineException) {
      status = HttpResponseStatus.REQUEST_URI_TOO_LONG;
    }
    reject(status, "malformed request");
  }

  private void begin(HttpRequest next) {
    server.becameBusy(this);
    asked = true;
    head = next;
    readUnder = dispatcher.reloadCount();
    version = next.protocolVersion();
    keepAlive = HttpUtil.isKeepAlive(next);
    phase = Phase.BODY;
    sinceNanos = clock.nowNanos();
    pieceNanos = sinceNanos;
    bodyBytes = 0;
    type = null;
    boolean probe = next.uri().equals("/up");
    String fault = probe ? null : fault(next);
    if (fault != null) {
      Log.info("bad request", fault);
      reject(HttpResponseStatus.BAD_REQUEST, fault);
      return;
    }
    long length = HttpUtil.getContentLength(next, 0L);
    if (length > MOST_BODY_BYTES) {
      reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body over 40 MiB");
      return;
    }
    body = new RequestBodyBuffer(channel.alloc(), HttpUtil.getContentLength(next, -1L));
    if (length > FREE_BODY_BYTES && length <= GATHERED_BYTES) {
      reserve(length);
    } else {
      goOnReading();
    }
  }

  /** Reads what a head says; what is wrong with it, or null. */
  private String fault(HttpRequest next) {
    RequestHead read = RequestHead.read(next, dispatcher, server.forbiddenHeader());
    type = read.type();
    ttlNanos = read.ttlNanos();
    return read.fault();
  }

  /**
   * What has become wrong with the request since its head was read, or null. Its id may have been
   * taken by another meanwhile; and it is taken wholly under the settings that hold now.
   */
  private String faultSince() {
    if (readUnder != dispatcher.reloadCount()) {
      readUnder = dispatcher.reloadCount();
      return fault(head);
    }
    boolean open = dispatcher.isRequestOpen(head.headers().get(HeaderRules.REQUEST_ID));
    return open ? RequestHead.openTwice() : null;
  }

  private void reserve(long bytes) {
    long more = bytes - reserved;
    waiting =
        server.budget.reserve(
            more,
            () -> {
              waiting = null;
              reserved += more;
              sinceNanos = clock.nowNanos() - takenNanos(bodyBytes);
              pieceNanos = clock.nowNanos();
              goOnReading();
              channel.config().setAutoRead(true);
            });
    if (waiting == null) {
      reserved += more;
      goOnReading();
    } else {
      channel.config().setAutoRead(false);
    }
  }

  private void goOnReading() {
    if (head != null && HttpUtil.is100ContinueExpected(head)) {
      HttpUtil.set100ContinueExpected(head, false);
      channel.writeAndFlush(
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
    }
  }

  private void content(HttpContent content) {
    ByteBuf piece = content.content();
    bodyBytes += piece.readableBytes();
    if (bodyBytes > MOST_BODY_BYTES) {
      reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body over 40 MiB");
      return;
    }
    pieceNanos = clock.nowNanos();
    body.append(piece);
    if (content instanceof LastHttpContent) {
      complete();
    } else if (type != null && waiting == null && longBody()) {
      takeEarly();
    } else if (bodyBytes > FREE_BODY_BYTES && reserved == 0 && waiting == null) {
      // In chunks, so of unknown length: all that it may come to, or two could wait for each other.
      reserve(GATHERED_BYTES);
    }
  }

  /** Whether a body that has not ended is too long to be gathered. */
  private boolean longBody() {
    return HttpUtil.getContentLength(head, -1L) > GATHERED_BYTES
        ? bodyBytes >= FIRST_BYTES
        : bodyBytes >= GATHERED_BYTES;
  }

  /** A long one is taken now, and the rest of its body goes on as it comes. */
  private void takeEarly() {
    String fault = faultSince();
    if (fault != null) {
      reject(HttpResponseStatus.BAD_REQUEST, fault);
      return;
    }
    long held = reserved;
    reserved = 0;
    long length = HttpUtil.getContentLength(head, -1L);
    upload = new StreamedRequestBody(this, server.budget, length, ttlNanos, body.take(), held);
    body = null;
    HttpRequest taken = head;
    head = null;
    phase = Phase.UPLOAD;
    dispatch(
        taken, Unpooled.EMPTY_BUFFER, ttlNanos + MOST_UPLOAD_NANOS, RequestProtocol.HTTP1_STREAM);
  }

  private void uploaded(HttpContent content) {
    boolean last = content instanceof LastHttpContent;
    pieceNanos = clock.nowNanos();
    bodyBytes += content.content().readableBytes();
    if (bodyBytes > MOST_BODY_BYTES) {
      channel.close(); // In chunks without end; nothing has run, as its last byte never came.
      return;
    }
    if (!last) {
      upload.add(content.content().retain(), false);
      return;
    }
    phase = Phase.TAKEN;
    sinceNanos = pieceNanos;
    if (request != null) {
      request.bodyComplete(ttlNanos);
    }
    uploadEnd = content.content().retain();
  }

  /**
   * The last piece makes the request run. It goes on once what came behind it has been read too: a
   * client that had sent everything and left may lie behind a body whose reading was paused.
   */
  private void passUploadEnd() {
    ByteBuf end = uploadEnd;
    uploadEnd = null;
    if (isStillWaiting() && upload != null) {
      upload.add(end, true);
    } else {
      end.release();
    }
  }

  /** The upstream of a long body takes no more for now, or takes more again. */
  void pauseReading(boolean pause) {
    if (readingPaused != pause) {
      readingPaused = pause;
      pieceNanos = clock.nowNanos();
      sinceNanos = pieceNanos - takenNanos(bodyBytes);
      channel.config().setAutoRead(!pause);
    }
  }

  /** Its upstream takes nothing. The last byte was never sent on, so a retry is harmless. */
  private void giveUpUpload() {
    RequestHandle live = request;
    linger = LingeringClose.UPLOADING;
    reject(HttpResponseStatus.SERVICE_UNAVAILABLE, "refused");
    if (live != null) {
      request = null;
      live.callerGone();
    }
  }

  /** What the slowest permitted client takes for so many bytes. */
  private static long takenNanos(long bytes) {
    return bytes * 1_000_000_000L / LEAST_BYTES_PER_SECOND;
  }

  private void complete() {
    if (waiting != null) {
      server.budget.cancelReservation(waiting);
      waiting = null;
      channel.config().setAutoRead(true);
    } else if (reserved > bodyBytes) {
      server.budget.release(reserved - bodyBytes);
      reserved = bodyBytes;
    }
    phase = Phase.COMPLETE;
  }

  /** The request that has come whole is taken, unless a flood came behind it. */
  private void take() {
    if (pipelined.isFlood()) {
      reject(HttpResponseStatus.BAD_REQUEST, "more than one request at a time");
      return;
    }
    String fault = type == null ? null : faultSince();
    if (fault != null) {
      reject(HttpResponseStatus.BAD_REQUEST, fault);
      return;
    }
    ByteBuf whole = body.take();
    body = null;
    HttpRequest taken = head;
    head = null;
    phase = Phase.TAKEN;
    sinceNanos = clock.nowNanos();
    if (type == null) {
      whole.release();
      readiness(taken);
    } else {
      dispatch(taken, whole, ttlNanos, RequestProtocol.HTTP1);
    }
  }

  private void dispatch(HttpRequest taken, ByteBuf whole, long ttl, RequestProtocol form) {
    HttpHeaders headers = taken.headers();
    HttpHeaders forwarded = new DefaultHttpHeaders(false);
    HeaderRules.copyEndToEndHeaders(headers, forwarded);
    dispatcher.onRequest(
        this,
        type,
        headers.get(HeaderRules.REQUEST_ID),
        headers.get(HeaderRules.TENANT),
        "1".equals(headers.get(HeaderRules.RETRY)),
        ttl,
        form,
        new HttpPayload(
            server.pool(), this, taken.method(), taken.uri(), forwarded, whole, upload));
  }

  /** The request is live; told before anything can answer it. */
  @Override
  public void accepted(RequestHandle live) {
    request = live;
  }

  private void readiness(HttpRequest probe) {
    boolean get = probe.method().equals(HttpMethod.GET);
    HttpResponseStatus status =
        !get
            ? HttpResponseStatus.METHOD_NOT_ALLOWED
            : server.isDraining() ? HttpResponseStatus.SERVICE_UNAVAILABLE : HttpResponseStatus.OK;
    answer(text(status, status.reasonPhrase()));
  }

  // ---- answering ----

  /** Serves an upstream's whole answer. */
  @Override
  public void serve(Answer whole) {
    HttpAnswer from = (HttpAnswer) whole; // The only kind that an HttpPayload brings.
    FullHttpResponse answer =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, from.body());
    HeaderRules.copyEndToEndHeaders(from.head().headers(), answer.headers());
    answer(answer);
  }

  /** Tells the client that a retry is harmless. */
  @Override
  public void refuse(long retryAfterNanos, Answer last) {
    FullHttpResponse answer = text(HttpResponseStatus.SERVICE_UNAVAILABLE, "refused");
    if (retryAfterNanos > 0) {
      answer.headers().set(HttpHeaderNames.RETRY_AFTER, HeaderRules.formatSeconds(retryAfterNanos));
    }
    answer(answer);
  }

  /** Tells the client that the request failed, and may have had an effect. */
  @Override
  public void fail(Answer last) {
    answer(text(HttpResponseStatus.BAD_GATEWAY, "failed"));
  }

  // ---- an answer that goes on as it comes ----

  @Override
  public void answerStarted(HttpResponse from, StreamedAnswerSource source) {
    request = null;
    passing = source;
    HttpResponse answer = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
    HeaderRules.copyEndToEndHeaders(from.headers(), answer.headers());
    long length = HttpUtil.getContentLength(from, -1L);
    passChunked = length < 0 && version.equals(HttpVersion.HTTP_1_1);
    if (length >= 0) {
      HttpUtil.setContentLength(answer, length);
    } else if (passChunked) {
      HttpUtil.setTransferEncodingChunked(answer, true);
    } else {
      keepAlive = false; // It ends with its connection: the client knows no chunks.
    }
    passKeep = setKeepAlive(answer);
    sinceNanos = clock.nowNanos();
    channel.write(answer);
  }

  @Override
  public void answerData(ByteBuf piece) {
    channel.write(new DefaultHttpContent(piece)).addListener(progress);
  }

  @Override
  public void answerFlush() {
    channel.flush();
    if (passing != null) {
      passing.setPaused(!channel.isWritable());
    }
  }

  @Override
  public void answerEnd() {
    passing = null;
    finish(passKeep, channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
  }

  @Override
  public void answerAborted() {
    passing = null;
    channel.config().setOption(ChannelOption.SO_LINGER, 0);
    channel.close();
  }

  private void madeProgress() {
    if (passing != null) {
      sinceNanos = clock.nowNanos();
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    if (passing != null) {
      passing.setPaused(!channel.isWritable());
    }
  }

  private static FullHttpResponse text(HttpResponseStatus status, String reason) {
    FullHttpResponse answer =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, status, Unpooled.copiedBuffer(reason + "\n", US_ASCII));
    answer.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain");
    return answer;
  }

  private void answer(FullHttpResponse answer) {
    HttpUtil.setContentLength(answer, answer.content().readableBytes());
    boolean keep = setKeepAlive(answer);
    ChannelFuture written = channel.writeAndFlush(answer);
    finish(keep, written);
  }

  private boolean setKeepAlive(HttpResponse answer) {
    boolean keep = keepAlive && !server.keepAliveDisabled() && phase != Phase.UPLOAD;
    answer
        .headers()
        .set(
            HttpHeaderNames.CONNECTION,
            keep ? HttpHeaderValues.KEEP_ALIVE : HttpHeaderValues.CLOSE);
    return keep;
  }

  private void finish(boolean keep, ChannelFuture written) {
    answering = written;
    releaseReserved();
    request = null;
    sinceNanos = clock.nowNanos();
    if (phase == Phase.UPLOAD) {
      lingerOver(written);
      return;
    }
    upload = null;
    if (!keep) {
      phase = Phase.LINGER;
      pipelined.release();
      lingerAfter(written);
      return;
    }
    phase = Phase.IDLE;
    readsBefore = decoder.reads();
    server.becameIdle(this);
    replay();
  }

  /** Answered in the middle of a long body: what still comes is read and thrown away. */
  private void lingerOver(ChannelFuture written) {
    phase = Phase.LINGER;
    linger = LingeringClose.UPLOADING;
    upload.release();
    lingerAfter(written);
  }

  /**
   * The one way in which an answered connection ends: its sending is shut, and what still comes is
   * read until the client closes too, or as long as {@link LingeringClose} says.
   */
  private void lingerAfter(ChannelFuture written) {
    written.addListener(
        done -> {
          if (channel instanceof SocketChannel socket) {
            channel.config().setAutoRead(true);
            socket.shutdownOutput();
          }
        });
  }

  /** Takes up what came while the answer was on its way. */
  private void replay() {
    if (replaying) {
      return;
    }
    replaying = true;
    while (!pipelined.isEmpty()
        && (phase == Phase.IDLE || phase == Phase.BODY || phase == Phase.UPLOAD)) {
      read(pipelined.poll());
      if (uploadEnd != null) {
        passUploadEnd();
      }
      if (phase == Phase.COMPLETE) {
        take();
      }
    }
    replaying = false;
    if (pipelined.isEmpty() && waiting == null) {
      channel.config().setAutoRead(true);
    }
  }

  /** An answer to what is no request; what is left of it is read and thrown away. */
  private void reject(HttpResponseStatus status, String reason) {
    FullHttpResponse answer = text(status, reason);
    HttpUtil.setContentLength(answer, answer.content().readableBytes());
    answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    phase = Phase.LINGER;
    sinceNanos = clock.nowNanos();
    server.becameBusy(this);
    dropBody();
    pipelined.release();
    lingerAfter(channel.writeAndFlush(answer));
  }

  // ---- the end ----

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    decoding = false;
    if (uploadEnd != null) {
      passUploadEnd();
    }
    if (phase == Phase.COMPLETE && !replaying) {
      take();
    }
    // Bytes came and made no message: a part of a head, which must not take for ever.
    if (phase == Phase.IDLE && headSinceNanos == 0 && decoder.reads() != readsBefore) {
      headSinceNanos = clock.nowNanos();
      server.becameBusy(this);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    end();
  }

  /** The one place that says that the client has gone; may be told more than once. */
  private void end() {
    phase = Phase.LINGER;
    dropBody();
    pipelined.release();
    if (uploadEnd != null) {
      uploadEnd.release();
      uploadEnd = null;
    }
    if (passing != null) {
      StreamedAnswerSource source = passing;
      passing = null;
      source.clientDisconnected();
    }
    if (request != null) {
      RequestHandle live = request;
      request = null;
      live.callerGone();
    }
    releaseReserved();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (!(cause instanceof IOException)) {
      Log.error("client connection", "closed", cause);
    }
    channel.close();
  }

  private void dropBody() {
    head = null;
    if (waiting != null) {
      server.budget.cancelReservation(waiting);
      waiting = null;
    }
    if (body != null) {
      body.release();
      body = null;
    }
    releaseReserved();
  }

  private void releaseReserved() {
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
    if (!atRest()) {
      return false;
    }
    channel.close();
    return true;
  }

  /** Ends a connection between requests; what crosses the end is read, and never sent on. */
  public void closeIdle() {
    if (phase == Phase.IDLE && atRest()) {
      phase = Phase.LINGER;
      sinceNanos = clock.nowNanos();
      linger = LingeringClose.AT_REST;
      server.leaves(this);
      lingerAfter(channel.newSucceededFuture());
    }
  }

  private boolean atRest() {
    if (phase == Phase.IDLE && channel.isActive()) {
      ((AbstractNioChannel.NioUnsafe) channel.unsafe()).read();
    }
    return (phase == Phase.IDLE || phase == Phase.LINGER) && headSinceNanos == 0;
  }

  /** For how long a connection has been open on which no request has ever begun. */
  long silentNanos(long now) {
    return now - sinceNanos;
  }

  /** Whether a request has ever begun on the connection. */
  public boolean asked() {
    return asked;
  }

  private boolean tooSlow(long now) {
    return now - pieceNanos > BODY_NANOS || now - sinceNanos > BODY_NANOS + takenNanos(bodyBytes);
  }

  /** Gives up what takes too long. */
  public void tick(long now) {
    long age = now - sinceNanos;
    switch (phase) {
      case IDLE -> {
        if (headSinceNanos > 0) {
          if (now - (asked ? headSinceNanos : sinceNanos) > HEAD_NANOS) {
            reject(HttpResponseStatus.REQUEST_TIMEOUT, "head too slow");
          }
        } else if (age > (asked ? IDLE_NANOS : HEAD_NANOS)) {
          closeIdle();
        }
      }
      case BODY -> {
        if (waiting == null && tooSlow(now)) {
          reject(HttpResponseStatus.REQUEST_TIMEOUT, "body too slow");
        }
      }
      case UPLOAD -> {
        if (!readingPaused && tooSlow(now)) {
          channel.close(); // Nothing has run: its last byte never came.
        } else if (readingPaused && now - pieceNanos > TAKE_NANOS) {
          giveUpUpload();
        }
      }
      case TAKEN -> {
        if (passing != null && !channel.isWritable() && age > WRITE_NANOS) {
          channel.close();
        }
      }
      case LINGER -> {
        boolean unwritten = answering != null && !answering.isDone();
        if (age > (unwritten ? WRITE_NANOS : linger.nanos)) {
          channel.close();
        }
      }
      default -> {}
    }
  }
}
