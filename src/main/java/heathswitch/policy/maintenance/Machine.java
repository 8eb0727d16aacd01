package heathswitch.policy.maintenance;

/**
 * A server as an order names it.
 *
 * @param address where it is reached, as ADDRESS:PORT; another id there is the same machine
 * @param weight its capacity against others, as the list says
 */
public record Machine(
    String id, String kind, String zone, long cell, double weight, String address) {
  /** The kind of a balancer that is taken out as a machine is. */
  public static final String BALANCER = "balancer";

  private static final String BALANCERS = BALANCER + '/';

  /** A balancer by its name among the instances. */
  public static Machine balancer(String instance) {
    return new Machine(BALANCERS + instance, BALANCER, "", 0, 1, "");
  }

  /** The instance that an id names, or null where it names a server. */
  public static String instance(String id) {
    return id.startsWith(BALANCERS) ? id.substring(BALANCERS.length()) : null;
  }

  String instance() {
    return instance(id);
  }

  ServerGroup group() {
    return new ServerGroup(kind, zone);
  }
}
