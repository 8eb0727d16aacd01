package heathswitch.policy.maintenance;

/**
 * The share of capacity that must stay in service while machines are out.
 *
 * @param kind kind of the servers that the floor applies to, or {@code *} for all
 * @param zone zone of these servers, or {@code *} for all
 * @param minShare share of the listed weight, from 0 to 1
 */
public record CapacityFloor(String kind, String zone, double minShare) {
  /** Whether the floor applies to the servers of a group. */
  public boolean covers(ServerGroup group) {
    return !group.kind().equals(Machine.BALANCER)
        && (kind.equals("*") || kind.equals(group.kind()))
        && (zone.equals("*") || zone.equals(group.zone()));
  }

  @Override
  public String toString() {
    return "floor " + minShare + " of kind " + kind + " in zone " + zone;
  }
}
