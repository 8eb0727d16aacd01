package heathswitch.policy.maintenance;

import java.util.Map;
import java.util.Set;

/**
 * What one instance sees of the servers.
 *
 * @param index index of the last log entry that the instance had applied when it made the report
 * @param groups the capacity of each group of servers
 * @param warm returning machines that the instance sees in full service
 */
public record CapacityReport(long index, Map<ServerGroup, Capacity> groups, Set<String> warm) {
  /**
   * The weights of a group of servers.
   *
   * @param listed sum over all listed servers, including those that are out
   * @param available sum over the servers that no order holds, each by what it can serve now
   */
  public record Capacity(double listed, double available) {}

  public CapacityReport {
    groups = Map.copyOf(groups);
    warm = Set.copyOf(warm);
  }
}
