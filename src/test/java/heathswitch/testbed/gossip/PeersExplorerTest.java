package heathswitch.testbed.gossip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import heathswitch.testbed.mutants.Mutant;
import heathswitch.testbed.mutants.MutantTrials;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Who is there, by gossip: the real module among many instances in virtual time. */
class PeersExplorerTest {
  private static final long MINUTE = 60_000 * GossipSimulation.MILLI;

  @Test
  void noScheduleOfFaultsBreaksAProperty() {
    assertNull(PeersExplorer.random(1, 2000));
  }

  /** The checker itself: faults put into copies are found, a copy without one is not. */
  @Test
  void everyFaultIsFound() {
    MutantTrials trials = PeersMutants.trials();
    assertEquals(List.of(), trials.undetected(PeersMutants.ALL));
    Mutant none =
        new Mutant(
            "heathswitch.policy.gossip.Gossip", "private int slowness;", "private int slowness ;");
    assertFalse(trials.isDetected(none, 300, 1));
  }

  @Test
  void thirtyThatStartInOneSecondKnowEachOtherInAFewMore() {
    GossipSimulation colony = new GossipSimulation(30, 5);
    colony.nodes().forEach(colony::start);
    long millis = colony.untilAgreed(MINUTE) / GossipSimulation.MILLI;
    assertTrue(millis >= 0 && millis < 10_000, "took " + millis + " ms");
  }

  /** What a member sends must not grow with the fleet. */
  @Test
  void aHundredSendNoMoreEachThanTenDo() {
    double[] perSecond = new double[2];
    int[] sizes = {10, 100};
    for (int i = 0; i < sizes.length; i++) {
      GossipSimulation colony = new GossipSimulation(sizes[i], 7);
      colony.nodes().forEach(colony::start);
      assertTrue(colony.untilSettled(2 * MINUTE) >= 0, colony::disagreement);
      colony.pass(MINUTE / 6);
      perSecond[i] = colony.messagesPerSecond(MINUTE / 2);
    }
    assertTrue(perSecond[1] < 1.2 * perSecond[0], perSecond[0] + " and " + perSecond[1]);
  }

  /** Seven in ten die in one moment and are started again. */
  @Test
  void mostOfAFleetDiesAndComesBack() {
    GossipSimulation colony = new GossipSimulation(20, 9);
    colony.nodes().forEach(colony::start);
    assertTrue(colony.untilSettled(2 * MINUTE) >= 0, colony::disagreement);
    colony.nodes().subList(3, 17).forEach(colony::kill);
    assertTrue(colony.untilSettled(3 * MINUTE) >= 0, colony::disagreement);
    colony.nodes().subList(3, 17).forEach(colony::start);
    assertTrue(colony.untilSettled(2 * MINUTE) >= 0, colony::disagreement);
  }

  /** Cut in two for long enough that each side holds the other for dead; then it heals. */
  @Test
  void twoHalvesFindEachOtherAgain() {
    GossipSimulation colony = new GossipSimulation(8, 11);
    colony.nodes().forEach(colony::start);
    assertTrue(colony.untilSettled(2 * MINUTE) >= 0, colony::disagreement);
    for (GossipSimulation.Node one : colony.nodes().subList(0, 4)) {
      for (GossipSimulation.Node other : colony.nodes().subList(4, 8)) {
        colony.cut(one, other, true);
        colony.cut(other, one, true);
      }
    }
    colony.pass(2 * MINUTE);
    assertEquals(4, colony.nodes().get(0).gossip.presentPeers().size());
    assertEquals(4, colony.nodes().get(7).gossip.presentPeers().size());
    colony.heal();
    assertTrue(colony.untilSettled(2 * MINUTE) >= 0, colony::disagreement);
  }
}
