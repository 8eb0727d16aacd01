package heathswitch.testbed.subsetting;

import heathswitch.testbed.mutants.Mutant;
import heathswitch.testbed.mutants.MutantTrials;
import java.util.List;

/** Mutants of the subset selection; the schedules of {@link SubsetExplorer} must detect each. */
final class SubsetMutants {
  private static final String PLAN = "heathswitch.policy.subsetting.SubsetPlan";
  private static final String TRANSITION = "heathswitch.policy.subsetting.AssignmentTransition";
  private static final String SELECTOR = "heathswitch.policy.subsetting.SubsetSelector";
  private static final String SNAPSHOT = "heathswitch.policy.subsetting.FleetSnapshot";

  static final List<Mutant> ALL =
      List.of(
          new Mutant(
              PLAN,
              "private static final int SCALING_ROUNDS = 40;",
              "static final int SCALING_ROUNDS = 1;"),
          new Mutant(PLAN, "if (zoneShare > 0) {", "if (zoneShare > 0.5 && server.cell() > 0) {"),
          new Mutant(PLAN, "Math.max(sizing.minUsers(), 1 <<", "Math.max(1, 1 <<"),
          new Mutant(PLAN, "cells.size() < sizing.minCells()", "cells.size() < 1"),
          new Mutant(TRANSITION, "    current.keySet().retainAll(listed);\n", ""),
          new Mutant(TRANSITION, "distance <= maxMovedShare ? 1 : maxMovedShare / distance;", "1;"),
          new Mutant(
              TRANSITION,
              "    target.forEach((server, share) -> next.putIfAbsent(server, progress * share));\n",
              ""),
          new Mutant(TRANSITION, "    next.replaceAll((server, share) -> share / total);\n", ""),
          new Mutant(
              TRANSITION,
              "if (target.containsKey(server) || newShare > dropBelow) {",
              "if (target.containsKey(server)) {"),
          new Mutant(
              SELECTOR,
              "nextStepNanos = nowNanos + (long) (pace.settleNanos() *",
              "nextStepNanos = nowNanos + (long) (0.1 * pace.settleNanos() *"),
          new Mutant(
              SELECTOR,
              "nowNanos + (long) (pace.stepNanos() * (0.5 +",
              "nowNanos + (long) (pace.stepNanos() * (0.1 +"),
          new Mutant(SELECTOR, "!keepsPlan && !plan.snapshot().equals(snapshot)", "false"),
          new Mutant(
              SNAPSHOT,
              "servers = servers.stream().sorted(",
              "servers = servers.stream().skip(1).sorted("));

  private SubsetMutants() {}

  static MutantTrials trials() {
    return new MutantTrials(
        List.of("heathswitch.policy.subsetting.", "heathswitch.testbed.subsetting."),
        SubsetMutants.class);
  }

  /**
   * Whether the schedules detect a fault; called by reflection in the class loader of the mutant.
   * An exception counts as detection, too.
   */
  static boolean detectsFault(long schedules, int depth) {
    try {
      return SubsetExplorer.runSchedules(1, schedules * depth).finding() != null;
    } catch (RuntimeException e) {
      return true;
    }
  }
}
