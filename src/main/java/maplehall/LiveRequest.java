package maplehall;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;

/** A request that has been taken: what it says, its attempts, and whether it has been answered. */
final class LiveRequest {
  /** One attempt at one upstream. */
  static final class Attempt {
    final LiveRequest request;
    final int number;
    final Upstream upstream;
    final long sentNanos;
    boolean open = true;
    UpstreamConnection connection;
    Future<?> timeout;

    Attempt(LiveRequest request, int number, Upstream upstream, long sentNanos) {
      this.request = request;
      this.number = number;
      this.upstream = upstream;
      this.sentNanos = sentNanos;
    }
  }

  final long id;

  /** The client's name for it, which no other open request may have. */
  final String name;

  final ClientHandler client;
  final long arrivedNanos;
  final long deadlineNanos;
  private final HttpMethod method;
  private final String uri;
  private final HttpHeaders headers;
  private final ByteBuf body;
  final List<Attempt> attempts = new ArrayList<>(2);
  int openAttempts;
  boolean over;
  Future<?> deadline;

  LiveRequest(
      long id,
      String name,
      ClientHandler client,
      long nowNanos,
      long ttlNanos,
      HttpMethod method,
      String uri,
      HttpHeaders headers,
      ByteBuf body) {
    this.id = id;
    this.name = name;
    this.client = client;
    this.arrivedNanos = nowNanos;
    this.deadlineNanos = nowNanos + ttlNanos;
    this.method = method;
    this.uri = uri;
    this.headers = headers;
    this.body = body;
  }

  /** The request as it goes to an upstream; the body is shared, not copied. */
  FullHttpRequest forward(long leftNanos) {
    HttpHeaders copy = headers.copy();
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            method,
            uri,
            body.retainedDuplicate(),
            copy,
            EmptyHttpHeaders.INSTANCE);
    copy.set(HeaderRules.DEADLINE, HeaderRules.seconds(leftNanos));
    if (body.isReadable() || !method.equals(HttpMethod.GET)) {
      copy.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
    }
    return request;
  }

  /** Nothing more can happen to the request. */
  boolean finished() {
    return over && openAttempts == 0;
  }

  void releaseBody() {
    body.release();
  }
}
