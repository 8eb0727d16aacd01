package heathswitch.policy.members;

/**
 * What a new list may do without being asked about.
 *
 * @param mostRemovedShare part of the servers in service at the window's start that may leave
 *     service within it, above 0 and at most 1; one server may always leave
 * @param windowMillis time over which edits are summed up
 * @param leastWeight least weight, above 0
 * @param mostWeight greatest weight, finite
 * @param mostServers greatest number of servers in a list
 */
public record ListPolicy(
    double mostRemovedShare,
    long windowMillis,
    double leastWeight,
    double mostWeight,
    int mostServers) {

  /** Refuses figures that would make the rules void. */
  public ListPolicy {
    require(mostRemovedShare > 0 && mostRemovedShare <= 1, "mostRemovedShare");
    require(windowMillis >= 0, "windowMillis");
    require(leastWeight > 0 && leastWeight <= mostWeight, "leastWeight");
    require(mostWeight < Double.POSITIVE_INFINITY, "mostWeight");
    require(mostServers >= 1, "mostServers");
  }

  private static void require(boolean holds, String field) {
    if (!holds) {
      throw new IllegalArgumentException("invalid policy: " + field);
    }
  }
}
