package heathswitch.policy.members;

/**
 * Limits on the content of a list, and on how much a new list may change without confirmation.
 *
 * @param maxRemovedShare share of the servers in service at the start of the window that may leave
 *     service within it, above 0 and at most 1; one server may always leave
 * @param windowMillis time over which removals are summed up
 * @param minWeight smallest allowed weight, above 0
 * @param maxWeight largest allowed weight, finite
 * @param maxServers largest allowed number of servers in a list
 */
public record ListPolicy(
    double maxRemovedShare, long windowMillis, double minWeight, double maxWeight, int maxServers) {

  /** Rejects values that would make the limits ineffective. */
  public ListPolicy {
    require(maxRemovedShare > 0 && maxRemovedShare <= 1, "maxRemovedShare");
    require(windowMillis >= 0, "windowMillis");
    require(minWeight > 0 && minWeight <= maxWeight, "minWeight");
    require(maxWeight < Double.POSITIVE_INFINITY, "maxWeight");
    require(maxServers >= 1, "maxServers");
  }

  private static void require(boolean condition, String field) {
    if (!condition) {
      throw new IllegalArgumentException("invalid policy: " + field);
    }
  }
}
