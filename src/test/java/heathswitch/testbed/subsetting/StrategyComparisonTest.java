package heathswitch.testbed.subsetting;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import heathswitch.policy.subsetting.FleetSnapshot;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * What the design note says of the way that was taken, and that the yardsticks fall short of it.
 */
class StrategyComparisonTest {
  private static final FleetSnapshot UNEQUAL = SampleFleets.of(30, 300, true, 3);

  @Test
  void eachServerIsUsedByItsWeightAndNoneIsLeftOut() {
    StrategyComparison.Figures named =
        StrategyComparison.of(SubsettingStrategy.NAMED_SCALED, UNEQUAL, 20);
    assertEquals(0, named.uncovered());
    assertTrue(named.spread() < 1.01, named::toString);
    assertTrue(named.spreadSplit() < 1.01, named::toString);
    assertTrue(named.connections() < 30 * 300 / 10, named::toString);
    StrategyComparison.Figures random =
        StrategyComparison.of(SubsettingStrategy.RANDOM, UNEQUAL, 20);
    assertTrue(random.spread() > 2 && random.uncovered() > 0, random::toString);
  }

  /** Each of the servers of one that leaves names another, and nobody else opens anything. */
  @Test
  void aChangeOfOneMovesLittleMoreThanItMust() {
    double least = 1.0 / UNEQUAL.instances().size();
    StrategyComparison.Figures named =
        StrategyComparison.of(SubsettingStrategy.NAMED_SCALED, UNEQUAL, 20);
    assertTrue(named.openedByLeave() < 1.3 * least, named::toString);
    assertTrue(named.openedByLoss() < 1, named::toString);
    // 1.32; where users are few against servers it is 1.2, see the design note.
    assertTrue(named.movedByLeave() < 1.4 * named.leastByLeave(), named::toString);
    assertTrue(named.movedByLeave() > 0.99 * named.leastByLeave(), named::toString);
    StrategyComparison.Figures aperture =
        StrategyComparison.of(SubsettingStrategy.APERTURE, UNEQUAL, 20);
    assertTrue(aperture.openedByLeave() > 5 * least, aperture::toString);
  }

  @Test
  void weightsOfServersAndALoadOfHalfOfAllAreKept() {
    List<FleetSnapshot.Instance> instances = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      instances.add(SampleFleets.instance("edge-" + i, i == 4 ? 11 : 1));
    }
    List<FleetSnapshot.Server> servers = new ArrayList<>();
    for (int i = 0; i < 48; i++) {
      servers.add(SampleFleets.server("server-" + i, 1 << i % 3));
    }
    FleetSnapshot census = new FleetSnapshot(instances, servers);
    Map<String, Map<String, Double>> plan = SubsettingStrategy.NAMED_SCALED.plan(census, 16);
    assertTrue(StrategyComparison.spread(census, plan) < 1.01);
    for (Map<String, Double> row : plan.values()) {
      assertEquals(1, row.values().stream().mapToDouble(part -> part).sum(), 1e-9);
    }
  }

  /** A judge that finds everything even would let any way pass. */
  @Test
  void theJudgeSeesAServerThatGetsTwiceItsDue() {
    FleetSnapshot two = SampleFleets.of(2, 2, false, 1);
    Map<String, Map<String, Double>> both =
        Map.of("edge-1000", Map.of("server-10000", 1.0), "edge-1001", Map.of("server-10000", 1.0));
    assertEquals(2, StrategyComparison.spread(two, both), 1e-9);
  }
}
