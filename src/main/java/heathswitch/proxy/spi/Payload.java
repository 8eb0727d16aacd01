package heathswitch.proxy.spi;

/**
 * The content of a request in the representation of its protocol. It can start as many attempts as
 * the request needs.
 */
public interface Payload {
  /**
   * Starts an attempt over the protocol's transport.
   *
   * @return false if no descriptor was available; nothing was sent then
   */
  boolean start(Attempt attempt);

  /**
   * Whether another attempt can be started. This is not possible for a stream that has been
   * forwarded in part.
   */
  default boolean isRepeatable() {
    return true;
  }

  /** Releases the content. Called once, after the last attempt has ended. */
  void release();
}
