package heathswitch.testbed.maintenance;

import heathswitch.testbed.mutants.Mutant;
import heathswitch.testbed.mutants.MutantTrials;
import java.util.List;

/** Faults in what settles work orders, and whether the schedules find them. */
final class WorkMutants {
  private static final String SETTLED = "heathswitch.policy.maintenance.MaintenanceState";
  private static final String ORDER = "heathswitch.policy.maintenance.Order";
  private static final String PARTICIPANT = "heathswitch.policy.maintenance.InstanceSession";
  private static final String CLOCK = "heathswitch.policy.maintenance.LogClock";
  private static final String PHASE = "heathswitch.policy.maintenance.Phase";

  static final List<Mutant> ALL =
      List.of(
          new Mutant(SETTLED, "if (!instance.fenced && !item.freedBy", "if (!item.freedBy"),
          new Mutant(SETTLED, "&& blockingInstances(item).isEmpty()) {", ") {"),
          new Mutant(
              SETTLED, "away.remove(item.machine.id(), item);", "away.remove(item.machine.id());"),
          new Mutant(
              SETTLED, "rules.leaseMillis() + rules.marginMillis()", "rules.leaseMillis() / 2"),
          new Mutant(SETTLED, "instance.incarnation != join.previousIncarnation()", "false"),
          new Mutant(SETTLED, "if (away.containsKey(item.machine.id())) {", "if (false) {"),
          new Mutant(SETTLED, "if (out >= rules.maxOut()) {", "if (out > rules.maxOut()) {"),
          new Mutant(SETTLED, "if (outInCell >= rules.maxOutInCell()) {", "if (false) {"),
          new Mutant(SETTLED, "seen.weight() - machine.weight() < least", "seen.weight() < least"),
          new Mutant(SETTLED, "boolean unseen = item.phase.held() &&", "boolean unseen = false &&"),
          new Mutant(SETTLED, "|| instance.incarnation != incarnation", ""),
          new Mutant(SETTLED, "    instance.fenced = false;\n", ""),
          new Mutant(
              SETTLED, "        item.grantedIndex = ((Number) fields.get(3)).longValue();\n", ""),
          new Mutant(SETTLED, "          item.freedBy.add((String) name);\n", ""),
          new Mutant(ORDER, "    waiting += to == Phase.WAITING ? 1 : 0;\n", ""),
          new Mutant(ORDER, "    held += to.held() ? 1 : 0;\n", ""),
          new Mutant(
              PARTICIPANT, "state == State.JOINED && leaseUntilNanos - nowNanos > 0", "everJoined"),
          new Mutant(
              PARTICIPANT, "leaseUntilNanos - nowNanos > 0 : everJoined", "true : everJoined"),
          new Mutant(
              PARTICIPANT,
              "long until = sentNanos + lease;",
              "long until = sentNanos + 2 * lease;"),
          new Mutant(PARTICIPANT, "if (stopsWhenCutOff && !idle) {", "if (false) {"),
          new Mutant(PARTICIPANT, "          freed.clear();\n", ""),
          new Mutant(
              PARTICIPANT,
              "boolean idle = !everJoined || stopsWhenCutOff && local.idle();",
              "boolean idle = true;"),
          new Mutant(PARTICIPANT, "      reset(nowNanos); // Fenced.\n", ""),
          new Mutant(PARTICIPANT, "if (local.hasJoined(incarnation)) {", "if (true) {"),
          new Mutant(PARTICIPANT, "      previousIncarnation = result.value();\n", ""),
          new Mutant(PARTICIPANT, "    if (leaveSent) {\n      return false;", "    if (false) {"),
          new Mutant(PARTICIPANT, "if (leaveSent && !leaving) {", "if (false) {"),
          new Mutant(SETTLED, "if (item.machine.instance() != null) {", "if (false) {"),
          new Mutant(SETTLED, "own != null && own.phase == Phase.OUT) {", "false) {"),
          new Mutant(CLOCK, "if (entryTerm != readTerm) {", "if (false) {"),
          new Mutant(
              CLOCK,
              "      termStartMillis = appliedMillis;\n",
              "      termStartMillis = appliedMillis + 5000;\n"),
          new Mutant(PARTICIPANT, "if (local.appliedIndex() < result.value()) {", "if (false) {"),
          new Mutant(
              PARTICIPANT, "renewing && awaitedIndex == 0 && nowNanos", "renewing && nowNanos"),
          new Mutant(SETTLED, "peers > 0 && instances.size() >= peers", "peers > 0"),
          new Mutant(
              SETTLED,
              ".mapToInt(each -> each.latestFormat)\n              .min()",
              ".mapToInt(each -> each.latestFormat)\n              .max()"),
          new Mutant(
              SETTLED,
              "state.formatVersion = (int) CommandCodec.longOrDefault(tree, \"form\", FormatSupport.FIRST);",
              ""),
          new Mutant(
              SETTLED,
              "item.wantedBackMillis = fields.size() > 6 ? ((Number) fields.get(6)).longValue() : 0;",
              ""),
          new Mutant(PHASE, "return this == EMPTYING || this == OUT;", "return this == OUT;"));

  private WorkMutants() {}

  static MutantTrials trials() {
    return new MutantTrials(
        List.of("heathswitch.policy.maintenance.", "heathswitch.testbed.maintenance."),
        WorkMutants.class);
  }

  /** Called in the loader of the copy; what it throws is a fault that shows, too. */
  static boolean detectsFault(long schedules, int depth) {
    try {
      return WorkExplorer.randomSchedules(1, schedules, 200).violation() != null
          || WorkExplorer.eventSequences(depth).violation() != null;
    } catch (RuntimeException e) {
      return true;
    }
  }
}
