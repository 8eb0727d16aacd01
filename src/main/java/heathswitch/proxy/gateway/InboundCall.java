package heathswitch.proxy.gateway;

import heathswitch.policy.api.RequestClass;
import heathswitch.policy.api.RequestProtocol;
import heathswitch.policy.gateway.Gateway;
import heathswitch.policy.gateway.Trail;
import heathswitch.proxy.http1.HeaderRules;
import heathswitch.proxy.http1.HttpAnswer;
import heathswitch.proxy.http1.HttpPayload;
import heathswitch.proxy.http1.StreamedAnswerSink;
import heathswitch.proxy.http1.StreamedAnswerSource;
import heathswitch.proxy.http2.InboundConnection;
import heathswitch.proxy.runtime.Log;
import heathswitch.proxy.spi.Answer;
import heathswitch.proxy.spi.Caller;
import heathswitch.proxy.spi.RequestHandle;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http2.DefaultHttp2Headers;
import io.netty.handler.codec.http2.Http2Error;
import io.netty.handler.codec.http2.Http2Headers;
import io.netty.handler.codec.http2.Http2Stream;
import io.netty.util.AsciiString;
import java.util.Locale;
import java.util.Map;

/**
 * A call from a peer site: served by this site's own servers or refused at once, and never
 * forwarded to another site. The headers of the call are validated before anything else is done.
 */
final class InboundCall implements InboundConnection.Call, Caller, StreamedAnswerSink {
  /** No peer sends a longer body, because its listener for clients does not buffer one. */
  private static final int MAX_BODY_BYTES = 1 << 20;

  private static final int MAX_COMPONENTS = 1024;
  private static final int MAX_ID_LENGTH = 128;
  private static final int MAX_PATH_LENGTH = 64 << 10;

  /** Bytes of a streamed answer that may wait for the peer before its source is paused. */
  private static final int MAX_UNSENT_BYTES = 256 << 10;

  private final InboundLinks inboundLinks;
  private final InboundLink link;
  private final int id;
  private final long startNanos;
  private Http2Headers head;
  private String site;
  private RequestClass requestClass;
  private CompositeByteBuf body;
  private long reservedBytes;
  private boolean requestEnded;
  private boolean answered;
  private boolean admitted;
  private long admittedNanos;
  private RequestHandle openRequest;

  /** The source of a streamed answer. */
  private StreamedAnswerSource source;

  /** Bytes of the answer that the peer has not accepted. */
  private int unsentBytes;

  /** When writing the answer last made progress. */
  private long progressNanos;

  InboundCall(InboundLinks inboundLinks, InboundLink link, int id) {
    this.inboundLinks = inboundLinks;
    this.link = link;
    this.id = id;
    startNanos = inboundLinks.now();
    progressNanos = startNanos;
  }

  // ---- request ----

  @Override
  public void onHeaders(Http2Headers frame, boolean last) {
    requestEnded |= last;
    if (answered) {
      return;
    }
    if (head == null) {
      head = frame;
      String fault = validate(frame);
      if (fault != null) {
        Log.warn("gateway", "call from " + site + " refused: " + fault);
        answer(SiteHeaders.Result.REFUSED);
        return;
      }
      body = Unpooled.compositeBuffer(MAX_COMPONENTS);
    }
    if (last) {
      requestComplete();
    }
  }

  /** Validates the headers and sets the fields read from them; returns the fault or null. */
  private String validate(Http2Headers frame) {
    CharSequence trailText = frame.get(SiteHeaders.TRAIL);
    Trail trail = Trail.parse(trailText);
    site = link.peerSite() != null ? link.peerSite() : trail == null ? "?" : trail.lastSite();
    if (!inboundLinks.isPeerSite(site)) {
      site = "?"; // In plain text the peer can claim any name.
      return "not a configured peer site";
    }
    Gateway.TrailVerdict verdict =
        frame.getAll(SiteHeaders.TRAIL).size() > 1
            ? Gateway.TrailVerdict.GARBLED
            : inboundLinks.gateway().checkTrail(site, trailText);
    inboundLinks.counters(site).onTrailChecked(verdict);
    if (verdict != Gateway.TrailVerdict.GOOD) {
      return "trail is " + verdict.name().toLowerCase(Locale.ROOT);
    }
    CharSequence className = frame.get(AsciiString.of(HeaderRules.CLASS).toLowerCase());
    requestClass =
        className == null ? null : inboundLinks.dispatcher().requestClass(className.toString());
    if (requestClass == null) {
      return "class " + className + " is not configured at this site";
    }
    CharSequence effect = frame.get(SiteHeaders.EFFECT);
    String localEffect = requestClass.effect().name().toLowerCase(Locale.ROOT);
    if (effect == null || !localEffect.contentEquals(effect)) {
      return "class "
          + className
          + " is "
          + localEffect
          + " at this site and "
          + effect
          + " at the peer site";
    }
    CharSequence requestId = frame.get(AsciiString.of(HeaderRules.REQUEST_ID).toLowerCase());
    if (requestId == null || !HeaderRules.isVisibleAscii(requestId.toString(), MAX_ID_LENGTH)) {
      return "request id missing or invalid";
    }
    boolean validPath =
        frame.path() != null
            && HeaderRules.isVisibleAscii(frame.path().toString(), MAX_PATH_LENGTH);
    return frame.method() == null || !validPath || SiteHeaders.number(frame, SiteHeaders.LEFT) < 0
        ? "method, path or time left missing or invalid"
        : null;
  }

  @Override
  public int onData(ByteBuf data, boolean last) {
    int bytes = data.readableBytes();
    requestEnded |= last;
    if (answered) {
      return bytes;
    }
    if (body.readableBytes() + bytes > MAX_BODY_BYTES || !inboundLinks.reserve(bytes)) {
      answer(SiteHeaders.Result.REFUSED);
      return bytes;
    }
    reservedBytes += bytes;
    if (bytes > 0) {
      body.addComponent(true, data.retainedSlice());
    }
    if (last) {
      requestComplete();
    }
    return bytes;
  }

  /** The request is complete: processes it if it is admitted, and refuses it otherwise. */
  private void requestComplete() {
    admittedNanos = inboundLinks.now();
    long leftNanos =
        SiteHeaders.number(head, SiteHeaders.LEFT) * 1000 - (admittedNanos - startNanos);
    String requestId = site + ' ' + head.get(AsciiString.of(HeaderRules.REQUEST_ID).toLowerCase());
    if (leftNanos <= 0
        || inboundLinks.draining()
        || inboundLinks.dispatcher().isIdUsed(requestId)) {
      answer(SiteHeaders.Result.REFUSED);
      return;
    }
    HttpHeaders forwarded = new DefaultHttpHeaders(false);
    HttpMethod method;
    try {
      method = HttpMethod.valueOf(head.method().toString());
      HeaderRules.copyEndToEndHeaders(requestHeaders(), forwarded);
    } catch (IllegalArgumentException e) { // Over HTTP/1.1 it could be read as several requests.
      Log.warn("gateway", "call from " + site + " refused: " + e.getMessage());
      answer(SiteHeaders.Result.REFUSED);
      return;
    }
    if (!HeaderRules.methodMatchesClass(
        requestClass, method, forwarded.contains(HeaderRules.IDEMPOTENCY_KEY))) {
      Log.warn("gateway", "call from " + site + " refused: method or key does not match its class");
      answer(SiteHeaders.Result.REFUSED);
      return;
    }
    admitted = inboundLinks.gateway().tryAdmit(admittedNanos);
    if (!admitted) {
      answer(SiteHeaders.Result.REFUSED);
      return;
    }
    ByteBuf completeBody = body;
    body = null;
    HttpPayload payload =
        new HttpPayload(
            inboundLinks.pool(), this, method, head.path().toString(), forwarded, completeBody);
    inboundLinks
        .dispatcher()
        .onRequest(
            this,
            requestClass,
            requestId,
            forwarded.get(HeaderRules.TENANT),
            "1".equals(forwarded.get(HeaderRules.RETRY)),
            Math.min(leftNanos, requestClass.deadlineNanos()),
            RequestProtocol.HTTP1,
            payload);
  }

  /** Returns the headers for a server; throws if one is not valid in an HTTP/1.1 message. */
  private HttpHeaders requestHeaders() {
    HttpHeaders headers = new DefaultHttpHeaders(true);
    for (Map.Entry<CharSequence, CharSequence> header : head) {
      if (!SiteHeaders.isLinkOnly(header.getKey())) {
        headers.add(header.getKey(), header.getValue());
      }
    }
    if (head.authority() != null) {
      headers.set(HttpHeaderNames.HOST, head.authority());
    }
    return headers;
  }

  // ---- answer ----

  @Override
  public void accepted(RequestHandle handle) {
    openRequest = handle;
  }

  /** A call from a peer site is never forwarded to another site. */
  @Override
  public boolean mayOverflow() {
    return false;
  }

  @Override
  public void serve(Answer buffered) {
    HttpAnswer httpAnswer = (HttpAnswer) buffered; // The only type of answer to an HttpPayload.
    openRequest = null;
    if (answered) {
      httpAnswer.release();
      return;
    }
    boolean empty = !httpAnswer.body().isReadable();
    writeAnswerHead(httpAnswer.head(), empty);
    if (empty) {
      httpAnswer.release();
    } else {
      writeBody(httpAnswer.body(), true);
    }
  }

  @Override
  public void refuse(long retryAfterNanos, Answer last) {
    openRequest = null;
    answer(SiteHeaders.Result.REFUSED);
  }

  @Override
  public void fail(Answer last) {
    openRequest = null;
    answer(SiteHeaders.Result.FAILED);
  }

  private void writeAnswerHead(HttpResponse response, boolean last) {
    Http2Headers headers = answerHeaders("200", SiteHeaders.Result.SERVED);
    HttpHeaders endToEnd = new DefaultHttpHeaders(false);
    HeaderRules.copyEndToEndHeaders(response.headers(), endToEnd);
    for (Map.Entry<String, String> header : endToEnd) {
      AsciiString name = AsciiString.of(header.getKey()).toLowerCase();
      if (!SiteHeaders.isLinkOnly(name)) {
        headers.add(name, header.getValue());
      }
    }
    String length = response.headers().get(HttpHeaderNames.CONTENT_LENGTH);
    if (source != null && length != null) {
      // Lets the client know the length in advance.
      headers.set(HttpHeaderNames.CONTENT_LENGTH, length);
    }
    markAnswered(true);
    link.writeHeaders(id, headers, last);
  }

  private Http2Headers answerHeaders(String status, SiteHeaders.Result result) {
    long now = inboundLinks.now();
    inboundLinks.counters(site).onEnd(result);
    return new DefaultHttp2Headers(false)
        .status(status)
        .set(SiteHeaders.RESULT, result.text())
        .setLong(SiteHeaders.TOOK, (now - startNanos) / 1000)
        .setInt(SiteHeaders.ROOM, inboundLinks.gateway().room(now));
  }

  /** Answers with a result but without the answer of a server. */
  private void answer(SiteHeaders.Result result) {
    if (answered) {
      return;
    }
    markAnswered(false);
    Http2Headers headers =
        answerHeaders(result == SiteHeaders.Result.REFUSED ? "503" : "502", result);
    ChannelFuture writing = link.writeHeaders(id, headers, true);
    if (!requestEnded) { // Asks the peer to stop sending the request (RFC 9113, section 8.1).
      writing.addListener(done -> link.reset(id, Http2Error.NO_ERROR));
    }
  }

  /** Marks the call as answered and releases its admission and its body. */
  private void markAnswered(boolean served) {
    answered = true;
    if (admitted) {
      admitted = false;
      inboundLinks.gateway().onAdmittedEnd(inboundLinks.now(), admittedNanos, requestClass, served);
    }
    if (body != null) {
      body.release();
      body = null;
    }
  }

  // ---- streamed answer ----

  @Override
  public void answerStarted(HttpResponse response, StreamedAnswerSource from) {
    openRequest = null;
    source = from;
    writeAnswerHead(response, false);
  }

  @Override
  public void answerData(ByteBuf piece) {
    writeBody(piece, false);
  }

  private void writeBody(ByteBuf piece, boolean last) {
    int bytes = piece.readableBytes();
    if (unsentBytes == 0) {
      progressNanos = inboundLinks.now();
    }
    unsentBytes += bytes;
    link.writeData(id, piece, last)
        .addListener(
            done -> {
              unsentBytes -= bytes;
              progressNanos = inboundLinks.now();
              if (source != null && unsentBytes <= MAX_UNSENT_BYTES / 2) {
                source.setPaused(false);
              }
            });
  }

  @Override
  public void answerFlush() {
    if (source != null && unsentBytes > MAX_UNSENT_BYTES) {
      source.setPaused(true);
    }
  }

  @Override
  public void answerEnd() {
    source = null;
    link.writeData(id, Unpooled.EMPTY_BUFFER, true);
  }

  @Override
  public void answerAborted() {
    source = null;
    link.reset(id, Http2Error.INTERNAL_ERROR);
  }

  // ---- end ----

  /** A request must arrive completely within the timeout; an answer only has to make progress. */
  @Override
  public boolean stalledSinceBefore(long nanos) {
    return answered
        ? unsentBytes > 0 && progressNanos < nanos
        : !requestEnded && startNanos < nanos;
  }

  @Override
  public void abort() {
    if (answered) {
      Log.warn("gateway", site + " does not read the answer; aborting the call");
      link.reset(id, Http2Error.CANCEL);
    } else {
      answer(SiteHeaders.Result.REFUSED); // The call has not run.
    }
  }

  @Override
  public void onReset(long code) {
    onPeerGone();
  }

  @Override
  public void onClosed(Http2Stream stream) {
    onPeerGone();
    inboundLinks.release(reservedBytes);
    reservedBytes = 0;
    link.callClosed();
  }

  private void onPeerGone() {
    if (!answered) {
      markAnswered(false);
    }
    if (source != null) {
      StreamedAnswerSource lostSource = source;
      source = null;
      lostSource.clientDisconnected();
    }
    if (openRequest != null) {
      RequestHandle lostRequest = openRequest;
      openRequest = null;
      lostRequest.callerGone();
    }
  }
}
