package heathswitch.testbed.maintenance;

import heathswitch.testbed.mutants.Mutant;
import heathswitch.testbed.mutants.MutantTrials;
import java.util.List;

/**
 * Mutants of the classes that decide about maintenance orders, to check that the explorer detects
 * faults.
 */
final class WorkMutants {
  private static final String STATE = "heathswitch.policy.maintenance.MaintenanceState";
  private static final String ORDER = "heathswitch.policy.maintenance.Order";
  private static final String SESSION = "heathswitch.policy.maintenance.InstanceSession";
  private static final String CLOCK = "heathswitch.policy.maintenance.LogClock";
  private static final String PHASE = "heathswitch.policy.maintenance.Phase";

  static final List<Mutant> ALL =
      List.of(
          new Mutant(STATE, "if (!instance.fenced && !item.freedBy", "if (!item.freedBy"),
          new Mutant(STATE, "&& blockingInstances(item).isEmpty()) {", ") {"),
          new Mutant(
              STATE, "away.remove(item.machine.id(), item);", "away.remove(item.machine.id());"),
          new Mutant(
              STATE, "rules.leaseMillis() + rules.marginMillis()", "rules.leaseMillis() / 2"),
          new Mutant(STATE, "instance.incarnation != join.previousIncarnation()", "false"),
          new Mutant(STATE, "if (away.containsKey(item.machine.id())) {", "if (false) {"),
          new Mutant(STATE, "if (out >= rules.maxOut()) {", "if (out > rules.maxOut()) {"),
          new Mutant(STATE, "if (outInCell >= rules.maxOutInCell()) {", "if (false) {"),
          new Mutant(STATE, "seen.weight() - machine.weight() < least", "seen.weight() < least"),
          new Mutant(STATE, "boolean unseen = item.phase.held() &&", "boolean unseen = false &&"),
          new Mutant(STATE, "|| instance.incarnation != incarnation", ""),
          new Mutant(STATE, "    instance.fenced = false;\n", ""),
          new Mutant(
              STATE, "        item.grantedIndex = ((Number) fields.get(3)).longValue();\n", ""),
          new Mutant(STATE, "          item.freedBy.add((String) name);\n", ""),
          new Mutant(ORDER, "    waiting += to == Phase.WAITING ? 1 : 0;\n", ""),
          new Mutant(ORDER, "    held += to.held() ? 1 : 0;\n", ""),
          new Mutant(
              SESSION, "state == State.JOINED && leaseUntilNanos - nowNanos > 0", "everJoined"),
          new Mutant(SESSION, "leaseUntilNanos - nowNanos > 0 : everJoined", "true : everJoined"),
          new Mutant(
              SESSION, "long until = sentNanos + lease;", "long until = sentNanos + 2 * lease;"),
          new Mutant(SESSION, "if (stopsWhenCutOff && !idle) {", "if (false) {"),
          new Mutant(SESSION, "          freed.clear();\n", ""),
          new Mutant(
              SESSION,
              "boolean idle = !everJoined || stopsWhenCutOff && local.idle();",
              "boolean idle = true;"),
          new Mutant(SESSION, "      reset(nowNanos); // Fenced.\n", ""),
          new Mutant(SESSION, "if (local.hasJoined(incarnation)) {", "if (true) {"),
          new Mutant(SESSION, "      previousIncarnation = result.value();\n", ""),
          new Mutant(SESSION, "    if (leaveSent) {\n      return false;", "    if (false) {"),
          new Mutant(SESSION, "if (leaveSent && !leaving) {", "if (false) {"),
          new Mutant(STATE, "if (item.machine.instance() != null) {", "if (false) {"),
          new Mutant(STATE, "own != null && own.phase == Phase.OUT) {", "false) {"),
          new Mutant(CLOCK, "if (entryTerm != readTerm) {", "if (false) {"),
          new Mutant(
              CLOCK,
              "      termStartMillis = appliedMillis;\n",
              "      termStartMillis = appliedMillis + 5000;\n"),
          new Mutant(SESSION, "if (local.appliedIndex() < result.value()) {", "if (false) {"),
          new Mutant(SESSION, "renewing && awaitedIndex == 0 && nowNanos", "renewing && nowNanos"),
          new Mutant(STATE, "peers > 0 && instances.size() >= peers", "peers > 0"),
          new Mutant(
              STATE,
              ".mapToInt(each -> each.latestFormat)\n              .min()",
              ".mapToInt(each -> each.latestFormat)\n              .max()"),
          new Mutant(
              STATE,
              "state.formatVersion = (int) CommandCodec.longOrDefault(tree, \"form\", FormatSupport.FIRST);",
              ""),
          new Mutant(
              STATE,
              "item.wantedBackMillis = fields.size() > 6 ? ((Number) fields.get(6)).longValue() : 0;",
              ""),
          new Mutant(PHASE, "return this == EMPTYING || this == OUT;", "return this == OUT;"));

  private WorkMutants() {}

  static MutantTrials trials() {
    return new MutantTrials(
        List.of("heathswitch.policy.maintenance.", "heathswitch.testbed.maintenance."),
        WorkMutants.class);
  }

  /**
   * Runs the explorer on the mutated copy, in its class loader; an exception counts as detection,
   * too.
   */
  static boolean detectsFault(long schedules, int depth) {
    try {
      return WorkExplorer.randomSchedules(1, schedules, 200).violation() != null
          || WorkExplorer.eventSequences(depth).violation() != null;
    } catch (RuntimeException e) {
      return true;
    }
  }
}
