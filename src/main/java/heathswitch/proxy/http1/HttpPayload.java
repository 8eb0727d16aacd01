package heathswitch.proxy.http1;

import heathswitch.proxy.spi.Attempt;
import heathswitch.proxy.spi.Payload;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;

/** A request over HTTP/1.1, whole or with a body that still comes. */
public final class HttpPayload implements Payload {
  private final UpstreamConnectionPool pool;
  private final StreamedAnswerSink sink;
  private final StreamedRequestBody streamedBody;
  private final HttpMethod method;
  private final String uri;
  private final HttpHeaders headers;
  private final ByteBuf body;

  /**
   * One that is whole; takes over the body.
   *
   * @param sink whoever gets an answer that goes on as it comes
   * @param headers that go on to an upstream, which the time left and the length are added to
   */
  public HttpPayload(
      UpstreamConnectionPool pool,
      StreamedAnswerSink sink,
      HttpMethod method,
      String uri,
      HttpHeaders headers,
      ByteBuf body) {
    this(pool, sink, method, uri, headers, body, null);
  }

  /**
   * Takes over the body.
   *
   * @param sink whoever gets an answer that goes on as it comes
   * @param upload brings the body where it still comes, and the body is then empty; else null
   */
  HttpPayload(
      UpstreamConnectionPool pool,
      StreamedAnswerSink sink,
      HttpMethod method,
      String uri,
      HttpHeaders headers,
      ByteBuf body,
      StreamedRequestBody streamedBody) {
    this.pool = pool;
    this.sink = sink;
    this.streamedBody = streamedBody;
    this.method = method;
    this.uri = uri;
    this.headers = headers;
    this.body = body;
  }

  @Override
  public boolean start(Attempt attempt) {
    return pool.start(attempt, this);
  }

  /** Whoever gets an answer that goes on as it comes. */
  public StreamedAnswerSink sink() {
    return sink;
  }

  /** Whether its body has come, so that it can be sent anywhere as it stands. */
  public boolean isBodyComplete() {
    return streamedBody == null;
  }

  public HttpMethod method() {
    return method;
  }

  public String uri() {
    return uri;
  }

  /** What goes on to whoever serves it; not to be changed. */
  public HttpHeaders headers() {
    return headers;
  }

  /** A copy of the body that shares its bytes; whoever gets it releases it. */
  public ByteBuf retainedBody() {
    return body.retainedDuplicate();
  }

  /** What brings the body where it still comes, or null. */
  StreamedRequestBody streamedBody() {
    return streamedBody;
  }

  @Override
  public boolean isRepeatable() {
    return streamedBody == null || streamedBody.canBeResent();
  }

  /** The head of a request whose body follows piece by piece. */
  HttpRequest toUpstreamHead(long remainingNanos) {
    HttpHeaders forwarded = headers.copy();
    long deadlineNanos = Math.min(remainingNanos, streamedBody.clientWaitNanos());
    forwarded.set(HeaderRules.DEADLINE, HeaderRules.formatSeconds(deadlineNanos));
    if (streamedBody.length() >= 0) {
      forwarded.set(HttpHeaderNames.CONTENT_LENGTH, streamedBody.length());
    } else {
      forwarded.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    }
    return new DefaultHttpRequest(HttpVersion.HTTP_1_1, method, uri, forwarded);
  }

  /** The request as it goes to an upstream; the body is shared, not copied. */
  FullHttpRequest toUpstreamRequest(long remainingNanos) {
    HttpHeaders forwarded = headers.copy();
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            method,
            uri,
            body.retainedDuplicate(),
            forwarded,
            EmptyHttpHeaders.INSTANCE);
    forwarded.set(HeaderRules.DEADLINE, HeaderRules.formatSeconds(remainingNanos));
    if (body.isReadable() || !method.equals(HttpMethod.GET)) {
      forwarded.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
    }
    return request;
  }

  @Override
  public void release() {
    body.release();
    if (streamedBody != null) {
      streamedBody.release();
    }
  }
}
