package heathswitch.proxy.spi;

/** What a request asks, in the form of its protocol, for as many attempts as it takes. */
public interface Payload {
  /**
   * Starts an attempt over the protocol's transport; false if no descriptor can be had, and then
   * nothing was sent.
   */
  boolean start(Attempt attempt);

  /** Whether another attempt is possible: a stream that has been passed on in part is not. */
  default boolean isRepeatable() {
    return true;
  }

  /** Nothing more is sent; called once. */
  void release();
}
