package heathswitch.testbed.subsetting;

import heathswitch.testbed.mutants.Mutant;
import heathswitch.testbed.mutants.MutantTrials;
import java.util.List;

/** Faults in the choice of subsets, and whether the schedules find them. */
final class SubsetMutants {
  private static final String PLAN = "heathswitch.policy.subsetting.SubsetPlan";
  private static final String PASSAGE = "heathswitch.policy.subsetting.AssignmentTransition";
  private static final String SUBSET = "heathswitch.policy.subsetting.SubsetSelector";
  private static final String CENSUS = "heathswitch.policy.subsetting.FleetSnapshot";

  static final List<Mutant> ALL =
      List.of(
          new Mutant(PLAN, "private static final int ROUNDS = 40;", "static final int ROUNDS = 1;"),
          new Mutant(PLAN, "if (part > 0) {", "if (part > 0.5 && server.cell() > 0) {"),
          new Mutant(PLAN, "Math.max(rule.users(), 1 <<", "Math.max(1, 1 <<"),
          new Mutant(PLAN, "cells.size() < rule.domains()", "cells.size() < 1"),
          new Mutant(PASSAGE, "    now.keySet().retainAll(listed);\n", ""),
          new Mutant(PASSAGE, "apart <= most ? 1 : most / apart;", "1;"),
          new Mutant(
              PASSAGE,
              "    wanted.forEach((server, part) -> next.putIfAbsent(server, by * part));\n",
              ""),
          new Mutant(PASSAGE, "    next.replaceAll((server, part) -> part / all);\n", ""),
          new Mutant(
              PASSAGE,
              "if (wanted.containsKey(server) || then > least) {",
              "if (wanted.containsKey(server)) {"),
          new Mutant(
              SUBSET,
              "nextNanos = nowNanos + (long) (pace.settleNanos() *",
              "nextNanos = nowNanos + (long) (0.1 * pace.settleNanos() *"),
          new Mutant(
              SUBSET,
              "nowNanos + (long) (pace.stepNanos() * (0.5 +",
              "nowNanos + (long) (pace.stepNanos() * (0.1 +"),
          new Mutant(SUBSET, "!waits && !plan.census().equals(census)", "false"),
          new Mutant(
              CENSUS,
              "servers = servers.stream().sorted(",
              "servers = servers.stream().skip(1).sorted("));

  private SubsetMutants() {}

  static MutantTrials trials() {
    return new MutantTrials(
        List.of("heathswitch.policy.subsetting.", "heathswitch.testbed.subsetting."),
        SubsetMutants.class);
  }

  /** Called in the loader of the copy; what it throws is a fault that shows, too. */
  static boolean shows(long schedules, int depth) {
    try {
      return SubsetExplorer.random(1, schedules * depth).finding() != null;
    } catch (RuntimeException e) {
      return true;
    }
  }
}
