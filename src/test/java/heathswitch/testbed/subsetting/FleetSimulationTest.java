package heathswitch.testbed.subsetting;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import heathswitch.policy.subsetting.SubsetSizing;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Fleets that grow and shrink, in virtual time. */
class FleetSimulationTest {
  private static final SubsetSizing RULE = new SubsetSizing(16, 2, 2);
  private static final long SECOND = 1000 * FleetSimulation.MILLI;

  private static void calm(FleetSimulation world) {
    world.pass(FleetSimulation.CALM_NANOS);
    assertNull(world.broken());
    assertNull(world.unsettled());
    assertTrue(world.spread() < 1.1, "spread " + world.spread());
  }

  /** No server is left out on the way, whoever has heard of whom. */
  @Test
  void fourGrowToFortyOneByOneAndBack() {
    FleetSimulation world = new FleetSimulation(40, 96, 1, RULE, 3);
    List<FleetSimulation.Node> later = world.nodes().subList(4, 40);
    later.forEach(world::kill);
    calm(world);
    for (FleetSimulation.Node each : later) {
      world.start(each);
      world.pass(3 * SECOND);
      assertEquals(Set.of(), world.uncovered());
    }
    calm(world);
    assertTrue(world.pairs() < 0.4 * 40 * 96, "pairs " + world.pairs());
    for (FleetSimulation.Node each : later) {
      world.kill(each);
      world.pass(5 * SECOND);
    }
    calm(world);
  }

  @Test
  void fourGrowToFortyAtOnceAndSevenInTenDieAndComeBack() {
    FleetSimulation world = new FleetSimulation(40, 96, 1, RULE, 4);
    List<FleetSimulation.Node> later = world.nodes().subList(4, 40);
    later.forEach(world::kill);
    calm(world);
    later.forEach(world::start);
    calm(world);
    world.nodes().subList(12, 40).forEach(world::kill);
    calm(world);
    world.nodes().forEach(world::start);
    calm(world);
  }

  /** Within a second, as when a region is led elsewhere; and one with half of all. */
  @Test
  void loadsMoveFromOneZoneToTheOther() {
    FleetSimulation world = new FleetSimulation(12, 48, 2, RULE, 5);
    world.nodes().forEach(node -> world.load(node, node.zone.equals("z0") ? 50 : 10));
    calm(world);
    world.nodes().forEach(node -> world.load(node, node.zone.equals("z0") ? 10 : 50));
    calm(world);
    world.nodes().forEach(node -> world.load(node, node == world.nodes().get(5) ? 330 : 30));
    calm(world);
  }

  /** Both halves and the whole in turn, news of each late: every server has a user all the time. */
  @Test
  void aSplitThatHealsAndBreaksEverySecondLeavesNoServerOut() {
    FleetSimulation world = new FleetSimulation(12, 48, 1, RULE, 8);
    calm(world);
    for (int i = 0; i < 30; i++) {
      world.split(i % 2 == 0 ? 2 : 1);
      world.pass(SECOND);
      assertEquals(Set.of(), world.uncovered());
      assertTrue(world.spread() < 2, "spread " + world.spread());
    }
    world.heal();
    calm(world);
  }

  /**
   * Either side spreads what it has over all servers, so that neither doubles what the other does.
   */
  @Test
  void twoAndThreePartsOfAFleetUseAllServersEvenly() {
    for (int parts = 2; parts <= 3; parts++) {
      FleetSimulation world = new FleetSimulation(18, 48, 1, RULE, 9);
      world.nodes().forEach(node -> world.load(node, 30));
      calm(world);
      world.split(parts);
      world.pass(FleetSimulation.CALM_NANOS);
      assertNull(world.broken());
      assertEquals(Set.of(), world.uncovered());
      assertTrue(world.spread() < 1.1, parts + " parts: spread " + world.spread());
      world.heal();
      calm(world);
    }
  }

  @Test
  void threeBeforeManyAndManyBeforeThree() {
    calm(new FleetSimulation(3, 300, 1, RULE, 6));
    calm(new FleetSimulation(60, 3, 1, RULE, 7));
  }
}
