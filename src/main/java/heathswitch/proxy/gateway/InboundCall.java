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
 * One call of another site: served by this site's own servers or refused at once, and never sent
 * on. Everything that its peer says is checked before anything is done for it.
 */
final class InboundCall implements InboundConnection.Call, Caller, StreamedAnswerSink {
  /** A front gathers no longer body, so no peer sends one. */
  private static final int MOST_BODY_BYTES = 1 << 20;

  private static final int MOST_COMPONENTS = 1024;
  private static final int MOST_ID_LENGTH = 128;
  private static final int MOST_PATH = 64 << 10;

  /** Of a long answer, bytes that wait for the peer before its server is told to wait. */
  private static final int MOST_UNSENT = 256 << 10;

  private final InboundLinks inward;
  private final InboundLink link;
  private final int id;
  private final long begunNanos;
  private Http2Headers head;
  private String site;
  private RequestClass type;
  private CompositeByteBuf body;
  private long held;
  private boolean ended;
  private boolean answered;
  private boolean lent;
  private long takenNanos;
  private RequestHandle ticket;

  /** Brings an answer that goes on as it comes. */
  private StreamedAnswerSource source;

  /** Bytes of the answer that the peer has not taken, and when it last took or sent any. */
  private int unsent;

  private long movedNanos;

  InboundCall(InboundLinks inward, InboundLink link, int id) {
    this.inward = inward;
    this.link = link;
    this.id = id;
    begunNanos = inward.now();
    movedNanos = begunNanos;
  }

  // ---- what the peer sends ----

  @Override
  public void onHeaders(Http2Headers frame, boolean last) {
    ended |= last;
    if (answered) {
      return;
    }
    if (head == null) {
      head = frame;
      String fault = fault(frame);
      if (fault != null) {
        Log.warn("gateway", "call of " + site + " refused: " + fault);
        answer(SiteHeaders.Result.REFUSED);
        return;
      }
      body = Unpooled.compositeBuffer(MOST_COMPONENTS);
    }
    if (last) {
      whole();
    }
  }

  /** What is wrong with a call, or null; sets what was read from it. */
  private String fault(Http2Headers frame) {
    CharSequence text = frame.get(SiteHeaders.TRAIL);
    Trail trail = Trail.parse(text);
    site = link.peer() != null ? link.peer() : trail == null ? "?" : trail.lastSite();
    if (!inward.isPeer(site)) {
      site = "?"; // In plain text anybody can name any site.
      return "of no site expected";
    }
    Gateway.TrailVerdict entry =
        frame.getAll(SiteHeaders.TRAIL).size() > 1
            ? Gateway.TrailVerdict.GARBLED
            : inward.gateway().checkTrail(site, text);
    inward.counts(site).entered(entry);
    if (entry != Gateway.TrailVerdict.GOOD) {
      return "trail is " + entry.name().toLowerCase(Locale.ROOT);
    }
    CharSequence name = frame.get(AsciiString.of(HeaderRules.CLASS).toLowerCase());
    type = name == null ? null : inward.dispatcher().requestClass(name.toString());
    if (type == null) {
      return "class " + name + " is not known here";
    }
    CharSequence effect = frame.get(SiteHeaders.EFFECT);
    String own = type.effect().name().toLowerCase(Locale.ROOT);
    if (effect == null || !own.contentEquals(effect)) {
      return "class " + name + " is " + own + " here and " + effect + " there";
    }
    CharSequence call = frame.get(AsciiString.of(HeaderRules.REQUEST_ID).toLowerCase());
    if (call == null || !HeaderRules.isVisibleAscii(call.toString(), MOST_ID_LENGTH)) {
      return "no readable id";
    }
    boolean clear =
        frame.path() != null && HeaderRules.isVisibleAscii(frame.path().toString(), MOST_PATH);
    return frame.method() == null || !clear || SiteHeaders.number(frame, SiteHeaders.LEFT) < 0
        ? "no clear method, path or time"
        : null;
  }

  @Override
  public int onData(ByteBuf data, boolean last) {
    int bytes = data.readableBytes();
    ended |= last;
    if (answered) {
      return bytes;
    }
    if (body.readableBytes() + bytes > MOST_BODY_BYTES || !inward.hold(bytes)) {
      answer(SiteHeaders.Result.REFUSED);
      return bytes;
    }
    held += bytes;
    if (bytes > 0) {
      body.addComponent(true, data.retainedSlice());
    }
    if (last) {
      whole();
    }
    return bytes;
  }

  /** All of it has come: taken if there is room to lend. */
  private void whole() {
    takenNanos = inward.now();
    long left = SiteHeaders.number(head, SiteHeaders.LEFT) * 1000 - (takenNanos - begunNanos);
    String name = site + ' ' + head.get(AsciiString.of(HeaderRules.REQUEST_ID).toLowerCase());
    if (left <= 0 || inward.draining() || inward.dispatcher().isRequestOpen(name)) {
      answer(SiteHeaders.Result.REFUSED);
      return;
    }
    HttpHeaders forwarded = new DefaultHttpHeaders(false);
    HttpMethod method;
    try {
      method = HttpMethod.valueOf(head.method().toString());
      HeaderRules.copyEndToEndHeaders(said(), forwarded);
    } catch (IllegalArgumentException e) { // Over HTTP/1.1 it could say more than one request.
      Log.warn("gateway", "call of " + site + " refused: " + e.getMessage());
      answer(SiteHeaders.Result.REFUSED);
      return;
    }
    if (!HeaderRules.methodMatchesClass(
        type, method, forwarded.contains(HeaderRules.IDEMPOTENCY_KEY))) {
      Log.warn("gateway", "call of " + site + " refused: method or key does not fit its class");
      answer(SiteHeaders.Result.REFUSED);
      return;
    }
    lent = inward.gateway().tryAdmit(takenNanos);
    if (!lent) {
      answer(SiteHeaders.Result.REFUSED);
      return;
    }
    ByteBuf taken = body;
    body = null;
    HttpPayload payload =
        new HttpPayload(inward.pool(), this, method, head.path().toString(), forwarded, taken);
    inward
        .dispatcher()
        .onRequest(
            this,
            type,
            name,
            forwarded.get(HeaderRules.TENANT),
            "1".equals(forwarded.get(HeaderRules.RETRY)),
            Math.min(left, type.deadlineNanos()),
            RequestProtocol.HTTP1,
            payload);
  }

  /** What the call says to a server; fails on what cannot stand in a message of HTTP/1.1. */
  private HttpHeaders said() {
    HttpHeaders said = new DefaultHttpHeaders(true);
    for (Map.Entry<CharSequence, CharSequence> header : head) {
      if (!SiteHeaders.own(header.getKey())) {
        said.add(header.getKey(), header.getValue());
      }
    }
    if (head.authority() != null) {
      said.set(HttpHeaderNames.HOST, head.authority());
    }
    return said;
  }

  // ---- the one answer ----

  @Override
  public void accepted(RequestHandle live) {
    ticket = live;
  }

  /** What came from another site is served here or nowhere. */
  @Override
  public boolean mayOverflow() {
    return false;
  }

  @Override
  public void serve(Answer whole) {
    HttpAnswer from = (HttpAnswer) whole; // The only kind that an HttpPayload brings.
    ticket = null;
    if (answered) {
      from.release();
      return;
    }
    boolean empty = !from.body().isReadable();
    begin(from.head(), empty);
    if (empty) {
      from.release();
    } else {
      send(from.body(), true);
    }
  }

  @Override
  public void refuse(long retryAfterNanos, Answer last) {
    ticket = null;
    answer(SiteHeaders.Result.REFUSED);
  }

  @Override
  public void fail(Answer last) {
    ticket = null;
    answer(SiteHeaders.Result.FAILED);
  }

  private void begin(HttpResponse from, boolean last) {
    Http2Headers headers = said("200", SiteHeaders.Result.SERVED);
    HttpHeaders kept = new DefaultHttpHeaders(false);
    HeaderRules.copyEndToEndHeaders(from.headers(), kept);
    for (Map.Entry<String, String> header : kept) {
      AsciiString name = AsciiString.of(header.getKey()).toLowerCase();
      if (!SiteHeaders.own(name)) {
        headers.add(name, header.getValue());
      }
    }
    String length = from.headers().get(HttpHeaderNames.CONTENT_LENGTH);
    if (source != null && length != null) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, length); // Its client is told how much comes.
    }
    over(true);
    link.writeHeaders(id, headers, last);
  }

  private Http2Headers said(String status, SiteHeaders.Result result) {
    long now = inward.now();
    inward.counts(site).ended(result);
    return new DefaultHttp2Headers(false)
        .status(status)
        .set(SiteHeaders.RESULT, result.text())
        .setLong(SiteHeaders.TOOK, (now - begunNanos) / 1000)
        .setInt(SiteHeaders.ROOM, inward.gateway().room(now));
  }

  /** An answer without a server's. */
  private void answer(SiteHeaders.Result result) {
    if (answered) {
      return;
    }
    over(false);
    Http2Headers headers = said(result == SiteHeaders.Result.REFUSED ? "503" : "502", result);
    ChannelFuture writing = link.writeHeaders(id, headers, true);
    if (!ended) { // A peer that goes on sending is told to stop (RFC 9113, section 8.1).
      writing.addListener(done -> link.reset(id, Http2Error.NO_ERROR));
    }
  }

  /** The call is no longer one of those that this site has taken. */
  private void over(boolean served) {
    answered = true;
    if (lent) {
      lent = false;
      inward.gateway().onAdmittedEnd(inward.now(), takenNanos, type, served);
    }
    if (body != null) {
      body.release();
      body = null;
    }
  }

  // ---- an answer that goes on as it comes ----

  @Override
  public void answerStarted(HttpResponse from, StreamedAnswerSource by) {
    ticket = null;
    source = by;
    begin(from, false);
  }

  @Override
  public void answerData(ByteBuf piece) {
    send(piece, false);
  }

  private void send(ByteBuf piece, boolean last) {
    int bytes = piece.readableBytes();
    if (unsent == 0) {
      movedNanos = inward.now();
    }
    unsent += bytes;
    link.writeData(id, piece, last)
        .addListener(
            done -> {
              unsent -= bytes;
              movedNanos = inward.now();
              if (source != null && unsent <= MOST_UNSENT / 2) {
                source.setPaused(false);
              }
            });
  }

  @Override
  public void answerFlush() {
    if (source != null && unsent > MOST_UNSENT) {
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

  // ---- the end ----

  /** Of a body that comes, all of it has to be there in time; of an answer, each part taken. */
  @Override
  public boolean stalledSinceBefore(long nanos) {
    return answered ? unsent > 0 && movedNanos < nanos : !ended && begunNanos < nanos;
  }

  @Override
  public void abort() {
    if (answered) {
      Log.warn("gateway", site + " does not take its answer: call given up");
      link.reset(id, Http2Error.CANCEL);
    } else {
      answer(SiteHeaders.Result.REFUSED); // Nothing of it has run.
    }
  }

  @Override
  public void onReset(long code) {
    gone();
  }

  @Override
  public void onClosed(Http2Stream stream) {
    gone();
    inward.giveBack(held);
    held = 0;
    link.callClosed();
  }

  private void gone() {
    if (!answered) {
      over(false);
    }
    if (source != null) {
      StreamedAnswerSource by = source;
      source = null;
      by.clientDisconnected();
    }
    if (ticket != null) {
      RequestHandle live = ticket;
      ticket = null;
      live.callerGone();
    }
  }
}
