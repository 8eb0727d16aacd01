package heathswitch.policy.maintenance;

import java.util.List;

/**
 * The limits that all instances follow; the highest version that an instance has joined with is in
 * force.
 *
 * @param leaseMillis for how long after its last renewal an instance may send
 * @param marginMillis added to the lease before others count the instance as fenced; it covers the
 *     difference in clock rates and the time that an instance needs to stop sending
 * @param maxOut maximum number of machines held at once
 * @param maxOutInCell maximum number of machines held at once in one cell
 */
public record MaintenanceRules(
    long version,
    long leaseMillis,
    long marginMillis,
    int maxOut,
    int maxOutInCell,
    List<CapacityFloor> floors) {
  public MaintenanceRules {
    floors = List.copyOf(floors);
  }
}
