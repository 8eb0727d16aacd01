package heathswitch.policy.maintenance;

import java.util.Map;
import java.util.Set;

/**
 * What one instance sees of the servers.
 *
 * @param index of the last entry of the log that it had taken when it looked
 * @param groups the capacity of each kind in each zone
 * @param warm machines on their way back that it sees in full service
 */
public record CapacityReport(long index, Map<ServerGroup, Capacity> groups, Set<String> warm) {
  /**
   * Weights of a group.
   *
   * @param listed of all servers on the list, those that are out among them
   * @param available of those that no order holds, as much as each can do now
   */
  public record Capacity(double listed, double available) {}

  public CapacityReport {
    groups = Map.copyOf(groups);
    warm = Set.copyOf(warm);
  }
}
