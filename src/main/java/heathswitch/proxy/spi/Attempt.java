package heathswitch.proxy.spi;

import heathswitch.policy.api.Outcome;

/** One attempt at one upstream, as its transport sees it; whoever makes it is told how it ended. */
public abstract class Attempt {
  /** What carries an attempt: a connection, or a stream of one. */
  public interface Exchange {
    /** Nobody waits for the attempt any more. */
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

  /** When nobody waits for an answer any more, in nanoseconds of the node's clock. */
  public abstract long deadlineNanos();

  /** How many attempts of the request were made before. */
  public abstract int number();

  /**
   * Whether its first byte may be written now. Time may have passed since it was decided: the
   * caller may have gone, the upstream may drain, the time for a repeat may be over, the process
   * may even have been stopped. What may not begin ends as never sent.
   */
  public abstract boolean maySend();

  /**
   * Asks whether the answer may go on to the caller as it comes. If so the request has this answer
   * and no other: it can't be tried again, and attempts beside this one are called off.
   */
  public abstract boolean beginStreaming();

  /**
   * The attempt is over. For {@link Outcome#OK} the answer stands ready unless it was passed on as
   * it came; an error may bring the answer that says so. It belongs to the receiver.
   */
  public abstract void complete(Outcome outcome, Answer answer);

  public final void attach(Exchange by) {
    exchange = by;
  }

  /** Stops waiting for an attempt that has not ended. */
  public final void cancel() {
    Exchange now = exchange;
    exchange = null;
    if (now != null) {
      now.cancel();
    }
  }
}
