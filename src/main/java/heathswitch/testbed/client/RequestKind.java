package heathswitch.testbed.client;

/**
 * One kind of request of a load.
 *
 * @param requestClass name of the class in the balancer's configuration
 * @param post whether it is a POST, as required for a class that is not safe to repeat
 * @param keyed whether it carries an idempotency key
 * @param share weight of this kind relative to the shares of the other kinds
 */
public record RequestKind(
    String requestClass, String tenant, boolean post, boolean keyed, double share) {
  /** Returns a kind of GET requests, which are safe to repeat. */
  public static RequestKind safe(String requestClass, String tenant, double share) {
    return new RequestKind(requestClass, tenant, false, false, share);
  }

  /** Returns a kind of POST requests without an idempotency key. */
  public static RequestKind unsafe(String requestClass, String tenant, double share) {
    return new RequestKind(requestClass, tenant, true, false, share);
  }
}
