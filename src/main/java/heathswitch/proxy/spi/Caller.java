package heathswitch.proxy.spi;

/**
 * The party that waits for the answer to a request. Exactly one of {@link #serve}, {@link #refuse}
 * and {@link #fail} is called, once, unless the caller disconnects first.
 */
public interface Caller {
  /** Hands over the handle of the accepted request; called before the request can be answered. */
  void accepted(RequestHandle handle);

  /**
   * Whether the request may be forwarded to another site. A request that was itself forwarded from
   * another site may not.
   */
  default boolean mayOverflow() {
    return true;
  }

  /**
   * Whether the caller still waits for the answer, as far as can be determined now: input from the
   * caller that is pending is read first. Called right before an attempt is sent. A caller that
   * turns out to be gone reports that through its {@link RequestHandle} before this method returns.
   */
  default boolean isStillWaiting() {
    return true;
  }

  /**
   * Delivers a complete answer in the caller's own protocol and passes on its ownership.
   *
   * @param answer null if the answer was already streamed to the caller
   */
  void serve(Answer answer);

  /**
   * Refuses the request; a retry does no harm.
   *
   * @param retryAfterNanos how long to wait before a retry, if above zero
   * @param last the last error answer from an upstream, or null; ownership passes to the caller
   */
  void refuse(long retryAfterNanos, Answer last);

  /**
   * Fails the request, which may have had an effect.
   *
   * @param last the last error answer from an upstream, or null; ownership passes to the caller
   */
  void fail(Answer last);
}
