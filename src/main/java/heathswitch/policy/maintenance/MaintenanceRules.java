package heathswitch.policy.maintenance;

import java.util.List;

/**
 * What all instances hold to; the highest version wins.
 *
 * @param leaseMillis after its last renewal an instance may send no longer than this
 * @param marginMillis beyond the lease until others count it as fenced: what clocks may differ in
 *     rate and what an end takes
 * @param maxOut machines held at once
 * @param maxOutInCell machines held at once in one cell
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
