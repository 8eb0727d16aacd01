package heathswitch.testbed.subsetting;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import heathswitch.policy.subsetting.FleetSnapshot;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Tests the properties that {@code docs/design/subsets.md} states for the strategy in use, and that
 * the baselines it is compared with lack them.
 */
class StrategyComparisonTest {
  private static final FleetSnapshot UNEQUAL_LOADS = SampleFleets.create(30, 300, true, 3);

  @Test
  void loadsServersByTheirWeightAndLeavesNoneUnused() {
    StrategyComparison.Result named =
        StrategyComparison.measure(SubsettingStrategy.NAMED_SCALED, UNEQUAL_LOADS, 20);
    assertEquals(0, named.uncovered());
    assertTrue(named.spread() < 1.01, named::toString);
    assertTrue(named.spreadSplit() < 1.01, named::toString);
    assertTrue(named.connections() < 30 * 300 / 10, named::toString);
    StrategyComparison.Result random =
        StrategyComparison.measure(SubsettingStrategy.RANDOM, UNEQUAL_LOADS, 20);
    assertTrue(random.spread() > 2 && random.uncovered() > 0, random::toString);
  }

  /** Each server of a balancer that leaves selects another one; no other connections are opened. */
  @Test
  void aChangeOfOneMovesLittleMoreThanTheMinimum() {
    double minimum = 1.0 / UNEQUAL_LOADS.instances().size();
    StrategyComparison.Result named =
        StrategyComparison.measure(SubsettingStrategy.NAMED_SCALED, UNEQUAL_LOADS, 20);
    assertTrue(named.openedByLeave() < 1.3 * minimum, named::toString);
    assertTrue(named.openedByLoss() < 1, named::toString);
    // Measured: 1.32; 1.2 where balancers are few compared to servers, see docs/design/subsets.md.
    assertTrue(named.movedByLeave() < 1.4 * named.minMovedByLeave(), named::toString);
    assertTrue(named.movedByLeave() > 0.99 * named.minMovedByLeave(), named::toString);
    StrategyComparison.Result aperture =
        StrategyComparison.measure(SubsettingStrategy.APERTURE, UNEQUAL_LOADS, 20);
    assertTrue(aperture.openedByLeave() > 5 * minimum, aperture::toString);
  }

  @Test
  void loadsServersByWeightWhenOneBalancerHasHalfOfTheLoad() {
    List<FleetSnapshot.Instance> instances = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      instances.add(SampleFleets.instance("edge-" + i, i == 4 ? 11 : 1));
    }
    List<FleetSnapshot.Server> servers = new ArrayList<>();
    for (int i = 0; i < 48; i++) {
      servers.add(SampleFleets.server("server-" + i, 1 << i % 3));
    }
    FleetSnapshot snapshot = new FleetSnapshot(instances, servers);
    Map<String, Map<String, Double>> plan = SubsettingStrategy.NAMED_SCALED.plan(snapshot, 16);
    assertTrue(StrategyComparison.spread(snapshot, plan) < 1.01);
    for (Map<String, Double> row : plan.values()) {
      assertEquals(1, row.values().stream().mapToDouble(share -> share).sum(), 1e-9);
    }
  }

  /** Checks the checker: if it found every plan even, any strategy would pass. */
  @Test
  void spreadIsTwoForAServerThatGetsTwiceItsFairShare() {
    FleetSnapshot snapshot = SampleFleets.create(2, 2, false, 1);
    Map<String, Map<String, Double>> plan =
        Map.of("edge-1000", Map.of("server-10000", 1.0), "edge-1001", Map.of("server-10000", 1.0));
    assertEquals(2, StrategyComparison.spread(snapshot, plan), 1e-9);
  }
}
