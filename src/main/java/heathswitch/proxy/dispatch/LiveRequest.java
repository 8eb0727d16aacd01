package heathswitch.proxy.dispatch;

import heathswitch.policy.api.GiveUp;
import heathswitch.policy.api.Outcome;
import heathswitch.policy.api.RequestClass;
import heathswitch.proxy.spi.Answer;
import heathswitch.proxy.spi.Caller;
import heathswitch.proxy.spi.Payload;
import heathswitch.proxy.spi.RequestHandle;
import heathswitch.proxy.spi.Upstream;
import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;

/** A request that has been taken: what it says, its attempts, and whether it has been answered. */
final class LiveRequest implements RequestHandle {
  /** What becomes of the attempts. */
  interface Listener {
    boolean beginStreaming(Attempt attempt);

    void complete(Attempt attempt, Outcome outcome, Answer answer);

    boolean maySend(Attempt attempt);

    void callerGone(LiveRequest request);

    void bodyComplete(LiveRequest request, long ttlNanos);
  }

  /** One attempt of a request. */
  static final class Attempt extends heathswitch.proxy.spi.Attempt {
    final LiveRequest request;
    final int number;
    final long sentNanos;
    private final Listener listener;

    /** Whether it was made elsewhere, of which the module knows nothing. */
    boolean overflow;

    boolean open = true;

    /** How it ended; null while it is out. */
    Outcome outcome;

    /** Whether its answer goes on to the caller as it comes. */
    boolean streaming;

    Future<?> timeout;

    Attempt(LiveRequest request, int number, Upstream upstream, long sentNanos, Listener listener) {
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
      return listener.maySend(this);
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

  /** The client's name for it, which no other open request may have. */
  final String name;

  final Caller caller;
  final RequestClass type;
  final Payload payload;
  final long arrivedNanos;
  long deadlineNanos;

  /** When all of it had come. */
  long bodyCompleteNanos;

  private final Listener listener;
  final List<Attempt> attempts = new ArrayList<>(2);
  int openAttempts;
  boolean completed;

  /** Attempts that were made elsewhere; once there is one the module has let go of the request. */
  int overflowAttempts;

  /** Whether all attempts so far never ran. */
  boolean neverRan = true;

  /** By the settings that it was taken under. */
  int maxAttempts;

  /** Why it was given up; null if it was not. */
  GiveUp giveUpReason;

  /** What its caller is told of when to come back, should it be turned away. */
  long retryAfterNanos;

  Future<?> deadline;

  /** The last error that an upstream answered, to be passed on if nothing better comes. */
  Answer lastError;

  LiveRequest(
      long id,
      String name,
      Caller caller,
      RequestClass type,
      Payload payload,
      long nowNanos,
      long ttlNanos,
      Listener listener) {
    this.listener = listener;
    this.id = id;
    this.name = name;
    this.caller = caller;
    this.type = type;
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

  /** Nothing more can happen to the request. */
  boolean isFinished() {
    return completed && openAttempts == 0;
  }

  /** Keeps the answer of an error in place of an earlier one. */
  void replaceLastError(Answer error) {
    if (lastError != null) {
      lastError.release();
    }
    lastError = error;
  }

  /** Hands over the last error, or null. */
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
