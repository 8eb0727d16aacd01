package heathswitch.testbed.gossip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import heathswitch.testbed.mutants.Mutant;
import heathswitch.testbed.mutants.MutantTrials;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the membership protocol with many simulated instances in virtual time. */
class PeersExplorerTest {
  private static final long MINUTE = 60_000 * GossipSimulation.MILLI;

  @Test
  void noScheduleOfFaultsViolatesAnInvariant() {
    assertNull(PeersExplorer.runSchedules(1, 2000));
  }

  /** Tests the checker itself: mutants are detected, an equivalent copy is not. */
  @Test
  void everyMutantIsDetected() {
    MutantTrials trials = PeersMutants.trials();
    assertEquals(List.of(), trials.undetected(PeersMutants.ALL));
    Mutant equivalent =
        new Mutant(
            "heathswitch.policy.gossip.Gossip", "private int slowness;", "private int slowness ;");
    assertFalse(trials.isDetected(equivalent, 300, 1));
  }

  @Test
  void thirtyInstancesStartedWithinOneSecondAgreeWithinTenSeconds() {
    GossipSimulation simulation = new GossipSimulation(30, 5);
    simulation.nodes().forEach(simulation::start);
    long millis = simulation.untilAgreed(MINUTE) / GossipSimulation.MILLI;
    assertTrue(millis >= 0 && millis < 10_000, "took " + millis + " ms");
  }

  /** The traffic of one member must not grow with the size of the fleet. */
  @Test
  void trafficPerMemberDoesNotGrowFromTenToAHundredMembers() {
    double[] perSecond = new double[2];
    int[] sizes = {10, 100};
    for (int i = 0; i < sizes.length; i++) {
      GossipSimulation simulation = new GossipSimulation(sizes[i], 7);
      simulation.nodes().forEach(simulation::start);
      assertTrue(simulation.untilSettled(2 * MINUTE) >= 0, simulation::disagreement);
      simulation.advance(MINUTE / 6);
      perSecond[i] = simulation.messagesPerSecond(MINUTE / 2);
    }
    assertTrue(perSecond[1] < 1.2 * perSecond[0], perSecond[0] + " and " + perSecond[1]);
  }

  /** Seven of ten instances are killed at once and started again. */
  @Test
  void fleetRecoversWhenMostInstancesAreKilledAndRestarted() {
    GossipSimulation simulation = new GossipSimulation(20, 9);
    simulation.nodes().forEach(simulation::start);
    assertTrue(simulation.untilSettled(2 * MINUTE) >= 0, simulation::disagreement);
    simulation.nodes().subList(3, 17).forEach(simulation::kill);
    assertTrue(simulation.untilSettled(3 * MINUTE) >= 0, simulation::disagreement);
    simulation.nodes().subList(3, 17).forEach(simulation::start);
    assertTrue(simulation.untilSettled(2 * MINUTE) >= 0, simulation::disagreement);
  }

  /** A partition lasts until each side considers the other one dead; then it heals. */
  @Test
  void partitionedHalvesMergeAgain() {
    GossipSimulation simulation = new GossipSimulation(8, 11);
    simulation.nodes().forEach(simulation::start);
    assertTrue(simulation.untilSettled(2 * MINUTE) >= 0, simulation::disagreement);
    for (GossipSimulation.Node one : simulation.nodes().subList(0, 4)) {
      for (GossipSimulation.Node other : simulation.nodes().subList(4, 8)) {
        simulation.setCut(one, other, true);
        simulation.setCut(other, one, true);
      }
    }
    simulation.advance(2 * MINUTE);
    assertEquals(4, simulation.nodes().get(0).gossip.presentPeers().size());
    assertEquals(4, simulation.nodes().get(7).gossip.presentPeers().size());
    simulation.heal();
    assertTrue(simulation.untilSettled(2 * MINUTE) >= 0, simulation::disagreement);
  }
}
