package heathswitch.proxy.spi;

/** The connections to upstreams over one protocol, as seen by the dispatcher. */
public interface Transport {
  /**
   * Closes the idle connections to an upstream. Called when the upstream has restarted, changed its
   * address, is draining or has stopped responding.
   */
  void closeIdle(Upstream upstream);

  /** Whether there is an open connection to the upstream that a call could use. */
  boolean hasConnection(Upstream upstream);
}
