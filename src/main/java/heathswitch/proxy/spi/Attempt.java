package heathswitch.proxy.spi;

import heathswitch.policy.api.Outcome;

/**
 * One attempt to serve a request at one upstream, as seen by the transport that carries it. The
 * transport reports the outcome here.
 */
public abstract class Attempt {
  /** The connection, or the stream of a connection, that carries an attempt. */
  public interface Exchange {
    /** Cancels the exchange: the result of its attempt is no longer needed. */
    void cancel();
  }

  private final Upstream upstream;
  private Exchange exchange;

  protected Attempt(Upstream upstream) {
    this.upstream = upstream;
  }

  public final Upstream upstream() {
    return upstream;
  }

  /** The request's deadline, in nanoseconds of the node's clock. */
  public abstract long deadlineNanos();

  /** The zero-based number of this attempt within its request. */
  public abstract int number();

  /**
   * Whether the first byte of the attempt may be written now. Time may have passed since the
   * attempt was decided on: the caller may have disconnected, the upstream may be draining, the
   * retry window may be over, or the process may have been suspended. The transport completes an
   * attempt that may not be sent as never sent.
   */
  public abstract boolean maySend();

  /** Reports that the last byte of the request has been written, so that it may run. */
  public abstract void requestWritten();

  /** The client's id of the request, for the log. */
  public abstract String requestId();

  /**
   * Reports that the answer has begun to arrive and has paused since. The attempt stays in flight,
   * unless it is cancelled within the call.
   *
   * @param mayBeLong whether the whole answer may be too long to be buffered
   */
  public abstract void answerStalled(boolean mayBeLong);

  /**
   * Asks whether the answer may be streamed to the caller as it arrives. If so, the request is
   * bound to this answer: it can no longer be retried, and its concurrent attempts are cancelled.
   */
  public abstract boolean beginStreaming();

  /**
   * Reports the end of the attempt. With {@link Outcome#OK} the answer is complete, or null if it
   * was streamed; an error may carry the upstream's error answer. The callee takes ownership of the
   * answer.
   */
  public abstract void complete(Outcome outcome, Answer answer);

  /** Sets the exchange that {@link #cancel()} cancels. */
  public final void attach(Exchange newExchange) {
    exchange = newExchange;
  }

  /** Cancels the attempt's exchange if it has one. */
  public final void cancel() {
    Exchange current = exchange;
    exchange = null;
    if (current != null) {
      current.cancel();
    }
  }
}
