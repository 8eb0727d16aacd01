package heathswitch.testbed.subsetting;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import heathswitch.policy.subsetting.SubsetSizing;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests subsetting in simulated fleets that grow, shrink and are split, in virtual time. */
class FleetSimulationTest {
  private static final SubsetSizing SIZING = new SubsetSizing(16, 2, 2);
  private static final long SECOND = 1000 * FleetSimulation.MILLI;

  /** Lets the fleet settle and checks that it loads all servers evenly. */
  private static void awaitSettled(FleetSimulation fleet) {
    fleet.advance(FleetSimulation.CONVERGENCE_NANOS);
    assertNull(fleet.violation());
    assertNull(fleet.settledViolation());
    assertTrue(fleet.spread() < 1.1, "spread " + fleet.spread());
  }

  /** No server is unused at any time, although the views of the balancers differ meanwhile. */
  @Test
  void growsFromFourToFortyBalancersOneByOneAndBack() {
    FleetSimulation fleet = new FleetSimulation(40, 96, 1, SIZING, 3);
    List<FleetSimulation.Balancer> later = fleet.balancers().subList(4, 40);
    later.forEach(fleet::kill);
    awaitSettled(fleet);
    for (FleetSimulation.Balancer each : later) {
      fleet.start(each);
      fleet.advance(3 * SECOND);
      assertEquals(Set.of(), fleet.uncovered());
    }
    awaitSettled(fleet);
    assertTrue(fleet.pairCount() < 0.4 * 40 * 96, "pairs " + fleet.pairCount());
    for (FleetSimulation.Balancer each : later) {
      fleet.kill(each);
      fleet.advance(5 * SECOND);
    }
    awaitSettled(fleet);
  }

  @Test
  void settlesAfterGrowthAtOnceAndAfterSevenInTenDieAndReturn() {
    FleetSimulation fleet = new FleetSimulation(40, 96, 1, SIZING, 4);
    List<FleetSimulation.Balancer> later = fleet.balancers().subList(4, 40);
    later.forEach(fleet::kill);
    awaitSettled(fleet);
    later.forEach(fleet::start);
    awaitSettled(fleet);
    fleet.balancers().subList(12, 40).forEach(fleet::kill);
    awaitSettled(fleet);
    fleet.balancers().forEach(fleet::start);
    awaitSettled(fleet);
  }

  /**
   * The load moves at once, as when the traffic of a region is redirected; at last one balancer has
   * half of the load.
   */
  @Test
  void settlesAfterTheLoadMovesFromOneZoneToTheOther() {
    FleetSimulation fleet = new FleetSimulation(12, 48, 2, SIZING, 5);
    fleet
        .balancers()
        .forEach(balancer -> fleet.setLoad(balancer, balancer.zone.equals("z0") ? 50 : 10));
    awaitSettled(fleet);
    fleet
        .balancers()
        .forEach(balancer -> fleet.setLoad(balancer, balancer.zone.equals("z0") ? 10 : 50));
    awaitSettled(fleet);
    fleet
        .balancers()
        .forEach(
            balancer -> fleet.setLoad(balancer, balancer == fleet.balancers().get(5) ? 330 : 30));
    awaitSettled(fleet);
  }

  /** Balancers learn late of each split and its end: every server is used all the time. */
  @Test
  void aSplitThatComesAndGoesEverySecondLeavesNoServerUnused() {
    FleetSimulation fleet = new FleetSimulation(12, 48, 1, SIZING, 8);
    awaitSettled(fleet);
    for (int i = 0; i < 30; i++) {
      fleet.split(i % 2 == 0 ? 2 : 1);
      fleet.advance(SECOND);
      assertEquals(Set.of(), fleet.uncovered());
      assertTrue(fleet.spread() < 2, "spread " + fleet.spread());
    }
    fleet.heal();
    awaitSettled(fleet);
  }

  /**
   * Each side distributes its calls over all servers, so that no server gets a double share from
   * several sides.
   */
  @Test
  void twoOrThreeSidesOfASplitLoadAllServersEvenly() {
    for (int parts = 2; parts <= 3; parts++) {
      FleetSimulation fleet = new FleetSimulation(18, 48, 1, SIZING, 9);
      fleet.balancers().forEach(balancer -> fleet.setLoad(balancer, 30));
      awaitSettled(fleet);
      fleet.split(parts);
      fleet.advance(FleetSimulation.CONVERGENCE_NANOS);
      assertNull(fleet.violation());
      assertEquals(Set.of(), fleet.uncovered());
      assertTrue(fleet.spread() < 1.1, parts + " parts: spread " + fleet.spread());
      fleet.heal();
      awaitSettled(fleet);
    }
  }

  @Test
  void settlesWithFewBalancersOrFewServers() {
    awaitSettled(new FleetSimulation(3, 300, 1, SIZING, 6));
    awaitSettled(new FleetSimulation(60, 3, 1, SIZING, 7));
  }
}
