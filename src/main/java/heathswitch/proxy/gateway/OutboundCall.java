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
 * One attempt at a peer site, as a stream of a link. Its outcome tells reliably whether the call
 * may have run: it cannot have run before its last byte was written, nor if the peer site reports
 * that it refused the call.
 */
final class OutboundCall
    implements MultiplexedConnection.StreamHandler, Attempt.Exchange, StreamedAnswerSource {
  /** Longer answers are streamed, as those of upstream servers are. */
  private static final int MAX_BUFFERED_BYTES = 64 << 10;

  private static final int MAX_COMPONENTS = 1024;

  private final OutboundLinks outboundLinks;
  private final PeerGateway peer;
  private final OutboundLink link;
  private final RequestClass requestClass;
  private final HttpPayload payload;
  private final long sentNanos;
  private Attempt attempt;
  private int id = -1;
  private boolean written;
  private boolean ended;
  private HttpResponse head;
  private CompositeByteBuf buffered;

  /** The receiver of a streamed answer, once streaming has begun. */
  private StreamedAnswerSink sink;

  private boolean paused;

  /** Bytes of the stream's flow control window that are not returned while paused. */
  private int withheldBytes;

  OutboundCall(
      OutboundLinks outboundLinks,
      PeerGateway peer,
      OutboundLink link,
      Attempt attempt,
      RequestClass requestClass,
      HttpPayload payload) {
    this.outboundLinks = outboundLinks;
    this.peer = peer;
    this.link = link;
    this.attempt = attempt;
    this.requestClass = requestClass;
    this.payload = payload;
    sentNanos = outboundLinks.now();
  }

  /** Sends the call; returns false if the link has no stream for it, and nothing was sent. */
  boolean begin() {
    ByteBuf body = payload.retainedBody();
    boolean empty = !body.isReadable();
    id = link.openStream(this, headers(), empty);
    if (id < 0) {
      body.release();
      return false;
    }
    attempt.attach(this);
    link.onStreamOpened();
    if (empty) {
      body.release();
      written = true;
    } else {
      link.writeData(id, body, true).addListener(done -> written |= done.isSuccess());
    }
    return true;
  }

  private Http2Headers headers() {
    long leftNanos =
        outboundLinks.gateway().remoteTimeLeft(peer.link, attempt.deadlineNanos() - sentNanos);
    Http2Headers headers =
        new DefaultHttp2Headers(false)
            .method(payload.method().asciiName())
            .scheme("https")
            .path(payload.uri());
    for (Map.Entry<String, String> header : payload.headers()) {
      AsciiString name = AsciiString.of(header.getKey()).toLowerCase();
      if (name.contentEquals(HttpHeaderNames.HOST)) {
        headers.authority(header.getValue());
      } else if (!SiteHeaders.isLinkOnly(name)) {
        headers.add(name, header.getValue());
      }
    }
    return headers
        .set(SiteHeaders.TRAIL, Trail.headerFrom(outboundLinks.gateway().site()))
        .set(SiteHeaders.EFFECT, AsciiString.of(requestClass.effect().name()).toLowerCase())
        .setLong(SiteHeaders.LEFT, Math.max(0, leftNanos / 1000));
  }

  // ---- answer ----

  @Override
  public void onHeaders(Http2Headers frame, boolean last) {
    if (ended && sink == null) {
      return;
    }
    if (head != null) {
      protocolError("second HEADERS frame in an answer");
      return;
    }
    SiteHeaders.Result result = SiteHeaders.Result.parse(frame.get(SiteHeaders.RESULT));
    long tookMicros = SiteHeaders.number(frame, SiteHeaders.TOOK);
    long room = SiteHeaders.number(frame, SiteHeaders.ROOM);
    if (result == null || tookMicros < 0 || room < 0) {
      protocolError("answer without the headers of a gateway");
      return;
    }
    long now = outboundLinks.now();
    int reportedRoom = (int) Math.min(Integer.MAX_VALUE, room);
    boolean served = result == SiteHeaders.Result.SERVED;
    outboundLinks
        .gateway()
        .onAnswer(
            now, peer.link, requestClass, now - sentNanos, tookMicros * 1000, served, reportedRoom);
    switch (result) {
      case REFUSED -> endWithoutAnswer(Outcome.REFUSED, last);
      case FAILED -> endWithoutAnswer(Outcome.ERROR, last);
      default -> onServed(frame, last);
    }
  }

  private void endWithoutAnswer(Outcome outcome, boolean last) {
    end(outcome, null);
    if (!last) {
      link.reset(id, Http2Error.CANCEL);
    }
  }

  private void onServed(Http2Headers frame, boolean last) {
    head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
    try {
      for (Map.Entry<CharSequence, CharSequence> header : frame) {
        if (!SiteHeaders.isLinkOnly(header.getKey())) {
          head.headers().add(header.getKey(), header.getValue());
        }
      }
    } catch (IllegalArgumentException e) { // Over HTTP/1.1 it could be read as several answers.
      protocolError(String.valueOf(e.getMessage()));
      return;
    }
    buffered = Unpooled.compositeBuffer(MAX_COMPONENTS);
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
      protocolError("DATA frame before HEADERS");
      return bytes;
    }
    if (sink != null) {
      return streamData(data, last);
    }
    if (bytes > 0) {
      buffered.addComponent(true, data.retainedSlice());
    }
    if (last) {
      complete();
    } else if (buffered.readableBytes() > MAX_BUFFERED_BYTES) {
      startStreaming();
    }
    return bytes;
  }

  private void complete() {
    ByteBuf body = buffered;
    buffered = null;
    end(Outcome.OK, new HttpAnswer(head, body));
  }

  /** Starts to stream; from now on no other attempt can answer the request. */
  private void startStreaming() {
    Attempt current = attempt;
    if (current == null || !current.beginStreaming()) {
      return; // Another attempt answers the request, and this one is about to be cancelled.
    }
    sink = payload.sink();
    sink.answerStarted(head, this);
    ByteBuf firstPiece = buffered;
    buffered = null;
    sink.answerData(firstPiece);
    sink.answerFlush();
    end(Outcome.OK, null);
  }

  private int streamData(ByteBuf data, boolean last) {
    int bytes = data.readableBytes();
    if (bytes > 0) {
      sink.answerData(data.retainedSlice());
    }
    if (last) {
      StreamedAnswerSink receiver = sink;
      sink = null;
      receiver.answerEnd();
      return bytes;
    }
    sink.answerFlush();
    if (paused) {
      withheldBytes += bytes;
      return 0;
    }
    return bytes;
  }

  @Override
  public void setPaused(boolean pause) {
    paused = pause;
    if (!pause && withheldBytes > 0) {
      int bytes = withheldBytes;
      withheldBytes = 0;
      link.returnWindow(id, bytes);
    }
  }

  @Override
  public void clientDisconnected() {
    sink = null;
    link.reset(id, Http2Error.CANCEL);
  }

  /** The answer violates the protocol; the call may have run. */
  private void protocolError(String reason) {
    Log.warn("gateway", peer.upstream.name + ": " + reason);
    endLost(Outcome.ERROR);
    link.reset(id, Http2Error.CANCEL);
  }

  private void endLost(Outcome outcome) {
    if (sink != null) {
      StreamedAnswerSink receiver = sink;
      sink = null;
      receiver.answerAborted();
    }
    end(outcome, null);
  }

  @Override
  public void onReset(long code) {
    boolean refused = code == Http2Error.REFUSED_STREAM.code() && head == null;
    endLost(refused ? Outcome.REFUSED : Outcome.RESET);
  }

  @Override
  public void onClosed(Http2Stream stream) {
    boolean unprocessed =
        link.connection().goAwayReceived()
            && id > link.connection().local().lastStreamKnownByPeer();
    endLost(unprocessed ? Outcome.REFUSED : written ? Outcome.RESET : Outcome.CONNECT_FAILED);
    link.onStreamClosed();
  }

  private void end(Outcome outcome, HttpAnswer answer) {
    if (ended) {
      return;
    }
    ended = true;
    if (buffered != null) {
      buffered.release();
      buffered = null;
    }
    Attempt endedAttempt = attempt;
    attempt = null;
    if (endedAttempt != null) {
      endedAttempt.complete(outcome, answer);
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
