package heathswitch.testbed.gossip;

import heathswitch.testbed.mutants.Mutant;
import heathswitch.testbed.mutants.MutantTrials;
import java.util.List;

/** Faults in the gossip, and whether the schedules find them. */
final class PeersMutants {
  private static final String GOSSIP = "heathswitch.policy.gossip.Gossip";
  private static final String WORD = "heathswitch.policy.gossip.PeerRecord";
  private static final String STANDING = "heathswitch.policy.gossip.PeerStatus";

  static final List<Mutant> ALL =
      List.of(
          new Mutant(WORD, "return incarnation > other.incarnation;", "return true;"),
          new Mutant(WORD, ": standing.compareTo(other.standing) > 0", ": true"),
          new Mutant(STANDING, "return this == ALIVE || this == SUSPECT;", "return this != LEFT;"),
          new Mutant(GOSSIP, "word.incarnation() + 1,", "word.incarnation(),"),
          new Mutant(GOSSIP, "|| word.process() != self.process();", ";"),
          new Mutant(
              GOSSIP,
              "boolean elsewhere = !word.address()",
              "boolean elsewhere = true || !word.address()"),
          new Mutant(GOSSIP, "doubled |= word.process() > self.process();", "doubled |= false;"),
          new Mutant(
              GOSSIP,
              "if (doubled || word.incarnation() < self.incarnation()) {",
              "if (!word.name().isEmpty()) {"),
          new Mutant(GOSSIP, "if (doubled && nowNanos - doubledNanos >", "if (nowNanos <"),
          new Mutant(GOSSIP, "each.sinceNanos += slept + pace.periodNanos();", ""),
          new Mutant(GOSSIP, "    probe = null;\n    relayed.clear();\n", "    relayed.clear();\n"),
          new Mutant(
              GOSSIP,
              "for (Held each : some(pace.relays(), probe.name)) {",
              "for (Held each : some(0, probe.name)) {"),
          new Mutant(
              GOSSIP,
              "      wire.send(asked.to(), new Message.Ack(asked.number(), news(null)));\n",
              ""),
          new Mutant(
              GOSSIP, "if (ping.name().equals(self.name())) {", "if (!ping.name().isEmpty()) {"),
          new Mutant(GOSSIP, "        absent.add(each.word.address());\n", ""),
          new Mutant(GOSSIP, "if (age > each.spanNanos) {", "if (age > each.spanNanos / 50) {"),
          new Mutant(GOSSIP, "if (age > each.spanNanos) {", "if (false) {"),
          new Mutant(GOSSIP, "    if (differs || sync.wanted()) {", "    if (sync.wanted()) {"));

  /** Such as thousands of schedules show and not hundreds: too long for every build. */
  static final List<Mutant> SELDOM =
      List.of(
          new Mutant(WORD, "return process != other.process", "return false"),
          new Mutant(GOSSIP, "doubled |= word.process() > self.process();", "doubled = true;"),
          new Mutant(GOSSIP, "    if (doubled) {", "    if (doubled && other) {"));

  private PeersMutants() {}

  static MutantTrials trials() {
    return new MutantTrials(
        List.of("heathswitch.policy.gossip.", "heathswitch.testbed.gossip."), PeersMutants.class);
  }

  /** Called in the loader of the copy; what it throws is a fault that shows, too. */
  static boolean shows(long schedules, int depth) {
    try {
      return PeersExplorer.random(1, schedules * depth) != null;
    } catch (RuntimeException e) {
      return true;
    }
  }
}
