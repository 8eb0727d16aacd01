package heathswitch.policy.subsetting;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The way from what a balancer uses to what it is to use: only a part of its calls goes elsewhere
 * in one step, to new servers from the first step on, and an old one is left when nothing goes
 * there any more.
 */
public final class AssignmentTransition {
  /** Servers that are not wanted any more are left when so little goes to all of them together. */
  private static final double LEAST_PART = 0.02;

  private Map<String, Double> now = new TreeMap<>();

  /** Which part of the calls goes to each server; empty before the first step. */
  public Map<String, Double> now() {
    return Map.copyOf(now);
  }

  /**
   * Goes a step.
   *
   * @param wanted parts of the calls, together 1
   * @param listed servers that are in service: what goes to others goes to the rest at once
   * @param most the part of the calls that may go elsewhere in this step
   * @return the part that does, beside what was lost with servers
   */
  public double step(Map<String, Double> wanted, Set<String> listed, double most) {
    now.keySet().retainAll(listed);
    double left = sum(now);
    if (left <= 0) {
      now = new TreeMap<>(wanted);
      return 0; // Nothing is used: there is nothing to be left either.
    }
    now.replaceAll((server, part) -> part / left);
    double apart = apart(wanted);
    double by = apart <= most ? 1 : most / apart;
    Map<String, Double> next = new TreeMap<>();
    double least = LEAST_PART / now.size();
    now.forEach(
        (server, part) -> {
          double then = part + by * (wanted.getOrDefault(server, 0.0) - part);
          if (wanted.containsKey(server) || then > least) {
            next.put(server, then);
          }
        });
    wanted.forEach((server, part) -> next.putIfAbsent(server, by * part));
    double all = sum(next);
    next.replaceAll((server, part) -> part / all);
    now = next;
    return by * apart;
  }

  /** The part of the calls that goes elsewhere than is wanted. */
  public double apart(Map<String, Double> wanted) {
    Map<String, Double> both = new HashMap<>(wanted);
    now.forEach((server, part) -> both.merge(server, -part, Double::sum));
    return both.values().stream().mapToDouble(part -> Math.max(0, part)).sum();
  }

  private static double sum(Map<String, Double> parts) {
    return parts.values().stream().mapToDouble(part -> part).sum();
  }
}
