package heathswitch.proxy.grpc;

import heathswitch.policy.api.Outcome;
import heathswitch.policy.grpc.BufferingMode;
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
 * The stream of one attempt on a connection to an upstream. Reports exactly whether the upstream
 * may have run the call. A call whose request is complete cannot have run before its last byte was
 * written, and one whose request is still being received cannot have run before its headers were.
 * {@code REFUSED_STREAM} and a GOAWAY with a lower last stream id mean that it never ran (RFC 9113,
 * sections 8.7 and 6.8).
 */
final class AttemptStream
    implements MultiplexedConnection.StreamHandler,
        Attempt.Exchange,
        ChannelFutureListener,
        BufferingTimer.Listener {
  private final GrpcServer server;
  private final GrpcCall call;
  private GrpcUpstreamConnection connection;
  private Attempt attempt;
  private int id = -1;
  private boolean mayHaveRun;
  private boolean ended;
  private boolean countedOnConnection = true;

  /** The headers of the answer; null until they are received. */
  private Http2Headers headers;

  private MessageBoundaryTracker boundaryTracker;
  private MessageBuffer buffer;

  /** Whether the answer is streamed to the caller as it arrives. */
  private boolean streaming;

  AttemptStream(
      GrpcServer server, GrpcUpstreamConnection connection, Attempt attempt, GrpcCall call) {
    this.server = server;
    this.connection = connection;
    this.attempt = attempt;
    this.call = call;
    attempt.attach(this);
  }

  Upstream upstream() {
    return connection.upstream();
  }

  /** Moves the stream, which is not open yet, to another connection. */
  void moveTo(GrpcUpstreamConnection other) {
    connection = other;
  }

  /** Whether the attempt is still needed; it may be cancelled while the connection is set up. */
  boolean isNeeded() {
    return attempt != null;
  }

  boolean maySend() {
    return attempt.maySend();
  }

  /**
   * Opens the stream and sends what the client has sent so far. Returns false if the connection can
   * open no more streams.
   */
  boolean open(long nowNanos) {
    boolean complete = call.isRequestComplete();
    boolean empty = complete && call.replayBuffer().size() == 0;
    id =
        connection.openStream(
            this, call.attemptHeaders(attempt.deadlineNanos() - nowNanos, attempt), empty);
    if (id < 0) {
      return false;
    }
    // The server may start to run a call with an incomplete request once it has the headers.
    mayHaveRun = empty || !complete;
    if (mayHaveRun) {
      attempt.requestWritten();
    }
    if (!empty) {
      call.replayTo(this);
    }
    return true;
  }

  /** Ends the attempt because it got no stream or no connection. */
  void onConnectFailed() {
    end(Outcome.CONNECT_FAILED, null);
    releaseStream();
  }

  /** Ends the attempt because its connection had no room and no other one was available. */
  void onNoConnection() {
    countedOnConnection = false; // Its former connection no longer counts it.
    end(Outcome.CONNECT_FAILED, null);
  }

  /**
   * Writes request data and takes ownership of it. The future completes when the data is written to
   * the socket.
   */
  ChannelFuture writeData(ByteBuf data, boolean last) {
    ChannelFuture writing = connection.writeData(id, data, last);
    if (last) {
      writing.addListener(this);
    }
    return writing;
  }

  /** Called when the last byte of the request is written. */
  @Override
  public void operationComplete(ChannelFuture writing) {
    mayHaveRun |= writing.isSuccess();
    if (writing.isSuccess() && attempt != null) {
      attempt.requestWritten();
    }
  }

  // ---- the answer ----

  @Override
  public void onHeaders(Http2Headers frame, boolean last) {
    if (ended) {
      return;
    }
    if (last) {
      onTrailers(frame);
      return;
    }
    CharSequence status = frame.status();
    if (status != null && status.length() == 3 && status.charAt(0) == '1') {
      return; // Informational (1xx) headers.
    }
    if (headers != null) {
      onProtocolError("headers in the middle");
    } else if (status == null || !"200".contentEquals(status)) {
      onNonGrpcAnswer(frame, "HTTP status " + status);
    } else if (!GrpcHeaders.isGrpc(frame)) {
      onNonGrpcAnswer(frame, "content type " + frame.get(GrpcHeaders.CONTENT_TYPE));
    } else {
      headers = frame;
      boundaryTracker = new MessageBoundaryTracker(server.config().maxMessageBytes());
      BufferingMode mode = call.mode();
      if (mode == BufferingMode.STREAM || mode == BufferingMode.AUTO && !call.isRequestComplete()) {
        startStreaming();
      } else {
        buffer =
            new MessageBuffer(
                server.bufferBudget(),
                server.config().maxMessageBytes() + MessageBoundaryTracker.PREFIX_BYTES);
        if (mode == BufferingMode.AUTO) {
          server.bufferingTimer().register(this);
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
      onProtocolError("data before headers");
    } else if (!boundaryTracker.track(data)) {
      onMessageTooLong(boundaryTracker.declaredLength());
    } else if (!streaming && !buffer.add(data)) {
      onBudgetExhausted();
    } else if (last) {
      onNonGrpcAnswer(headers, "no trailers");
    } else if (streaming) {
      return forwardData(data);
    } else if (call.mode()
        .shouldForward(
            boundaryTracker.startedCount(), buffer.size(), server.config().maxBufferedBytes())) {
      startStreaming();
    }
    return bytes;
  }

  /**
   * Forwards data to the caller. The flow control window is returned once the caller accepts it.
   */
  private int forwardData(ByteBuf data) {
    int bytes = data.readableBytes();
    if (!server.bufferBudget().tryReserve(bytes)) {
      onBudgetExhausted();
      return bytes;
    }
    call.forwardData(data.retain())
        .addListener(
            done -> {
              server.bufferBudget().release(bytes);
              connection.returnWindow(id, bytes);
            });
    return 0;
  }

  /** Streams the answer from now on, since it is incomplete after the buffering time. */
  @Override
  public void onBufferingTimeout() {
    if (!ended && headers != null && !streaming && call.mode().forwardsAfterTimeout()) {
      startStreaming();
    }
  }

  /** Binds the call to this answer and starts to stream it. */
  private void startStreaming() {
    if (!attempt.beginStreaming()) {
      return; // The call is bound to another answer, and this attempt is about to be cancelled.
    }
    streaming = true;
    call.forwardHeaders(this, GrpcHeaders.removeHopByHop(headers));
    if (buffer != null) {
      MessageBuffer buffered = buffer;
      buffer = null;
      if (buffered.size() > 0) {
        call.forwardData(buffered.retainedDuplicate()).addListener(done -> buffered.release());
      } else {
        buffered.release();
      }
    }
  }

  private void onTrailers(Http2Headers frame) {
    Status status = Status.parse(frame.get(GrpcHeaders.STATUS));
    boolean neverRan = headers == null && frame.contains(GrpcHeaders.NOT_RUN);
    Outcome outcome = Status.outcome(status, neverRan);
    if (status == null) {
      onNonGrpcAnswer(headers == null ? frame : headers, "trailers without a status");
    } else if (streaming) {
      call.forwardTrailers(GrpcHeaders.removeHopByHop(frame));
      end(outcome, null);
    } else {
      Http2Headers head = headers == null ? null : GrpcHeaders.removeHopByHop(headers);
      MessageBuffer message = buffer;
      buffer = null;
      end(outcome, new GrpcAnswer(head, message, GrpcHeaders.removeHopByHop(frame)));
    }
  }

  /**
   * Fails an answer that exceeds the size limit. It would do so from any server: this is not a
   * fault of the upstream, and a retry is of no use.
   */
  private void onMessageTooLong(long declaredLength) {
    failWith(
        Outcome.BAD_REQUEST,
        Status.RESOURCE_EXHAUSTED,
        GrpcHeaders.messageTooLong("answer", declaredLength, server.config().maxMessageBytes()));
  }

  private void onBudgetExhausted() {
    failWith(
        Outcome.BAD_REQUEST, Status.RESOURCE_EXHAUSTED, server.bufferBudget().exhaustedMessage());
  }

  private void failWith(Outcome outcome, Status status, String message) {
    Http2Headers trailers = GrpcHeaders.trailersOnly(status, message);
    if (streaming) {
      call.forwardTrailers(trailers);
      end(outcome, null);
    } else {
      end(outcome, new GrpcAnswer(null, null, trailers));
    }
    connection.cancel(id);
  }

  /** Ends an attempt whose answer violates the protocol; the call may have run. */
  private void onProtocolError(String why) {
    String server = upstream().name;
    Log.warn("spoilt gRPC answer", server + ": " + why, "server", server, "reason", why);
    endWithoutAnswer(Outcome.ERROR);
    connection.cancel(id);
  }

  /**
   * Handles an HTTP answer without a gRPC status, such as one from a proxy. The HTTP status is
   * mapped to the gRPC status that the caller gets if no other attempt succeeds. Another server may
   * succeed, so the outcome is an error, or a refusal if the answer says that the call was not run.
   */
  private void onNonGrpcAnswer(Http2Headers head, String why) {
    CharSequence code = head.status();
    Status status =
        Status.fromHttpStatus(code == null || code.length() != 3 ? 0 : parseStatusCode(code));
    boolean notRun = headers == null && head.contains(GrpcHeaders.NOT_RUN);
    String server = upstream().name;
    Log.warn("foreign gRPC answer", server + ": " + why, "server", server, "reason", why);
    failWith(status == Status.UNAVAILABLE && notRun ? Outcome.REFUSED : Outcome.ERROR, status, why);
  }

  private static int parseStatusCode(CharSequence digits) {
    int number = 0;
    for (int i = 0; i < digits.length(); i++) {
      int digit = digits.charAt(i) - '0';
      number = digit < 0 || digit > 9 ? 0 : 10 * number + digit;
    }
    return number;
  }

  private void endWithoutAnswer(Outcome outcome) {
    if (streaming && !ended) {
      call.forwardFailure();
    }
    end(outcome, null);
  }

  @Override
  public void onReset(long code) {
    boolean refused = code == Http2Error.REFUSED_STREAM.code() && headers == null;
    if (streaming || refused) {
      endWithoutAnswer(refused ? Outcome.REFUSED : Outcome.RESET);
      return;
    }
    Status status = Status.fromResetCode(code);
    Http2Headers trailers = GrpcHeaders.trailersOnly(status, "the server reset the call: " + code);
    end(Outcome.RESET, new GrpcAnswer(null, null, trailers));
  }

  @Override
  public void onClosed(Http2Stream stream) {
    boolean notProcessed =
        connection.connection().goAwayReceived()
            && id > connection.connection().local().lastStreamKnownByPeer();
    endWithoutAnswer(
        notProcessed ? Outcome.REFUSED : mayHaveRun ? Outcome.RESET : Outcome.CONNECT_FAILED);
    releaseStream();
  }

  private void end(Outcome outcome, GrpcAnswer answer) {
    if (ended) {
      return;
    }
    ended = true;
    call.onAttemptEnded(this);
    if (buffer != null) {
      buffer.release();
      buffer = null;
    }
    Attempt finished = attempt;
    attempt = null;
    if (finished != null) {
      finished.complete(outcome, answer);
    } else if (answer != null) {
      answer.release();
    }
  }

  /** Releases the place of the stream on its connection, once. */
  private void releaseStream() {
    if (countedOnConnection) {
      countedOnConnection = false;
      connection.releaseStream();
    }
  }

  @Override
  public void cancel() {
    attempt = null;
    end(Outcome.CANCELLED, null);
    if (id >= 0) {
      connection.cancel(id);
    }
  }
}
