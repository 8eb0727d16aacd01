package heathswitch.testbed.subsetting;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import heathswitch.policy.subsetting.Census;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * What the design note says of the way that was taken, and that the yardsticks fall short of it.
 */
class ComparisonTest {
  private static final Census UNEQUAL = Sample.of(30, 300, true, 3);

  @Test
  void eachServerIsUsedByItsWeightAndNoneIsLeftOut() {
    Comparison.Figures named = Comparison.of(Way.NAMED_SCALED, UNEQUAL, 20);
    assertEquals(0, named.uncovered());
    assertTrue(named.spread() < 1.01, named::toString);
    assertTrue(named.spreadSplit() < 1.01, named::toString);
    assertTrue(named.connections() < 30 * 300 / 10, named::toString);
    Comparison.Figures random = Comparison.of(Way.RANDOM, UNEQUAL, 20);
    assertTrue(random.spread() > 2 && random.uncovered() > 0, random::toString);
  }

  /** Each of the servers of one that leaves names another, and nobody else opens anything. */
  @Test
  void aChangeOfOneMovesLittleMoreThanItMust() {
    double least = 1.0 / UNEQUAL.instances().size();
    Comparison.Figures named = Comparison.of(Way.NAMED_SCALED, UNEQUAL, 20);
    assertTrue(named.openedByLeave() < 1.3 * least, named::toString);
    assertTrue(named.openedByLoss() < 1, named::toString);
    // 1.32; where users are few against servers it is 1.2, see the design note.
    assertTrue(named.movedByLeave() < 1.4 * named.leastByLeave(), named::toString);
    assertTrue(named.movedByLeave() > 0.99 * named.leastByLeave(), named::toString);
    Comparison.Figures aperture = Comparison.of(Way.APERTURE, UNEQUAL, 20);
    assertTrue(aperture.openedByLeave() > 5 * least, aperture::toString);
  }

  @Test
  void weightsOfServersAndALoadOfHalfOfAllAreKept() {
    List<Census.Instance> instances = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      instances.add(Sample.instance("edge-" + i, i == 4 ? 11 : 1));
    }
    List<Census.Server> servers = new ArrayList<>();
    for (int i = 0; i < 48; i++) {
      servers.add(Sample.server("server-" + i, 1 << i % 3));
    }
    Census census = new Census(instances, servers);
    Map<String, Map<String, Double>> plan = Way.NAMED_SCALED.plan(census, 16);
    assertTrue(Comparison.spread(census, plan) < 1.01);
    for (Map<String, Double> row : plan.values()) {
      assertEquals(1, row.values().stream().mapToDouble(part -> part).sum(), 1e-9);
    }
  }

  /** A judge that finds everything even would let any way pass. */
  @Test
  void theJudgeSeesAServerThatGetsTwiceItsDue() {
    Census two = Sample.of(2, 2, false, 1);
    Map<String, Map<String, Double>> both =
        Map.of("edge-1000", Map.of("server-10000", 1.0), "edge-1001", Map.of("server-10000", 1.0));
    assertEquals(2, Comparison.spread(two, both), 1e-9);
  }
}
