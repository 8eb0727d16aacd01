package heathswitch.proxy.spi;

/** Whoever waits for the one answer to a request; exactly one of the three is called, once. */
public interface Caller {
  /** The request is live; told before anything can answer it. */
  void accepted(RequestHandle ticket);

  /** Whether the request may be sent to another place; one that came from there may not. */
  default boolean mayOverflow() {
    return true;
  }

  /**
   * Whether somebody still waits for the answer, as far as can be found out now: what has come from
   * the caller and has not been read yet is read first. Asked right before an attempt begins; a
   * caller that turns out to have gone says so through its {@link RequestHandle} before this
   * returns.
   */
  default boolean isStillWaiting() {
    return true;
  }

  /**
   * A whole answer, in the caller's own protocol; it belongs to the caller. Null where it has been
   * passed on as it came.
   */
  void serve(Answer answer);

  /**
   * Turned away; trying again is harmless, after so long where it is above zero.
   *
   * @param last the last error that an upstream answered, or null; it belongs to the caller
   */
  void refuse(long retryAfterNanos, Answer last);

  /** Failed, and may have had an effect. */
  void fail(Answer last);
}
