package heathswitch.proxy.grpc;

import static java.util.concurrent.TimeUnit.NANOSECONDS;

import heathswitch.policy.api.RequestProtocol;
import heathswitch.policy.grpc.Gathering;
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
 * One call of a client, on a stream of its own. What has come of it is kept and can be sent again,
 * until it is longer than that: then it goes on to the one attempt that it has, drawn from the
 * client only as fast as the upstream takes it.
 */
final class GrpcCall implements InboundConnection.Call, Caller, Payload, BufferingTimer.Listener {
  private static final String HEALTH = "/grpc.health.v1.Health/";

  private final GrpcServer server;
  private final ClientConnection link;
  private final int id;
  private Http2Headers headers;
  private GrpcConfig.MethodConfig method;
  private MessageBoundaryTracker messages;
  private MessageBuffer kept;
  private long deadlineNanos;
  private Future<?> deadline;
  private RequestHandle ticket;

  /** The attempt that gets what the client still sends. */
  private AttemptStream upstream;

  /** The attempt whose answer goes on as it comes. */
  private AttemptStream answering;

  /** Bytes of the client's window that no attempt has taken yet. */
  private int owed;

  private boolean dispatched;
  private boolean answered;

  /** Whether the client has sent all that it will. */
  private boolean ended;

  /** When the last thing was written that has not been taken by the client; 0 for none. */
  private long unwrittenNanos;

  GrpcCall(GrpcServer server, ClientConnection link, int id) {
    this.server = server;
    this.link = link;
    this.id = id;
  }

  // ---- what the client sends ----

  @Override
  public void onHeaders(Http2Headers head, boolean last) {
    ended |= last;
    if (answered) {
      return;
    }
    if (headers == null) {
      begin(head);
    } else if (last) {
      onData(Unpooled.EMPTY_BUFFER, true); // Trailers of a client say nothing more.
    } else {
      giveUp(Status.INTERNAL, "headers in the middle of a call");
    }
  }

  private void begin(Http2Headers head) {
    headers = head;
    if (head.method() == null || !"POST".contentEquals(head.method()) || head.path() == null) {
      last(new DefaultHttp2Headers().status("405"));
    } else if (!GrpcHeaders.isGrpc(head)) {
      last(new DefaultHttp2Headers().status("415"));
    } else if (server.forbidden() != null && head.contains(server.forbidden())) {
      giveUp(Status.INVALID_ARGUMENT, server.forbidden() + " is not for clients");
    } else if (AsciiString.of(head.path()).startsWith(HEALTH)) {
      health(head.path().toString().substring(HEALTH.length()));
    } else {
      take(head);
    }
  }

  private void take(Http2Headers head) {
    CharSequence timeout = head.get(GrpcHeaders.TIMEOUT);
    long ttl = timeout == null ? Long.MAX_VALUE : GrpcTimeout.parse(timeout);
    if (ttl < 0 || timeout != null && head.getAll(GrpcHeaders.TIMEOUT).size() > 1) {
      giveUp(Status.INVALID_ARGUMENT, "malformed grpc-timeout");
      return;
    }
    GrpcConfig config = server.config();
    method = config.method(head.path());
    // No client waits longer than its class allows, and nothing is held for it any longer.
    ttl = Math.min(ttl, method.type().deadlineNanos());
    deadlineNanos = server.clock().nowNanos() + ttl;
    messages = new MessageBoundaryTracker(config.maxMessageBytes());
    kept = new MessageBuffer(server.held(), mostKept(config));
    if (ended || method.mode() == Gathering.STREAM) {
      dispatch();
    } else {
      server.patience().watch(this);
    }
  }

  /**
   * Beyond what is to be sent again, what may come before an attempt has its connection: a window,
   * and the last frame before the call went on.
   */
  private int mostKept(GrpcConfig config) {
    return method.mode() == Gathering.UNARY
        ? config.maxMessageBytes() + MessageBoundaryTracker.PREFIX
        : config.maxBufferedBytes() + 2 * MultiplexedConnection.STREAM_WINDOW_BYTES;
  }

  @Override
  public int onData(ByteBuf data, boolean last) {
    int bytes = data.readableBytes();
    ended |= last;
    if (answered || method == null) {
      return bytes;
    }
    if (!messages.add(data)) {
      giveUp(
          Status.RESOURCE_EXHAUSTED,
          GrpcHeaders.tooLong("request", messages.claimed(), server.config().maxMessageBytes()));
      return bytes;
    }
    if (dispatched) {
      return passOn(data, last);
    }
    if (!kept.add(data)) {
      giveUp(Status.RESOURCE_EXHAUSTED, kept.full() ? tooMuch() : server.held().words());
    } else if (last
        || method
            .mode()
            .passesOn(messages.begun(), kept.size(), server.config().maxBufferedBytes())) {
      dispatch();
    }
    return bytes;
  }

  private String tooMuch() {
    return "a unary call of more than "
        + (server.config().maxMessageBytes() + MessageBoundaryTracker.PREFIX)
        + " bytes, most_message of the balancer";
  }

  /** It has not ended by itself: from now on it is one that goes on. */
  @Override
  public void onBufferingTimeout() {
    if (dispatched || answered) {
      return;
    }
    if (method.mode().passesOnLate()) {
      dispatch();
    } else {
      watchDeadline();
    }
  }

  private void dispatch() {
    long left = deadlineNanos - server.clock().nowNanos();
    if (left <= 0) {
      timeUp();
      return;
    }
    dispatched = true;
    CharSequence previous = headers.get(GrpcHeaders.PREVIOUS_ATTEMPTS);
    CharSequence tenant = headers.get(GrpcHeaders.TENANT);
    GrpcHeaders.stripCall(headers);
    server
        .dispatcher()
        .onRequest(
            this,
            method.type(),
            server.nextName(),
            tenant != null ? tenant.toString() : method.tenant(),
            previous != null && !"0".contentEquals(previous),
            left,
            ended ? RequestProtocol.GRPC : RequestProtocol.GRPC_STREAM,
            this);
  }

  @Override
  public void accepted(RequestHandle live) {
    ticket = live;
  }

  // ---- for attempts ----

  @Override
  public boolean start(Attempt attempt) {
    return server.pool().start(attempt, this);
  }

  /** Whether all that the client has sent is still there, for another attempt. */
  @Override
  public boolean isRepeatable() {
    return kept != null;
  }

  @Override
  public void release() {
    if (kept != null) {
      kept.release();
      kept = null;
    }
  }

  /** Whether the client has sent all of it, so that it stands whole in what is kept. */
  boolean whole() {
    return ended;
  }

  MessageBuffer kept() {
    return kept;
  }

  Gathering mode() {
    return method.mode();
  }

  /** The headers of an attempt with so much time left; written before they are asked for again. */
  Http2Headers attemptHeaders(long leftNanos, Attempt attempt) {
    headers.set(GrpcHeaders.TIMEOUT, GrpcTimeout.format(leftNanos));
    if (attempt.number() > 0) {
      headers.setInt(GrpcHeaders.PREVIOUS_ATTEMPTS, attempt.number());
    }
    return headers;
  }

  /** An attempt has a stream: it gets what there is, and what still comes. */
  void replayTo(AttemptStream stream) {
    int before = owed;
    owed = 0;
    if (kept.size() > 0 || ended) {
      stream.pass(kept.share(), ended).addListener(done -> link.returnWindow(id, before));
    }
    if (!ended) {
      upstream = stream;
      forgetIfLong();
    }
  }

  /** Beyond the bound there is no other attempt: what one has got needs not be kept. */
  private void forgetIfLong() {
    if (kept != null && kept.size() > server.config().maxBufferedBytes()) {
      release();
    }
  }

  private int passOn(ByteBuf data, boolean last) {
    int bytes = data.readableBytes();
    if (kept == null && upstream == null) {
      return bytes; // Its one attempt is over; the module's answer is on its way.
    }
    if (kept != null && !kept.add(data)) {
      giveUp(Status.RESOURCE_EXHAUSTED, server.held().words());
      return bytes;
    }
    if (upstream == null) {
      owed += bytes;
      return 0;
    }
    if (!server.held().take(bytes)) {
      giveUp(Status.RESOURCE_EXHAUSTED, server.held().words());
      return bytes;
    }
    upstream
        .pass(data.retain(), last)
        .addListener(
            done -> {
              server.held().give(bytes);
              link.returnWindow(id, bytes);
            });
    forgetIfLong();
    return 0;
  }

  /** An attempt is over. */
  void left(AttemptStream stream) {
    if (upstream == stream) {
      upstream = null;
    }
  }

  // ---- an answer that goes on as it comes ----

  void passHeaders(AttemptStream from, Http2Headers head) {
    answering = from;
    watchDeadline();
    link.writeHeaders(id, head, false);
  }

  /** Passes a piece of the answer on, which it takes over; done when the client has it. */
  ChannelFuture passData(ByteBuf data) {
    return link.writeData(id, data, false);
  }

  void passTrailers(Http2Headers trailers) {
    ticket = null;
    last(trailers);
  }

  /** An answer that has begun cannot go on: a status that no client tries again by itself. */
  void passBroken() {
    ticket = null;
    last(failure(Status.INTERNAL, "the server broke off"));
  }

  // ---- answers ----

  @Override
  public void serve(Answer answer) {
    ticket = null;
    GrpcAnswer whole = (GrpcAnswer) answer; // The only kind that a AttemptStream brings.
    if (whole == null || answered) {
      release(whole);
      return;
    }
    write(whole, whole.trailers());
  }

  private void write(GrpcAnswer whole, Http2Headers trailers) {
    if (whole.headers() != null) {
      link.writeHeaders(id, whole.headers(), false);
      if (whole.message() != null && whole.message().size() > 0) {
        // The bytes count as held until the client has taken them.
        link.writeData(id, whole.message().share(), false).addListener(done -> whole.release());
      } else {
        whole.release();
      }
    } else {
      whole.release();
      if (trailers.status() == null) {
        trailers.status("200");
      }
    }
    last(trailers);
  }

  @Override
  public void refuse(long retryAfterNanos, Answer last) {
    ticket = null;
    if (late(last)) {
      return;
    }
    long millis = Math.max(0, retryAfterNanos / 1_000_000);
    if (last instanceof GrpcAnswer error) {
      write(error, error.trailers().setLong(GrpcHeaders.PUSHBACK, millis));
      return;
    }
    last(
        GrpcHeaders.trailersOnly(Status.UNAVAILABLE, "refused")
            .setLong(GrpcHeaders.PUSHBACK, millis)
            .set(GrpcHeaders.NOT_RUN, "1"));
  }

  @Override
  public void fail(Answer last) {
    ticket = null;
    if (late(last)) {
      return;
    }
    if (last instanceof GrpcAnswer error) {
      write(error, error.trailers().set(GrpcHeaders.PUSHBACK, "-1"));
    } else {
      last(failure(Status.INTERNAL, "failed, and may have had an effect"));
    }
  }

  private boolean late(Answer last) {
    boolean late = server.clock().nowNanos() >= deadlineNanos;
    if (late) {
      release(last);
      last(timeIsUp());
    }
    return late;
  }

  private static Http2Headers timeIsUp() {
    return GrpcHeaders.trailersOnly(Status.DEADLINE_EXCEEDED, "no answer in time");
  }

  /** A pushback below zero tells a client's library not to try again (gRFC A6). */
  private static Http2Headers failure(Status status, String message) {
    return GrpcHeaders.trailersOnly(status, message).set(GrpcHeaders.PUSHBACK, "-1");
  }

  private static void release(Answer answer) {
    if (answer != null) {
      answer.release();
    }
  }

  /** A status of the balancer's own; an attempt that is out is called off. */
  private void giveUp(Status status, String message) {
    last(GrpcHeaders.trailersOnly(status, message));
    callOff();
  }

  private void health(String name) {
    if (!name.equals("Check")) {
      giveUp(Status.UNIMPLEMENTED, "only Check is answered");
      return;
    }
    int serving = server.draining() ? 2 : 1; // HealthCheckResponse.ServingStatus
    Http2Headers head =
        new DefaultHttp2Headers().status("200").set(GrpcHeaders.CONTENT_TYPE, GrpcHeaders.GRPC);
    link.writeHeaders(id, head, false);
    byte[] message = {0, 0, 0, 0, 2, 8, (byte) serving};
    link.writeData(id, Unpooled.wrappedBuffer(message), false);
    last(new DefaultHttp2Headers().setInt(GrpcHeaders.STATUS, Status.OK.code()));
  }

  /** The last thing that is written; what the client still sends is of no more use. */
  private void last(Http2Headers trailers) {
    if (answered) {
      return;
    }
    answered = true;
    if (answering != null && trailers.status() != null) {
      trailers.remove(Http2Headers.PseudoHeaderName.STATUS.value());
      trailers.remove(GrpcHeaders.CONTENT_TYPE);
    }
    drop();
    unwrittenNanos = server.clock().nowNanos();
    ChannelFuture writing = link.writeHeaders(id, trailers, true);
    if (!ended) { // A client that goes on sending is told to stop (RFC 9113, section 8.1).
      link.returnWindow(id, owed);
      owed = 0;
      writing.addListener(done -> link.reset(id, Http2Error.NO_ERROR));
    }
  }

  private void drop() {
    if (deadline != null) {
      deadline.cancel(false);
      deadline = null;
    }
    if (!dispatched) {
      release(); // Else it is the dispatcher's to release.
    }
  }

  // ---- the end ----

  /** Of what the dispatcher's own timer does not end: not taken yet, or begun to be answered. */
  private void watchDeadline() {
    if (deadline == null && !answered) {
      long left = deadlineNanos - server.clock().nowNanos();
      deadline = link.context().executor().schedule(this::timeUp, Math.max(0, left), NANOSECONDS);
    }
  }

  private void timeUp() {
    if (!answered && (!dispatched || answering != null)) {
      last(timeIsUp());
      callOff();
    }
  }

  private void callOff() {
    if (ticket != null) {
      RequestHandle live = ticket;
      ticket = null;
      live.callerGone();
    }
  }

  /** Whether its client has not taken the end of its answer since then. */
  @Override
  public boolean stalledSinceBefore(long nanos) {
    return answered && unwrittenNanos < nanos;
  }

  @Override
  public void abort() {
    link.reset(id, Http2Error.CANCEL);
  }

  @Override
  public void onReset(long code) {
    gone();
  }

  @Override
  public void onClosed(Http2Stream stream) {
    link.callClosed();
    gone();
  }

  private void gone() {
    if (!answered) {
      answered = true;
      drop();
    }
    callOff();
  }
}
