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

/** An HTTP/1.1 request whose body is either complete or still being received. */
public final class HttpPayload implements Payload {
  private final UpstreamConnectionPool pool;
  private final StreamedAnswerSink sink;
  private final StreamedRequestBody streamedBody;
  private final HttpMethod method;
  private final String uri;
  private final HttpHeaders headers;
  private final ByteBuf body;

  /**
   * Creates a request with a complete body.
   *
   * @param sink receives the answer if it is streamed
   * @param headers forwarded to the upstream, together with the remaining time and the body length
   * @param body ownership passes to this object
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
   * Creates a request with a complete or a streamed body.
   *
   * @param sink receives the answer if it is streamed
   * @param body the complete body, empty if it is streamed; ownership passes to this object
   * @param streamedBody the body if it is still being received, otherwise null
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

  /** Receives the answer if it is streamed. */
  public StreamedAnswerSink sink() {
    return sink;
  }

  /** Whether the whole body has been received, so that the request can go to any destination. */
  public boolean isBodyComplete() {
    return streamedBody == null;
  }

  public HttpMethod method() {
    return method;
  }

  public String uri() {
    return uri;
  }

  /** The headers to forward; callers must not modify them. */
  public HttpHeaders headers() {
    return headers;
  }

  /** A duplicate that shares the bytes of the body; the caller must release it. */
  public ByteBuf retainedBody() {
    return body.retainedDuplicate();
  }

  /** The body if it is still being received, otherwise null. */
  StreamedRequestBody streamedBody() {
    return streamedBody;
  }

  @Override
  public boolean isRepeatable() {
    return streamedBody == null || streamedBody.canBeResent();
  }

  /** The request head to send to an upstream when the body is streamed after it. */
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

  /** The complete request to send to an upstream; the body is shared, not copied. */
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
