package maplehall;

import static java.nio.charset.StandardCharsets.US_ASCII;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
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
import java.util.ArrayDeque;
import meadowtrack.api.RequestClass;

/** One client's connection: reads one request at a time and writes its one answer. */
final class ClientHandler extends ChannelInboundHandlerAdapter {
  static final long MOST_BODY_BYTES = 32L << 20;

  /** A body up to this size is read without asking; connections are few enough to bear that. */
  static final int FREE_BODY_BYTES = 16 << 10;

  private static final int BLOCK_BYTES = 32 << 10;

  private static final long HEAD_NANOS = 10_000_000_000L;
  private static final long IDLE_NANOS = 75_000_000_000L;
  private static final long LINGER_NANOS = 1_000_000_000L;

  /** Without any progress for so long a body, an answer or a stream is given up. */
  private static final long STALL_NANOS = 15_000_000_000L;

  /** The slowest body that is read to its end: that which keeps up with this rate. */
  private static final long LEAST_BYTES_PER_SECOND = 16 << 10;

  /** Parts of a further request that are kept while one is being answered. */
  private static final int MOST_PIPELINED = 16;

  private enum Phase {
    /** No request, or only a part of its head. */
    IDLE,
    /** The head has come, the body has not. */
    BODY,
    /** Taken; the answer is owed. */
    TAKEN,
    /** A long answer is under way. */
    STREAM,
    /** The last answer has been given; what still comes is thrown away. */
    LINGER
  }

  private final ClientServer server;
  private final Dispatcher dispatcher;
  private final Clock clock;
  private final Channel channel;
  private final ArrayDeque<HttpObject> pipelined = new ArrayDeque<>();
  private Phase phase = Phase.IDLE;
  private long sinceNanos;
  private long headSinceNanos;
  private HttpRequest head;
  private boolean keepAlive;
  private RequestClass type;
  private long ttlNanos;
  private CompositeByteBuf body;
  private ByteBuf tail;
  private long bodyBytes;
  private long reserved;
  private Object waiting;
  private LiveRequest request;
  private UpstreamConnection source;
  private boolean chunkedStream;
  private boolean replaying;

  ClientHandler(ClientServer server, Dispatcher dispatcher, Clock clock, Channel channel) {
    this.server = server;
    this.dispatcher = dispatcher;
    this.clock = clock;
    this.channel = channel;
    this.sinceNanos = clock.nowNanos();
  }

  // ---- reading ----

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    HttpObject part = (HttpObject) message;
    if (phase == Phase.TAKEN || phase == Phase.STREAM || !pipelined.isEmpty()) {
      // The next request before this one is answered. Reading goes on, within limits, because only
      // reading shows that a client has gone.
      pipelined.add(part);
      if (pipelined.size() >= MOST_PIPELINED) {
        channel.config().setAutoRead(false);
      }
      return;
    }
    read(part);
  }

  private void read(HttpObject part) {
    try {
      if (phase == Phase.LINGER) {
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
      if (part instanceof HttpContent content && phase == Phase.BODY) {
        content(content);
      }
    } finally {
      ReferenceCountUtil.release(part);
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
    head = next;
    keepAlive = HttpUtil.isKeepAlive(next);
    phase = Phase.BODY;
    sinceNanos = clock.nowNanos();
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
      reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body over 32 MB");
      return;
    }
    body = channel.alloc().compositeBuffer(2048);
    if (length > FREE_BODY_BYTES) {
      reserve(length);
    } else {
      goOnReading();
    }
  }

  /** Says what is wrong with a request's head, or null; sets what was read from it. */
  private String fault(HttpRequest next) {
    String id = next.headers().get(HeaderRules.REQUEST_ID);
    if (id == null || id.isEmpty()) {
      return "no " + HeaderRules.REQUEST_ID;
    }
    type = dispatcher.requestClass(next.headers().get(HeaderRules.CLASS));
    if (type == null) {
      return "unknown " + HeaderRules.CLASS;
    }
    String deadline = next.headers().get(HeaderRules.DEADLINE);
    ttlNanos = deadline == null ? type.deadlineNanos() : HeaderRules.parseSeconds(deadline.trim());
    if (ttlNanos < 0) {
      return "malformed " + HeaderRules.DEADLINE;
    }
    boolean key = next.headers().contains(HeaderRules.IDEMPOTENCY_KEY);
    boolean fits =
        switch (type.effect()) {
          case SAFE -> next.method().equals(HttpMethod.GET);
          case KEYED -> next.method().equals(HttpMethod.POST) && key;
          case UNSAFE -> next.method().equals(HttpMethod.POST) && !key;
        };
    return fits ? null : "method or key does not fit class " + type.name();
  }

  private void reserve(long bytes) {
    long more = bytes - reserved;
    waiting =
        server.budget.reserve(
            more,
            () -> {
              waiting = null;
              reserved += more;
              sinceNanos = clock.nowNanos();
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
      reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body over 32 MB");
      return;
    }
    append(piece);
    if (content instanceof LastHttpContent) {
      complete();
    } else if (bodyBytes > FREE_BODY_BYTES && reserved == 0 && waiting == null) {
      // In chunks, so of unknown length: all that it may come to, or two could wait for each other.
      reserve(MOST_BODY_BYTES);
    }
  }

  /**
   * Pieces are copied into blocks: a short piece would keep the whole buffer it was read into, and
   * a body of many pieces would be copied together again and again.
   */
  private void append(ByteBuf piece) {
    while (piece.isReadable()) {
      if (tail == null) {
        long expected = HttpUtil.getContentLength(head, (long) BLOCK_BYTES) - body.readableBytes();
        tail = channel.alloc().directBuffer((int) Math.max(64, Math.min(expected, BLOCK_BYTES)));
      }
      tail.writeBytes(piece, Math.min(piece.readableBytes(), tail.writableBytes()));
      if (!tail.isWritable()) {
        addTail();
      }
    }
  }

  private void addTail() {
    if (tail != null) {
      body.addComponent(true, tail);
      tail = null;
    }
  }

  private void complete() {
    if (waiting != null) {
      server.budget.giveUp(waiting);
      waiting = null;
      channel.config().setAutoRead(true);
    } else if (reserved > bodyBytes) {
      server.budget.release(reserved - bodyBytes);
      reserved = bodyBytes;
    }
    addTail();
    ByteBuf whole = body;
    body = null;
    HttpRequest taken = head;
    head = null;
    phase = Phase.TAKEN;
    sinceNanos = clock.nowNanos();
    if (type == null) {
      whole.release();
      readiness(taken);
    } else {
      dispatcher.onRequest(
          this, type, ttlNanos, taken.method(), taken.uri(), taken.headers(), whole);
    }
  }

  /** The request is live; told before anything can answer it. */
  void taken(LiveRequest live) {
    request = live;
  }

  private void readiness(HttpRequest probe) {
    boolean get = probe.method().equals(HttpMethod.GET);
    HttpResponseStatus status =
        !get
            ? HttpResponseStatus.METHOD_NOT_ALLOWED
            : server.draining() ? HttpResponseStatus.SERVICE_UNAVAILABLE : HttpResponseStatus.OK;
    answer(text(status, status.reasonPhrase()));
  }

  // ---- answering ----

  /** Serves an upstream's whole answer. */
  void serve(HttpResponse from, ByteBuf content) {
    FullHttpResponse answer =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, content);
    HeaderRules.copyEndToEnd(from.headers(), answer.headers());
    answer(answer);
  }

  /** Tells the client that a retry is harmless. */
  void refuse(long retryAfterNanos) {
    FullHttpResponse answer = text(HttpResponseStatus.SERVICE_UNAVAILABLE, "refused");
    if (retryAfterNanos > 0) {
      answer.headers().set(HttpHeaderNames.RETRY_AFTER, HeaderRules.seconds(retryAfterNanos));
    }
    answer(answer);
  }

  /** Tells the client that the request failed, and may have had an effect. */
  void fail() {
    answer(text(HttpResponseStatus.BAD_GATEWAY, "failed"));
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
    boolean keep = keepAlive && !server.draining();
    answer
        .headers()
        .set(
            HttpHeaderNames.CONNECTION,
            keep ? HttpHeaderValues.KEEP_ALIVE : HttpHeaderValues.CLOSE);
    return keep;
  }

  /** A long answer begins; what follows comes piece by piece. */
  void beginStream(HttpResponse from, UpstreamConnection source) {
    this.source = source;
    phase = Phase.STREAM;
    HttpResponse answer = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
    HeaderRules.copyEndToEnd(from.headers(), answer.headers());
    chunkedStream = !HttpUtil.isContentLengthSet(from);
    if (chunkedStream) {
      HttpUtil.setTransferEncodingChunked(answer, true);
    } else {
      HttpUtil.setContentLength(answer, HttpUtil.getContentLength(from));
    }
    keepAlive = setKeepAlive(answer);
    channel.write(answer);
  }

  void streamPiece(ByteBuf piece) {
    channel.writeAndFlush(new DefaultHttpContent(piece));
    if (!channel.isWritable() && source != null) {
      source.mayRead(false);
    }
    sinceNanos = clock.nowNanos();
  }

  void endStream() {
    source = null;
    finish(keepAlive, channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
  }

  /** The client must see that the answer is not whole: its connection is reset. */
  void breakStream() {
    source = null;
    request = null;
    abort();
  }

  private void abort() {
    phase = Phase.LINGER;
    if (channel instanceof SocketChannel socket && socket.isOpen()) {
      socket.config().setSoLinger(0);
    }
    channel.close();
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    sinceNanos = clock.nowNanos();
    if (source != null) {
      source.mayRead(channel.isWritable());
    }
  }

  private void finish(boolean keep, ChannelFuture written) {
    releaseReserved();
    request = null;
    sinceNanos = clock.nowNanos();
    if (!keep) {
      phase = Phase.LINGER;
      dropPipelined();
      written.addListener(ChannelFutureListener.CLOSE);
      return;
    }
    phase = Phase.IDLE;
    server.becameIdle(this);
    replay();
  }

  /** Takes up what came while the answer was on its way. */
  private void replay() {
    if (replaying) {
      return;
    }
    replaying = true;
    while (!pipelined.isEmpty() && (phase == Phase.IDLE || phase == Phase.BODY)) {
      read(pipelined.poll());
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
    dropPipelined();
    channel.config().setAutoRead(true);
    // Closed at once with unread bytes, the connection would be reset and the answer lost.
    channel
        .writeAndFlush(answer)
        .addListener(
            done -> {
              if (channel instanceof SocketChannel socket) {
                socket.shutdownOutput();
              }
            });
  }

  // ---- the end ----

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    // Bytes came and made no message: a part of a head, which must not take for ever.
    if (phase == Phase.IDLE && headSinceNanos == 0 && channel.isActive()) {
      headSinceNanos = clock.nowNanos();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    phase = Phase.LINGER;
    source = null;
    dropBody();
    dropPipelined();
    if (request != null) {
      LiveRequest live = request;
      request = null;
      dispatcher.onGone(live);
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
      server.budget.giveUp(waiting);
      waiting = null;
    }
    if (body != null) {
      addTail();
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

  private void dropPipelined() {
    while (!pipelined.isEmpty()) {
      ReferenceCountUtil.release(pipelined.poll());
    }
  }

  /** Closes a connection between requests. */
  void closeIdle() {
    channel.close();
  }

  /** Gives up what takes too long. */
  void tick(long now) {
    long age = now - sinceNanos;
    switch (phase) {
      case IDLE -> {
        if (headSinceNanos > 0 ? now - headSinceNanos > HEAD_NANOS : age > IDLE_NANOS) {
          channel.close();
        }
      }
      case BODY -> {
        long allowed = STALL_NANOS + bodyBytes * 1_000_000_000L / LEAST_BYTES_PER_SECOND;
        if (waiting == null && age > allowed) {
          reject(HttpResponseStatus.REQUEST_TIMEOUT, "body too slow");
        }
      }
      case STREAM -> {
        boolean stalled = channel.isWritable() && source != null;
        if (stalled ? now - source.heardNanos() > STALL_NANOS : age > STALL_NANOS) {
          abort();
        }
      }
      case LINGER -> {
        if (age > LINGER_NANOS) {
          channel.close();
        }
      }
      default -> {}
    }
  }
}
