package heathswitch.policy.subsetting;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Moves one balancer from the servers that it uses to those that its plan assigns to it. Each step
 * shifts a bounded share of its calls. New servers are used from the first step on; a server that
 * is no longer assigned is dropped once almost no calls go to it.
 */
public final class AssignmentTransition {
  /**
   * Servers that are no longer assigned are dropped when each gets less than this share of the
   * calls divided by the number of servers in use, so that all of them together get less than it.
   */
  private static final double DROP_SHARE = 0.02;

  private Map<String, Double> current = new TreeMap<>();

  /** Share of the calls that goes to each server now; empty before the first step. */
  public Map<String, Double> current() {
    return Map.copyOf(current);
  }

  /**
   * Performs one step towards the target.
   *
   * @param target shares of the calls by server, sum 1
   * @param listed servers that are in service; the shares of all others are distributed at once
   *     over the remaining ones
   * @param maxMovedShare share of the calls that may move in this step
   * @return the share that moved, not counting what moved because servers left the list
   */
  public double step(Map<String, Double> target, Set<String> listed, double maxMovedShare) {
    current.keySet().retainAll(listed);
    double remaining = sum(current);
    if (remaining <= 0) {
      current = new TreeMap<>(target);
      return 0; // No server was in use, so no calls were moved away from one.
    }
    current.replaceAll((server, share) -> share / remaining);
    double distance = distanceTo(target);
    double progress = distance <= maxMovedShare ? 1 : maxMovedShare / distance;
    Map<String, Double> next = new TreeMap<>();
    double dropBelow = DROP_SHARE / current.size();
    current.forEach(
        (server, share) -> {
          double newShare = share + progress * (target.getOrDefault(server, 0.0) - share);
          if (target.containsKey(server) || newShare > dropBelow) {
            next.put(server, newShare);
          }
        });
    target.forEach((server, share) -> next.putIfAbsent(server, progress * share));
    double total = sum(next);
    next.replaceAll((server, share) -> share / total);
    current = next;
    return progress * distance;
  }

  /** Share of the calls that goes to different servers than the target says. */
  public double distanceTo(Map<String, Double> target) {
    Map<String, Double> differences = new HashMap<>(target);
    current.forEach((server, share) -> differences.merge(server, -share, Double::sum));
    return differences.values().stream().mapToDouble(each -> Math.max(0, each)).sum();
  }

  private static double sum(Map<String, Double> shares) {
    return shares.values().stream().mapToDouble(share -> share).sum();
  }
}
