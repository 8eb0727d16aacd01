package heathswitch.proxy.grpc;

import static java.util.concurrent.TimeUnit.NANOSECONDS;

import heathswitch.policy.api.RequestProtocol;
import heathswitch.policy.grpc.BufferingMode;
import heathswitch.policy.grpc.Status;
import heathswitch.proxy.http2.InboundConnection;
import heathswitch.proxy.http2.MultiplexedConnection;
import heathswitch.proxy.spi.Answer;
import heathswitch.proxy.spi.Attempt;
import heathswitch.proxy.spi.Caller;
import heathswitch.proxy.spi.Payload;
import heathswitch.proxy.spi.RequestHandle;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http2.DefaultHttp2Headers;
import io.netty.handler.codec.http2.Http2Error;
import io.netty.handler.codec.http2.Http2Headers;
import io.netty.handler.codec.http2.Http2Stream;
import io.netty.util.AsciiString;
import io.netty.util.concurrent.Future;

/**
 * A client's call on its own stream. The received request data is buffered so that it can be sent
 * again with another attempt. Once the data exceeds the buffer limit, it is streamed to the current
 * attempt, and flow control lets the client send only as fast as the upstream reads.
 */
final class GrpcCall implements InboundConnection.Call, Caller, Payload, BufferingTimer.Listener {
  private static final String HEALTH_SERVICE_PATH = "/grpc.health.v1.Health/";

  private final GrpcServer server;
  private final GrpcClientConnection connection;
  private final int id;
  private Http2Headers headers;
  private GrpcConfig.MethodConfig method;
  private MessageBoundaryTracker boundaryTracker;
  private MessageBuffer replayBuffer;
  private long deadlineNanos;
  private Future<?> deadlineTimer;
  private RequestHandle requestHandle;

  /** The attempt that receives the request data still to come. */
  private AttemptStream receivingAttempt;

  /** The attempt whose answer is streamed to the client. */
  private AttemptStream streamingAttempt;

  /**
   * Bytes of flow control window to be returned to the client once an attempt has accepted the
   * data.
   */
  private int unreturnedWindow;

  private boolean dispatched;
  private boolean answered;

  /** Whether the client has half-closed the stream. */
  private boolean requestComplete;

  /** When the end of the answer was written; 0 if it was not. */
  private long finalWriteNanos;

  GrpcCall(GrpcServer server, GrpcClientConnection connection, int id) {
    this.server = server;
    this.connection = connection;
    this.id = id;
  }

  // ---- the request ----

  @Override
  public void onHeaders(Http2Headers head, boolean last) {
    requestComplete |= last;
    if (answered) {
      return;
    }
    if (headers == null) {
      startCall(head);
    } else if (last) {
      onData(Unpooled.EMPTY_BUFFER, true); // Request trailers only end the stream.
    } else {
      reject(Status.INTERNAL, "headers in the middle of a call");
    }
  }

  private void startCall(Http2Headers head) {
    headers = head;
    if (head.method() == null || !"POST".contentEquals(head.method()) || head.path() == null) {
      finish(new DefaultHttp2Headers().status("405"));
    } else if (!GrpcHeaders.isGrpc(head)) {
      finish(new DefaultHttp2Headers().status("415"));
    } else if (server.forbiddenHeader() != null && head.contains(server.forbiddenHeader())) {
      reject(Status.INVALID_ARGUMENT, server.forbiddenHeader() + " is not for clients");
    } else if (AsciiString.of(head.path()).startsWith(HEALTH_SERVICE_PATH)) {
      answerHealthCheck(head.path().toString().substring(HEALTH_SERVICE_PATH.length()));
    } else {
      prepare(head);
    }
  }

  private void prepare(Http2Headers head) {
    CharSequence timeout = head.get(GrpcHeaders.TIMEOUT);
    long timeoutNanos = timeout == null ? Long.MAX_VALUE : GrpcTimeout.parse(timeout);
    if (timeoutNanos < 0 || timeout != null && head.getAll(GrpcHeaders.TIMEOUT).size() > 1) {
      reject(Status.INVALID_ARGUMENT, "malformed grpc-timeout");
      return;
    }
    GrpcConfig config = server.config();
    method = config.method(head.path());
    // The class limits the deadline, and with it how long data is buffered for a call.
    timeoutNanos = Math.min(timeoutNanos, method.requestClass().deadlineNanos());
    deadlineNanos = server.clock().nowNanos() + timeoutNanos;
    boundaryTracker = new MessageBoundaryTracker(config.maxMessageBytes());
    replayBuffer = new MessageBuffer(server.bufferBudget(), maxReplayBytes(config));
    if (requestComplete || method.mode() == BufferingMode.STREAM) {
      dispatch();
    } else {
      server.bufferingTimer().register(this);
    }
  }

  /**
   * The limit of the replay buffer. In addition to the data that is kept for another attempt, it
   * has room for what may arrive before an attempt has its connection: a flow control window, and
   * the last frame before the call was dispatched.
   */
  private int maxReplayBytes(GrpcConfig config) {
    return method.mode() == BufferingMode.UNARY
        ? config.maxMessageBytes() + MessageBoundaryTracker.PREFIX_BYTES
        : config.maxBufferedBytes() + 2 * MultiplexedConnection.STREAM_WINDOW_BYTES;
  }

  @Override
  public int onData(ByteBuf data, boolean last) {
    int bytes = data.readableBytes();
    requestComplete |= last;
    if (answered || method == null) {
      return bytes;
    }
    if (!boundaryTracker.track(data)) {
      reject(
          Status.RESOURCE_EXHAUSTED,
          GrpcHeaders.messageTooLong(
              "request", boundaryTracker.declaredLength(), server.config().maxMessageBytes()));
      return bytes;
    }
    if (dispatched) {
      return forward(data, last);
    }
    if (!replayBuffer.add(data)) {
      reject(
          Status.RESOURCE_EXHAUSTED,
          replayBuffer.exceededLimit()
              ? unaryTooLongMessage()
              : server.bufferBudget().exhaustedMessage());
    } else if (last
        || method
            .mode()
            .shouldForward(
                boundaryTracker.startedCount(),
                replayBuffer.size(),
                server.config().maxBufferedBytes())) {
      dispatch();
    }
    return bytes;
  }

  private String unaryTooLongMessage() {
    return "a unary call of more than "
        + (server.config().maxMessageBytes() + MessageBoundaryTracker.PREFIX_BYTES)
        + " bytes, most_message of the balancer";
  }

  /** Dispatches a call whose request is incomplete after the buffering time as a stream. */
  @Override
  public void onBufferingTimeout() {
    if (dispatched || answered) {
      return;
    }
    if (method.mode().forwardsAfterTimeout()) {
      dispatch();
    } else {
      scheduleDeadline();
    }
  }

  private void dispatch() {
    long remainingNanos = deadlineNanos - server.clock().nowNanos();
    if (remainingNanos <= 0) {
      onDeadline();
      return;
    }
    dispatched = true;
    CharSequence previous = headers.get(GrpcHeaders.PREVIOUS_ATTEMPTS);
    CharSequence tenant = headers.get(GrpcHeaders.TENANT);
    GrpcHeaders.prepareRequest(headers);
    server
        .dispatcher()
        .onRequest(
            this,
            method.requestClass(),
            server.nextRequestId(),
            tenant != null ? tenant.toString() : method.tenant(),
            previous != null && !"0".contentEquals(previous),
            remainingNanos,
            requestComplete ? RequestProtocol.GRPC : RequestProtocol.GRPC_STREAM,
            this);
  }

  @Override
  public void accepted(RequestHandle handle) {
    requestHandle = handle;
  }

  // ---- used by attempts ----

  @Override
  public boolean start(Attempt attempt) {
    return server.pool().start(attempt, this);
  }

  /** Whether all request data is still buffered, so that another attempt can be made. */
  @Override
  public boolean isRepeatable() {
    return replayBuffer != null;
  }

  @Override
  public void release() {
    if (replayBuffer != null) {
      replayBuffer.release();
      replayBuffer = null;
    }
  }

  /** Whether the client has half-closed, so that the buffered request is complete. */
  boolean isRequestComplete() {
    return requestComplete;
  }

  MessageBuffer replayBuffer() {
    return replayBuffer;
  }

  BufferingMode mode() {
    return method.mode();
  }

  /**
   * Returns the headers of an attempt with the given time left. All attempts share one object: the
   * caller must write the headers before the next call of this method.
   */
  Http2Headers attemptHeaders(long remainingNanos, Attempt attempt) {
    headers.set(GrpcHeaders.TIMEOUT, GrpcTimeout.format(remainingNanos));
    if (attempt.number() > 0) {
      headers.setInt(GrpcHeaders.PREVIOUS_ATTEMPTS, attempt.number());
    }
    return headers;
  }

  /** Sends the buffered request data to the opened stream, which also receives all later data. */
  void replayTo(AttemptStream stream) {
    int windowBytes = unreturnedWindow;
    unreturnedWindow = 0;
    if (replayBuffer.size() > 0 || requestComplete) {
      stream
          .writeData(replayBuffer.retainedDuplicate(), requestComplete)
          .addListener(done -> connection.returnWindow(id, windowBytes));
    }
    if (!requestComplete) {
      receivingAttempt = stream;
      releaseReplayBufferIfTooLong();
    }
  }

  /** Above the limit no other attempt is made, so the data that was sent need not be kept. */
  private void releaseReplayBufferIfTooLong() {
    if (replayBuffer != null && replayBuffer.size() > server.config().maxBufferedBytes()) {
      release();
    }
  }

  private int forward(ByteBuf data, boolean last) {
    int bytes = data.readableBytes();
    if (replayBuffer == null && receivingAttempt == null) {
      return bytes; // The only attempt has ended; the answer to the client follows.
    }
    if (replayBuffer != null && !replayBuffer.add(data)) {
      reject(Status.RESOURCE_EXHAUSTED, server.bufferBudget().exhaustedMessage());
      return bytes;
    }
    if (receivingAttempt == null) {
      unreturnedWindow += bytes;
      return 0;
    }
    if (!server.bufferBudget().tryReserve(bytes)) {
      reject(Status.RESOURCE_EXHAUSTED, server.bufferBudget().exhaustedMessage());
      return bytes;
    }
    receivingAttempt
        .writeData(data.retain(), last)
        .addListener(
            done -> {
              server.bufferBudget().release(bytes);
              connection.returnWindow(id, bytes);
            });
    releaseReplayBufferIfTooLong();
    return 0;
  }

  /** Stops sending request data to an attempt that has ended. */
  void onAttemptEnded(AttemptStream stream) {
    if (receivingAttempt == stream) {
      receivingAttempt = null;
    }
  }

  // ---- a streamed answer ----

  void forwardHeaders(AttemptStream stream, Http2Headers head) {
    streamingAttempt = stream;
    scheduleDeadline();
    connection.writeHeaders(id, head, false);
  }

  /**
   * Forwards answer data and takes ownership of it. The future completes when the data is written
   * to the client.
   */
  ChannelFuture forwardData(ByteBuf data) {
    return connection.writeData(id, data, false);
  }

  void forwardTrailers(Http2Headers trailers) {
    requestHandle = null;
    finish(trailers);
  }

  /**
   * Ends a streamed answer that broke off, with a status that clients do not retry by themselves.
   */
  void forwardFailure() {
    requestHandle = null;
    finish(noRetryTrailers(Status.INTERNAL, "the server broke off"));
  }

  // ---- complete answers ----

  @Override
  public void serve(Answer answer) {
    requestHandle = null;
    GrpcAnswer completeAnswer = (GrpcAnswer) answer; // AttemptStream creates no other kind.
    if (completeAnswer == null || answered) {
      release(completeAnswer);
      return;
    }
    writeAnswer(completeAnswer, completeAnswer.trailers());
  }

  private void writeAnswer(GrpcAnswer completeAnswer, Http2Headers trailers) {
    if (completeAnswer.headers() != null) {
      connection.writeHeaders(id, completeAnswer.headers(), false);
      if (completeAnswer.message() != null && completeAnswer.message().size() > 0) {
        // The bytes count against the budget until they are written to the client.
        connection
            .writeData(id, completeAnswer.message().retainedDuplicate(), false)
            .addListener(done -> completeAnswer.release());
      } else {
        completeAnswer.release();
      }
    } else {
      completeAnswer.release();
      if (trailers.status() == null) {
        trailers.status("200");
      }
    }
    finish(trailers);
  }

  @Override
  public void refuse(long retryAfterNanos, Answer lastAnswer) {
    requestHandle = null;
    if (failIfDeadlinePassed(lastAnswer)) {
      return;
    }
    long millis = Math.max(0, retryAfterNanos / 1_000_000);
    if (lastAnswer instanceof GrpcAnswer error) {
      writeAnswer(error, error.trailers().setLong(GrpcHeaders.PUSHBACK, millis));
      return;
    }
    finish(
        GrpcHeaders.trailersOnly(Status.UNAVAILABLE, "refused")
            .setLong(GrpcHeaders.PUSHBACK, millis)
            .set(GrpcHeaders.NOT_RUN, "1"));
  }

  @Override
  public void fail(Answer lastAnswer) {
    requestHandle = null;
    if (failIfDeadlinePassed(lastAnswer)) {
      return;
    }
    if (lastAnswer instanceof GrpcAnswer error) {
      writeAnswer(error, error.trailers().set(GrpcHeaders.PUSHBACK, "-1"));
    } else {
      finish(noRetryTrailers(Status.INTERNAL, "failed, and may have had an effect"));
    }
  }

  private boolean failIfDeadlinePassed(Answer lastAnswer) {
    boolean passed = server.clock().nowNanos() >= deadlineNanos;
    if (passed) {
      release(lastAnswer);
      finish(deadlineExceeded());
    }
    return passed;
  }

  private static Http2Headers deadlineExceeded() {
    return GrpcHeaders.trailersOnly(Status.DEADLINE_EXCEEDED, "no answer in time");
  }

  /** A negative pushback tells the client library not to retry (gRFC A6). */
  private static Http2Headers noRetryTrailers(Status status, String message) {
    return GrpcHeaders.trailersOnly(status, message).set(GrpcHeaders.PUSHBACK, "-1");
  }

  private static void release(Answer answer) {
    if (answer != null) {
      answer.release();
    }
  }

  /** Ends the call with a status from the balancer and cancels its attempts. */
  private void reject(Status status, String message) {
    finish(GrpcHeaders.trailersOnly(status, message));
    cancelRequest();
  }

  private void answerHealthCheck(String name) {
    if (!name.equals("Check")) {
      reject(Status.UNIMPLEMENTED, "only Check is answered");
      return;
    }
    int serving = server.draining() ? 2 : 1; // HealthCheckResponse.ServingStatus
    Http2Headers head =
        new DefaultHttp2Headers().status("200").set(GrpcHeaders.CONTENT_TYPE, GrpcHeaders.GRPC);
    connection.writeHeaders(id, head, false);
    byte[] message = {0, 0, 0, 0, 2, 8, (byte) serving};
    connection.writeData(id, Unpooled.wrappedBuffer(message), false);
    finish(new DefaultHttp2Headers().setInt(GrpcHeaders.STATUS, Status.OK.code()));
  }

  /** Writes the end of the answer; further request data is discarded. */
  private void finish(Http2Headers trailers) {
    if (answered) {
      return;
    }
    answered = true;
    if (streamingAttempt != null && trailers.status() != null) {
      trailers.remove(Http2Headers.PseudoHeaderName.STATUS.value());
      trailers.remove(GrpcHeaders.CONTENT_TYPE);
    }
    releaseResources();
    finalWriteNanos = server.clock().nowNanos();
    ChannelFuture writing = connection.writeHeaders(id, trailers, true);
    if (!requestComplete) { // Tells a client that is still sending to stop (RFC 9113, section 8.1).
      connection.returnWindow(id, unreturnedWindow);
      unreturnedWindow = 0;
      writing.addListener(done -> connection.reset(id, Http2Error.NO_ERROR));
    }
  }

  private void releaseResources() {
    if (deadlineTimer != null) {
      deadlineTimer.cancel(false);
      deadlineTimer = null;
    }
    if (!dispatched) {
      release(); // Otherwise the dispatcher releases the payload.
    }
  }

  // ---- deadline, cancellation and closing ----

  /**
   * Schedules the deadline of a call that the timer of the dispatcher does not cover: one that is
   * not dispatched yet, or whose answer is being streamed.
   */
  private void scheduleDeadline() {
    if (deadlineTimer == null && !answered) {
      long remainingNanos = deadlineNanos - server.clock().nowNanos();
      deadlineTimer =
          connection
              .context()
              .executor()
              .schedule(this::onDeadline, Math.max(0, remainingNanos), NANOSECONDS);
    }
  }

  private void onDeadline() {
    if (!answered && (!dispatched || streamingAttempt != null)) {
      finish(deadlineExceeded());
      cancelRequest();
    }
  }

  private void cancelRequest() {
    if (requestHandle != null) {
      RequestHandle handle = requestHandle;
      requestHandle = null;
      handle.callerGone();
    }
  }

  /** Whether the end of the answer has been waiting for the client since before the given time. */
  @Override
  public boolean stalledSinceBefore(long nanos) {
    return answered && finalWriteNanos < nanos;
  }

  @Override
  public void abort() {
    connection.reset(id, Http2Error.CANCEL);
  }

  @Override
  public void onReset(long code) {
    onClientGone();
  }

  @Override
  public void onClosed(Http2Stream stream) {
    connection.callClosed();
    onClientGone();
  }

  private void onClientGone() {
    if (!answered) {
      answered = true;
      releaseResources();
    }
    cancelRequest();
  }
}
