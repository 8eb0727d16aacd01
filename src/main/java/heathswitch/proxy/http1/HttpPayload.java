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
  private final StreamedRequestBody upload;
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
      StreamedRequestBody upload) {
    this.pool = pool;
    this.sink = sink;
    this.upload = upload;
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
    return upload == null;
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
  StreamedRequestBody upload() {
    return upload;
  }

  @Override
  public boolean isRepeatable() {
    return upload == null || upload.repeatable();
  }

  /** The head of a request whose body follows piece by piece. */
  HttpRequest forwardHead(long leftNanos) {
    HttpHeaders copy = headers.copy();
    long toldNanos = Math.min(leftNanos, upload.callerNanos());
    copy.set(HeaderRules.DEADLINE, HeaderRules.formatSeconds(toldNanos));
    if (upload.length() >= 0) {
      copy.set(HttpHeaderNames.CONTENT_LENGTH, upload.length());
    } else {
      copy.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    }
    return new DefaultHttpRequest(HttpVersion.HTTP_1_1, method, uri, copy);
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
    copy.set(HeaderRules.DEADLINE, HeaderRules.formatSeconds(leftNanos));
    if (body.isReadable() || !method.equals(HttpMethod.GET)) {
      copy.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
    }
    return request;
  }

  @Override
  public void release() {
    body.release();
    if (upload != null) {
      upload.release();
    }
  }
}
