package heathswitch.testbed.client;

/**
 * One kind of request.
 *
 * @param type the class, as the balancer's configuration names it
 * @param post whether it is a POST, which a class that is not safe to repeat has to be
 * @param keyed whether it carries an idempotency key
 * @param share part of the load, against the shares of the other kinds
 */
public record Kind(String type, String tenant, boolean post, boolean keyed, double share) {
  public static Kind safe(String type, String tenant, double share) {
    return new Kind(type, tenant, false, false, share);
  }

  public static Kind unsafe(String type, String tenant, double share) {
    return new Kind(type, tenant, true, false, share);
  }
}
