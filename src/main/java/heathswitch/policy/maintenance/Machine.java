package heathswitch.policy.maintenance;

/**
 * A server or a balancer that an order names.
 *
 * @param address where the server is reached, as ADDRESS:PORT; a server listed there under another
 *     id is the same machine
 * @param weight its capacity relative to other servers, from the server list
 */
public record Machine(
    String id, String kind, String zone, long cell, double weight, String address) {
  /** The kind of a balancer that is taken out by an order. */
  public static final String BALANCER = "balancer";

  private static final String BALANCER_PREFIX = BALANCER + '/';

  /** The machine that stands for a balancer instance. */
  public static Machine balancer(String instance) {
    return new Machine(BALANCER_PREFIX + instance, BALANCER, "", 0, 1, "");
  }

  /** The balancer instance that a machine id names, or null if it names a server. */
  public static String instance(String id) {
    return id.startsWith(BALANCER_PREFIX) ? id.substring(BALANCER_PREFIX.length()) : null;
  }

  String instance() {
    return instance(id);
  }

  ServerGroup group() {
    return new ServerGroup(kind, zone);
  }
}
