package heathswitch.proxy.spi;

/** A caller's handle of its accepted request. */
public interface RequestHandle {
  /**
   * Reports that the last part of the request has arrived, and restarts its time limit from now.
   * For a request that was accepted before it was complete, with a longer time limit than the
   * caller's own.
   *
   * @param ttlNanos how long the caller waits for its answer
   */
  void bodyComplete(long ttlNanos);

  /**
   * Reports that the caller no longer waits for an answer; open attempts of the request are
   * cancelled.
   */
  void callerGone();
}
