package heathswitch.proxy.dispatch;

import heathswitch.policy.api.Outcome;
import heathswitch.policy.api.RequestClass;
import heathswitch.policy.api.UnservedReason;
import heathswitch.proxy.spi.Answer;
import heathswitch.proxy.spi.Caller;
import heathswitch.proxy.spi.Payload;
import heathswitch.proxy.spi.RequestHandle;
import heathswitch.proxy.spi.Upstream;
import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;

/** An accepted request with its attempts and its completion state. */
final class LiveRequest implements RequestHandle {
  /** Receives the events of a request and its attempts. */
  interface Listener {
    boolean beginStreaming(DispatchedAttempt attempt);

    void complete(DispatchedAttempt attempt, Outcome outcome, Answer answer);

    boolean mayWrite(DispatchedAttempt attempt);

    void requestWritten(DispatchedAttempt attempt);

    void answerStalled(DispatchedAttempt attempt, boolean mayBeLong);

    void callerGone(LiveRequest request);

    void bodyComplete(LiveRequest request, long ttlNanos);
  }

  /** One attempt of a request. */
  static final class DispatchedAttempt extends heathswitch.proxy.spi.Attempt {
    final LiveRequest request;
    final int number;
    final long sentNanos;
    private final Listener listener;

    /** Whether the attempt was sent to another site; the decision module doesn't know of it. */
    boolean overflow;

    boolean open = true;

    /** The outcome, or null while the attempt is in flight. */
    Outcome outcome;

    /** Whether the answer is streamed to the caller as it arrives. */
    boolean streaming;

    /** Whether the answer has paused while it arrived. */
    boolean stalled;

    Future<?> timeout;

    DispatchedAttempt(
        LiveRequest request, int number, Upstream upstream, long sentNanos, Listener listener) {
      super(upstream);
      this.request = request;
      this.number = number;
      this.sentNanos = sentNanos;
      this.listener = listener;
    }

    @Override
    public long deadlineNanos() {
      return request.deadlineNanos;
    }

    @Override
    public int number() {
      return number;
    }

    @Override
    public boolean maySend() {
      return listener.mayWrite(this);
    }

    @Override
    public void requestWritten() {
      listener.requestWritten(this);
    }

    @Override
    public String requestId() {
      return request.name;
    }

    @Override
    public void answerStalled(boolean mayBeLong) {
      listener.answerStalled(this, mayBeLong);
    }

    @Override
    public boolean beginStreaming() {
      return listener.beginStreaming(this);
    }

    @Override
    public void complete(Outcome outcome, Answer answer) {
      listener.complete(this, outcome, answer);
    }
  }

  final long id;

  /** The client's id of the request, unique among the open requests. */
  final String name;

  final Caller caller;
  final RequestClass requestClass;
  final Payload payload;
  final long arrivedNanos;
  long deadlineNanos;

  /** When the request was received completely. */
  long bodyCompleteNanos;

  private final Listener listener;
  final List<DispatchedAttempt> attempts = new ArrayList<>(2);
  int openAttempts;
  boolean completed;

  /**
   * The number of attempts at other sites. Once there is one, the decision module has released the
   * request.
   */
  int overflowAttempts;

  /** Whether no attempt so far can have been executed. */
  boolean neverRan = true;

  /** Whether its id has been claimed, so that it does not take effect twice. */
  boolean idClaimed;

  /** The limit of the settings that were in force when the request was accepted. */
  int maxAttempts;

  /** Why the request was given up, or null if it was not. */
  UnservedReason giveUpReason;

  /** The retry-after interval that the caller is told if the request is refused. */
  long retryAfterNanos;

  Future<?> deadline;

  /** The last error answer from an upstream, forwarded if there is no better answer. */
  Answer lastError;

  LiveRequest(
      long id,
      String name,
      Caller caller,
      RequestClass requestClass,
      Payload payload,
      long nowNanos,
      long ttlNanos,
      Listener listener) {
    this.listener = listener;
    this.id = id;
    this.name = name;
    this.caller = caller;
    this.requestClass = requestClass;
    this.payload = payload;
    this.arrivedNanos = nowNanos;
    this.bodyCompleteNanos = nowNanos;
    this.deadlineNanos = nowNanos + ttlNanos;
  }

  @Override
  public void bodyComplete(long ttlNanos) {
    listener.bodyComplete(this, ttlNanos);
  }

  @Override
  public void callerGone() {
    listener.callerGone(this);
  }

  /** Whether nothing more can happen to the request. */
  boolean isFinished() {
    return completed && openAttempts == 0;
  }

  /** Stores an error answer and releases the previous one. */
  void replaceLastError(Answer error) {
    if (lastError != null) {
      lastError.release();
    }
    lastError = error;
  }

  /** Transfers ownership of the last error answer, or returns null. */
  Answer takeLastError() {
    Answer error = lastError;
    lastError = null;
    return error;
  }

  void release() {
    payload.release();
    replaceLastError(null);
  }
}
