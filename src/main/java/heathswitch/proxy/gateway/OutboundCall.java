package heathswitch.proxy.gateway;

import heathswitch.policy.api.Outcome;
import heathswitch.policy.api.RequestClass;
import heathswitch.policy.gateway.Trail;
import heathswitch.proxy.http1.HttpAnswer;
import heathswitch.proxy.http1.HttpPayload;
import heathswitch.proxy.http1.StreamedAnswerSink;
import heathswitch.proxy.http1.StreamedAnswerSource;
import heathswitch.proxy.http2.MultiplexedConnection;
import heathswitch.proxy.runtime.Log;
import heathswitch.proxy.spi.Attempt;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http2.DefaultHttp2Headers;
import io.netty.handler.codec.http2.Http2Error;
import io.netty.handler.codec.http2.Http2Headers;
import io.netty.handler.codec.http2.Http2Stream;
import io.netty.util.AsciiString;
import java.util.Map;

/**
 * One attempt at another site, as a stream of a link. It says truly whether the call may have run:
 * it cannot before its last byte was written, nor where the far site says that it refused it.
 */
final class OutboundCall
    implements MultiplexedConnection.StreamHandler, Attempt.Exchange, StreamedAnswerSource {
  /** A longer answer goes on as it comes, as one of a server does. */
  private static final int GATHERED_BYTES = 64 << 10;

  private static final int MOST_COMPONENTS = 1024;

  private final OutboundLinks outward;
  private final PeerGateway far;
  private final OutboundLink link;
  private final RequestClass type;
  private final HttpPayload payload;
  private final long sentNanos;
  private Attempt attempt;
  private int id = -1;
  private boolean written;
  private boolean ended;
  private HttpResponse head;
  private CompositeByteBuf gathered;

  /** Whoever gets the answer as it comes, once that has begun. */
  private StreamedAnswerSink sink;

  private boolean paused;

  /** Bytes of the stream's window that are kept back while paused. */
  private int owed;

  OutboundCall(
      OutboundLinks outward,
      PeerGateway far,
      OutboundLink link,
      Attempt attempt,
      RequestClass type,
      HttpPayload payload) {
    this.outward = outward;
    this.far = far;
    this.link = link;
    this.attempt = attempt;
    this.type = type;
    this.payload = payload;
    sentNanos = outward.now();
  }

  /** Sends the call; false if the link has no stream for it, and then nothing was sent. */
  boolean begin() {
    ByteBuf body = payload.retainedBody();
    boolean empty = !body.isReadable();
    id = link.openStream(this, headers(), empty);
    if (id < 0) {
      body.release();
      return false;
    }
    attempt.attach(this);
    link.streamBegun();
    if (empty) {
      body.release();
      written = true;
    } else {
      link.writeData(id, body, true).addListener(done -> written |= done.isSuccess());
    }
    return true;
  }

  private Http2Headers headers() {
    long left = outward.gateway().remoteTimeLeft(far.state, attempt.deadlineNanos() - sentNanos);
    Http2Headers headers =
        new DefaultHttp2Headers(false)
            .method(payload.method().asciiName())
            .scheme("https")
            .path(payload.uri());
    for (Map.Entry<String, String> header : payload.headers()) {
      AsciiString name = AsciiString.of(header.getKey()).toLowerCase();
      if (name.contentEquals(HttpHeaderNames.HOST)) {
        headers.authority(header.getValue());
      } else if (!SiteHeaders.own(name)) {
        headers.add(name, header.getValue());
      }
    }
    return headers
        .set(SiteHeaders.TRAIL, Trail.headerFrom(outward.gateway().site()))
        .set(SiteHeaders.EFFECT, AsciiString.of(type.effect().name()).toLowerCase())
        .setLong(SiteHeaders.LEFT, Math.max(0, left / 1000));
  }

  // ---- the answer ----

  @Override
  public void onHeaders(Http2Headers frame, boolean last) {
    if (ended && sink == null) {
      return;
    }
    if (head != null) {
      broken("headers in the middle");
      return;
    }
    SiteHeaders.Result result = SiteHeaders.Result.of(frame.get(SiteHeaders.RESULT));
    long took = SiteHeaders.number(frame, SiteHeaders.TOOK);
    long room = SiteHeaders.number(frame, SiteHeaders.ROOM);
    if (result == null || took < 0 || room < 0) {
      broken("no answer of a gateway");
      return;
    }
    long now = outward.now();
    int said = (int) Math.min(Integer.MAX_VALUE, room);
    boolean served = result == SiteHeaders.Result.SERVED;
    outward.gateway().onAnswer(now, far.state, type, now - sentNanos, took * 1000, served, said);
    switch (result) {
      case REFUSED -> over(Outcome.REFUSED, last);
      case FAILED -> over(Outcome.ERROR, last);
      default -> served(frame, last);
    }
  }

  private void over(Outcome outcome, boolean last) {
    end(outcome, null);
    if (!last) {
      link.reset(id, Http2Error.CANCEL);
    }
  }

  private void served(Http2Headers frame, boolean last) {
    head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
    try {
      for (Map.Entry<CharSequence, CharSequence> header : frame) {
        if (!SiteHeaders.own(header.getKey())) {
          head.headers().add(header.getKey(), header.getValue());
        }
      }
    } catch (IllegalArgumentException e) { // Over HTTP/1.1 it could say more than one answer.
      broken(String.valueOf(e.getMessage()));
      return;
    }
    gathered = Unpooled.compositeBuffer(MOST_COMPONENTS);
    if (last) {
      complete();
    }
  }

  @Override
  public int onData(ByteBuf data, boolean last) {
    int bytes = data.readableBytes();
    if (ended && sink == null) {
      return bytes;
    }
    if (head == null) {
      broken("data before headers");
      return bytes;
    }
    if (sink != null) {
      return passOn(data, last);
    }
    if (bytes > 0) {
      gathered.addComponent(true, data.retainedSlice());
    }
    if (last) {
      complete();
    } else if (gathered.readableBytes() > GATHERED_BYTES) {
      startPassing();
    }
    return bytes;
  }

  private void complete() {
    ByteBuf body = gathered;
    gathered = null;
    end(Outcome.OK, new HttpAnswer(head, body));
  }

  /** From here on the request has this answer and no other. */
  private void startPassing() {
    Attempt begun = attempt;
    if (begun == null || !begun.beginStreaming()) {
      return; // It has another one, and this one is about to be called off.
    }
    sink = payload.sink();
    sink.answerStarted(head, this);
    ByteBuf first = gathered;
    gathered = null;
    sink.answerData(first);
    sink.answerFlush();
    end(Outcome.OK, null);
  }

  private int passOn(ByteBuf data, boolean last) {
    int bytes = data.readableBytes();
    if (bytes > 0) {
      sink.answerData(data.retainedSlice());
    }
    if (last) {
      StreamedAnswerSink to = sink;
      sink = null;
      to.answerEnd();
      return bytes;
    }
    sink.answerFlush();
    if (paused) {
      owed += bytes;
      return 0;
    }
    return bytes;
  }

  @Override
  public void setPaused(boolean pause) {
    paused = pause;
    if (!pause && owed > 0) {
      int bytes = owed;
      owed = 0;
      link.returnWindow(id, bytes);
    }
  }

  @Override
  public void clientDisconnected() {
    sink = null;
    link.reset(id, Http2Error.CANCEL);
  }

  /** What came is no answer: the call may have run. */
  private void broken(String why) {
    Log.warn("gateway", far.place.name + ": " + why);
    lost(Outcome.ERROR);
    link.reset(id, Http2Error.CANCEL);
  }

  private void lost(Outcome outcome) {
    if (sink != null) {
      StreamedAnswerSink to = sink;
      sink = null;
      to.answerAborted();
    }
    end(outcome, null);
  }

  @Override
  public void onReset(long code) {
    boolean refused = code == Http2Error.REFUSED_STREAM.code() && head == null;
    lost(refused ? Outcome.REFUSED : Outcome.RESET);
  }

  @Override
  public void onClosed(Http2Stream stream) {
    boolean unseen =
        link.connection().goAwayReceived()
            && id > link.connection().local().lastStreamKnownByPeer();
    lost(unseen ? Outcome.REFUSED : written ? Outcome.RESET : Outcome.CONNECT_FAILED);
    link.streamDone();
  }

  private void end(Outcome outcome, HttpAnswer answer) {
    if (ended) {
      return;
    }
    ended = true;
    if (gathered != null) {
      gathered.release();
      gathered = null;
    }
    Attempt over = attempt;
    attempt = null;
    if (over != null) {
      over.complete(outcome, answer);
    } else if (answer != null) {
      answer.release();
    }
  }

  @Override
  public void cancel() {
    attempt = null;
    end(Outcome.CANCELLED, null);
    link.reset(id, Http2Error.CANCEL);
  }
}
