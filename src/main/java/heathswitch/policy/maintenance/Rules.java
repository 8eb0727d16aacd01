package heathswitch.policy.maintenance;

import java.util.List;

/**
 * What all instances hold to; the highest version wins.
 *
 * @param leaseMillis after its last renewal an instance may send no longer than this
 * @param marginMillis beyond the lease until others count it as fenced: what clocks may differ in
 *     rate and what an end takes
 * @param mostOut machines held at once
 * @param mostOutInCell machines held at once in one cell
 */
public record Rules(
    long version,
    long leaseMillis,
    long marginMillis,
    int mostOut,
    int mostOutInCell,
    List<Floor> floors) {
  public Rules {
    floors = List.copyOf(floors);
  }
}
