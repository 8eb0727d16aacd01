package heathswitch.policy.maintenance;

/**
 * Capacity that must stay in service while machines are out.
 *
 * @param kind of the servers that it speaks of, or {@code *} for all
 * @param zone likewise
 * @param minShare part of the listed weight, from 0 to 1
 */
public record CapacityFloor(String kind, String zone, double minShare) {
  /** Whether it speaks of servers of that kind in that zone. */
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
