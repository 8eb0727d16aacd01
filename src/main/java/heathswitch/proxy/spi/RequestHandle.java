package heathswitch.proxy.spi;

/** A request that has been taken, in the hands of its caller. */
public interface RequestHandle {
  /**
   * The last of what the caller sends has come; its time runs from now. For a request that was
   * taken before that, with more time than its caller gives it.
   *
   * @param ttlNanos how long the caller waits for its answer
   */
  void bodyComplete(long ttlNanos);

  /** The caller waits no longer; what is still out for the request is called off. */
  void callerGone();
}
