package heathswitch.proxy.grpc;

import heathswitch.policy.api.Outcome;
import heathswitch.policy.grpc.Gathering;
import heathswitch.policy.grpc.Status;
import heathswitch.proxy.http2.MultiplexedConnection;
import heathswitch.proxy.runtime.Log;
import heathswitch.proxy.spi.Attempt;
import heathswitch.proxy.spi.Upstream;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http2.Http2Error;
import io.netty.handler.codec.http2.Http2Headers;
import io.netty.handler.codec.http2.Http2Stream;

/**
 * One attempt as a stream of a connection to an upstream. It says truly whether the call may have
 * run: a call that is whole cannot before its last byte was written, one that still goes on cannot
 * before its headers were; {@code REFUSED_STREAM} and a GOAWAY with a lower last id say that it
 * never did (RFC 9113, sections 8.7 and 6.8).
 */
final class AttemptStream
    implements MultiplexedConnection.StreamHandler,
        Attempt.Exchange,
        ChannelFutureListener,
        BufferingTimer.Listener {
  private final GrpcServer server;
  private final GrpcCall call;
  private UpstreamConnection link;
  private Attempt attempt;
  private int id = -1;
  private boolean written;
  private boolean ended;
  private boolean counted = true;

  /** The answer's head, once it has come. */
  private Http2Headers headers;

  private MessageBoundaryTracker messages;
  private MessageBuffer gathered;

  /** Whether the answer goes on to the caller as it comes. */
  private boolean passing;

  AttemptStream(GrpcServer server, UpstreamConnection link, Attempt attempt, GrpcCall call) {
    this.server = server;
    this.link = link;
    this.attempt = attempt;
    this.call = call;
    attempt.attach(this);
  }

  Upstream upstream() {
    return link.upstream();
  }

  /** Before it has begun, another connection takes it. */
  void movedTo(UpstreamConnection other) {
    link = other;
  }

  /** Whether anybody still waits for it; it may have been called off while its connection came. */
  boolean wanted() {
    return attempt != null;
  }

  boolean mayBegin() {
    return attempt.maySend();
  }

  /** The connection is there; false if it has no stream for the attempt. */
  boolean begin(long nowNanos) {
    boolean whole = call.whole();
    boolean empty = whole && call.kept().size() == 0;
    id =
        link.openStream(
            this, call.attemptHeaders(attempt.deadlineNanos() - nowNanos, attempt), empty);
    if (id < 0) {
      return false;
    }
    // A call that goes on may begin to run with its headers.
    written = empty || !whole;
    if (!empty) {
      call.replayTo(this);
    }
    return true;
  }

  /** No stream or connection could be had. */
  void failed() {
    end(Outcome.CONNECT_FAILED, null);
    done();
  }

  /** No connection could be had for it after its own had no room. */
  void unplaced() {
    counted = false; // Its own has let go of it.
    end(Outcome.CONNECT_FAILED, null);
  }

  /** Passes a piece of the call on, which it takes over; done when it is on the socket. */
  ChannelFuture pass(ByteBuf data, boolean last) {
    ChannelFuture writing = link.writeData(id, data, last);
    if (last) {
      writing.addListener(this);
    }
    return writing;
  }

  /** The call's last byte is written. */
  @Override
  public void operationComplete(ChannelFuture writing) {
    written |= writing.isSuccess();
  }

  // ---- the answer ----

  @Override
  public void onHeaders(Http2Headers frame, boolean last) {
    if (ended) {
      return;
    }
    if (last) {
      trailers(frame);
      return;
    }
    CharSequence status = frame.status();
    if (status != null && status.length() == 3 && status.charAt(0) == '1') {
      return; // Interim.
    }
    if (headers != null) {
      spoilt("headers in the middle");
    } else if (status == null || !"200".contentEquals(status)) {
      foreign(frame, "HTTP status " + status);
    } else if (!GrpcHeaders.isGrpc(frame)) {
      foreign(frame, "content type " + frame.get(GrpcHeaders.CONTENT_TYPE));
    } else {
      headers = frame;
      messages = new MessageBoundaryTracker(server.config().maxMessageBytes());
      Gathering mode = call.mode();
      if (mode == Gathering.STREAM || mode == Gathering.AUTO && !call.whole()) {
        passOn();
      } else {
        gathered =
            new MessageBuffer(
                server.held(), server.config().maxMessageBytes() + MessageBoundaryTracker.PREFIX);
        if (mode == Gathering.AUTO) {
          server.patience().watch(this);
        }
      }
    }
  }

  @Override
  public int onData(ByteBuf data, boolean last) {
    int bytes = data.readableBytes();
    if (ended) {
      return bytes;
    }
    if (headers == null) {
      spoilt("data before headers");
    } else if (!messages.add(data)) {
      tooLong(messages.claimed());
    } else if (!passing && !gathered.add(data)) {
      tooMany();
    } else if (last) {
      foreign(headers, "no trailers");
    } else if (passing) {
      return passData(data);
    } else if (call.mode()
        .passesOn(messages.begun(), gathered.size(), server.config().maxBufferedBytes())) {
      passOn();
    }
    return bytes;
  }

  /** Gives the piece to the caller; its window comes back as the caller takes it. */
  private int passData(ByteBuf data) {
    int bytes = data.readableBytes();
    if (!server.held().take(bytes)) {
      tooMany();
      return bytes;
    }
    call.passData(data.retain())
        .addListener(
            done -> {
              server.held().give(bytes);
              link.returnWindow(id, bytes);
            });
    return 0;
  }

  /** It has been held back for long enough: what there is goes on, and the rest as it comes. */
  @Override
  public void onBufferingTimeout() {
    if (!ended && headers != null && !passing && call.mode().passesOnLate()) {
      passOn();
    }
  }

  /** From here on the call has this answer and no other. */
  private void passOn() {
    if (!attempt.beginStreaming()) {
      return; // It has another one, and this one is about to be called off.
    }
    passing = true;
    call.passHeaders(this, GrpcHeaders.strip(headers));
    if (gathered != null) {
      MessageBuffer first = gathered;
      gathered = null;
      if (first.size() > 0) {
        call.passData(first.share()).addListener(done -> first.release());
      } else {
        first.release();
      }
    }
  }

  private void trailers(Http2Headers frame) {
    Status status = Status.of(frame.get(GrpcHeaders.STATUS));
    boolean neverRan = headers == null && frame.contains(GrpcHeaders.NOT_RUN);
    Outcome outcome = Status.outcome(status, neverRan);
    if (status == null) {
      foreign(headers == null ? frame : headers, "trailers without a status");
    } else if (passing) {
      call.passTrailers(GrpcHeaders.strip(frame));
      end(outcome, null);
    } else {
      Http2Headers head = headers == null ? null : GrpcHeaders.strip(headers);
      MessageBuffer message = gathered;
      gathered = null;
      end(outcome, new GrpcAnswer(head, message, GrpcHeaders.strip(frame)));
    }
  }

  /**
   * The application's answer does not fit, here or from any other server: no sign of trouble at
   * this one, and of no use to try again.
   */
  private void tooLong(long claimed) {
    giveUp(
        Outcome.BAD_REQUEST,
        Status.RESOURCE_EXHAUSTED,
        GrpcHeaders.tooLong("answer", claimed, server.config().maxMessageBytes()));
  }

  private void tooMany() {
    giveUp(Outcome.BAD_REQUEST, Status.RESOURCE_EXHAUSTED, server.held().words());
  }

  private void giveUp(Outcome outcome, Status status, String words) {
    Http2Headers trailers = GrpcHeaders.trailersOnly(status, words);
    if (passing) {
      call.passTrailers(trailers);
      end(outcome, null);
    } else {
      end(outcome, new GrpcAnswer(null, null, trailers));
    }
    link.cancel(id);
  }

  /** An answer that is none: the call may have run, and the server answers. */
  private void spoilt(String why) {
    String server = upstream().name;
    Log.warn("spoilt gRPC answer", server + ": " + why, "server", server, "reason", why);
    broken(Outcome.ERROR);
    link.cancel(id);
  }

  /**
   * An answer over HTTP without a status of gRPC, as proxies give it. Its HTTP status says what the
   * caller is told if nothing better comes; another server may do better, so it is an error, or a
   * turning away where it says so.
   */
  private void foreign(Http2Headers head, String why) {
    CharSequence code = head.status();
    Status status = Status.ofHttp(code == null || code.length() != 3 ? 0 : number(code));
    boolean notRun = headers == null && head.contains(GrpcHeaders.NOT_RUN);
    String server = upstream().name;
    Log.warn("foreign gRPC answer", server + ": " + why, "server", server, "reason", why);
    giveUp(status == Status.UNAVAILABLE && notRun ? Outcome.REFUSED : Outcome.ERROR, status, why);
  }

  private static int number(CharSequence digits) {
    int number = 0;
    for (int i = 0; i < digits.length(); i++) {
      int digit = digits.charAt(i) - '0';
      number = digit < 0 || digit > 9 ? 0 : 10 * number + digit;
    }
    return number;
  }

  private void broken(Outcome outcome) {
    if (passing && !ended) {
      call.passBroken();
    }
    end(outcome, null);
  }

  @Override
  public void onReset(long code) {
    boolean refused = code == Http2Error.REFUSED_STREAM.code() && headers == null;
    if (passing || refused) {
      broken(refused ? Outcome.REFUSED : Outcome.RESET);
      return;
    }
    Status status = Status.ofReset(code);
    Http2Headers trailers = GrpcHeaders.trailersOnly(status, "the server reset the call: " + code);
    end(Outcome.RESET, new GrpcAnswer(null, null, trailers));
  }

  @Override
  public void onClosed(Http2Stream stream) {
    boolean unseen =
        link.connection().goAwayReceived()
            && id > link.connection().local().lastStreamKnownByPeer();
    broken(unseen ? Outcome.REFUSED : written ? Outcome.RESET : Outcome.CONNECT_FAILED);
    done();
  }

  private void end(Outcome outcome, GrpcAnswer answer) {
    if (ended) {
      return;
    }
    ended = true;
    call.left(this);
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

  /** The stream is gone from its connection. */
  private void done() {
    if (counted) {
      counted = false;
      link.streamDone();
    }
  }

  @Override
  public void cancel() {
    attempt = null;
    end(Outcome.CANCELLED, null);
    if (id >= 0) {
      link.cancel(id);
    }
  }
}
