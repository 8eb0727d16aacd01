package heathswitch.testbed.maintenance;

import heathswitch.testbed.mutants.Mutant;
import heathswitch.testbed.mutants.Trials;
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
          new Mutant(SETTLED, "if (!instance.fenced && !place.freed", "if (!place.freed"),
          new Mutant(SETTLED, "&& waitsFor(place).isEmpty()) {", ") {"),
          new Mutant(
              SETTLED,
              "away.remove(place.machine.id(), place);",
              "away.remove(place.machine.id());"),
          new Mutant(
              SETTLED, "rules.leaseMillis() + rules.marginMillis()", "rules.leaseMillis() / 2"),
          new Mutant(SETTLED, "instance.incarnation != join.before()", "false"),
          new Mutant(SETTLED, "if (away.containsKey(place.machine.id())) {", "if (false) {"),
          new Mutant(SETTLED, "if (out >= rules.maxOut()) {", "if (out > rules.maxOut()) {"),
          new Mutant(SETTLED, "if (outInCell >= rules.maxOutInCell()) {", "if (false) {"),
          new Mutant(
              SETTLED, "worth.weight() - machine.weight() < least", "worth.weight() < least"),
          new Mutant(
              SETTLED, "boolean unseen = place.phase.held() &&", "boolean unseen = false &&"),
          new Mutant(SETTLED, "|| instance.incarnation != incarnation", ""),
          new Mutant(SETTLED, "    instance.fenced = false;\n", ""),
          new Mutant(
              SETTLED, "        place.grantedIndex = ((Number) fields.get(3)).longValue();\n", ""),
          new Mutant(SETTLED, "          place.freed.add((String) name);\n", ""),
          new Mutant(ORDER, "    waiting += to == Phase.WAITING ? 1 : 0;\n", ""),
          new Mutant(ORDER, "    held += to.held() ? 1 : 0;\n", ""),
          new Mutant(
              PARTICIPANT, "state == State.INSIDE && leaseUntilNanos - nowNanos > 0", "everInside"),
          new Mutant(
              PARTICIPANT, "leaseUntilNanos - nowNanos > 0 : everInside", "true : everInside"),
          new Mutant(
              PARTICIPANT,
              "long until = sentNanos + lease;",
              "long until = sentNanos + 2 * lease;"),
          new Mutant(PARTICIPANT, "if (stops && !idle) {", "if (false) {"),
          new Mutant(PARTICIPANT, "          told.clear();\n", ""),
          new Mutant(
              PARTICIPANT,
              "boolean idle = !everInside || stops && here.idle();",
              "boolean idle = true;"),
          new Mutant(PARTICIPANT, "      outside(nowNanos); // Fenced.\n", ""),
          new Mutant(PARTICIPANT, "if (here.hasJoined(incarnation)) {", "if (true) {"),
          new Mutant(PARTICIPANT, "      before = reply.value();\n", ""),
          new Mutant(PARTICIPANT, "    if (saidLeave) {\n      return false;", "    if (false) {"),
          new Mutant(PARTICIPANT, "if (saidLeave && !leaving) {", "if (false) {"),
          new Mutant(SETTLED, "if (place.machine.instance() != null) {", "if (false) {"),
          new Mutant(SETTLED, "own != null && own.phase == Phase.OUT) {", "false) {"),
          new Mutant(CLOCK, "if (entryTerm != readTerm) {", "if (false) {"),
          new Mutant(
              CLOCK,
              "      fromMillis = takenMillis;\n",
              "      fromMillis = takenMillis + 5000;\n"),
          new Mutant(PARTICIPANT, "if (here.appliedIndex() < reply.value()) {", "if (false) {"),
          new Mutant(PARTICIPANT, "renewing && awaited == 0 && nowNanos", "renewing && nowNanos"),
          new Mutant(SETTLED, "peers > 0 && instances.size() >= peers", "peers > 0"),
          new Mutant(
              SETTLED, "mapToInt(each -> each.knows).min()", "mapToInt(each -> each.knows).max()"),
          new Mutant(
              SETTLED,
              "settled.form = (int) CommandCodec.longOrDefault(tree, \"form\", FormatSupport.FIRST);",
              ""),
          new Mutant(
              SETTLED,
              "place.wantedMillis = fields.size() > 6 ? ((Number) fields.get(6)).longValue() : 0;",
              ""),
          new Mutant(PHASE, "return this == EMPTYING || this == OUT;", "return this == OUT;"));

  private WorkMutants() {}

  static Trials trials() {
    return new Trials(
        List.of("heathswitch.policy.maintenance.", "heathswitch.testbed.maintenance."),
        WorkMutants.class);
  }

  /** Called in the loader of the copy; what it throws is a fault that shows, too. */
  static boolean shows(long schedules, int depth) {
    try {
      return WorkExplorer.random(1, schedules, 200).finding() != null
          || WorkExplorer.orders(depth).finding() != null;
    } catch (RuntimeException e) {
      return true;
    }
  }
}
