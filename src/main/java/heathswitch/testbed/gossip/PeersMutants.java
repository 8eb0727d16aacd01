package heathswitch.testbed.gossip;

import heathswitch.testbed.mutants.Mutant;
import heathswitch.testbed.mutants.MutantTrials;
import java.util.List;

/** Mutants of the gossip, which test whether {@link PeersExplorer} detects faults. */
final class PeersMutants {
  private static final String GOSSIP = "heathswitch.policy.gossip.Gossip";
  private static final String RECORD = "heathswitch.policy.gossip.PeerRecord";
  private static final String STATUS = "heathswitch.policy.gossip.PeerStatus";

  static final List<Mutant> ALL =
      List.of(
          new Mutant(RECORD, "return incarnation > other.incarnation;", "return true;"),
          new Mutant(RECORD, ": status.compareTo(other.status) > 0", ": true"),
          new Mutant(STATUS, "return this == ALIVE || this == SUSPECT;", "return this != LEFT;"),
          new Mutant(GOSSIP, "update.incarnation() + 1,", "update.incarnation(),"),
          new Mutant(GOSSIP, "|| update.processNonce() != self.processNonce();", ";"),
          new Mutant(
              GOSSIP,
              "boolean elsewhere = !update.address()",
              "boolean elsewhere = true || !update.address()"),
          new Mutant(
              GOSSIP,
              "nameConflict |= update.processNonce() > self.processNonce();",
              "nameConflict |= false;"),
          new Mutant(
              GOSSIP,
              "if (nameConflict || update.incarnation() < self.incarnation()) {",
              "if (!update.name().isEmpty()) {"),
          new Mutant(
              GOSSIP,
              "if (nameConflict\n        && nowNanos - nameConflictNanos >",
              "if (nowNanos <"),
          new Mutant(GOSSIP, "each.statusSinceNanos += elapsed + timing.probePeriodNanos();", ""),
          new Mutant(
              GOSSIP,
              "    pendingProbe = null;\n    relayedProbes.clear();\n",
              "    relayedProbes.clear();\n"),
          new Mutant(
              GOSSIP,
              "for (Peer each : randomAlivePeers(timing.indirectProbes(), pendingProbe.name)) {",
              "for (Peer each : randomAlivePeers(0, pendingProbe.name)) {"),
          new Mutant(
              GOSSIP,
              "      transport.send(relayed.requester(), new Message.Ack(relayed.number(),"
                  + " selectUpdates(null)));\n",
              ""),
          new Mutant(
              GOSSIP, "if (ping.name().equals(self.name())) {", "if (!ping.name().isEmpty()) {"),
          new Mutant(GOSSIP, "        absent.add(each.record.address());\n", ""),
          new Mutant(
              GOSSIP,
              "if (age > each.suspicionTimeoutNanos) {",
              "if (age > each.suspicionTimeoutNanos / 50) {"),
          new Mutant(GOSSIP, "if (age > each.suspicionTimeoutNanos) {", "if (false) {"),
          new Mutant(
              GOSSIP, "    if (differs || sync.stateWanted()) {", "    if (sync.stateWanted()) {"));

  /** Mutants that thousands of schedules detect, but not hundreds: too slow for every build. */
  static final List<Mutant> RARE =
      List.of(
          new Mutant(RECORD, "return processNonce != other.processNonce", "return false"),
          new Mutant(
              GOSSIP,
              "nameConflict |= update.processNonce() > self.processNonce();",
              "nameConflict = true;"),
          new Mutant(GOSSIP, "    if (nameConflict) {", "    if (nameConflict && refute) {"));

  private PeersMutants() {}

  static MutantTrials trials() {
    return new MutantTrials(
        List.of("heathswitch.policy.gossip.", "heathswitch.testbed.gossip."), PeersMutants.class);
  }

  /** Called in the class loader of the mutant; an exception counts as a detected fault, too. */
  static boolean detectsFault(long schedules, int depth) {
    try {
      return PeersExplorer.runSchedules(1, schedules * depth) != null;
    } catch (RuntimeException e) {
      return true;
    }
  }
}
