package heathswitch.policy.subsetting;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** Tests how one balancer follows its plan in steps. */
class SubsetSelectorTest {
  private static final long MILLI = 1_000_000L;
  private static final SubsetSelector.Pace PACE =
      new SubsetSelector.Pace(1000 * MILLI, 100 * MILLI, 0.1, 20);

  private final SubsetSelector selector =
      new SubsetSelector("edge-0", new SubsetSizing(4, 2, 2), PACE, 1);
  private long now = 77_000 * MILLI;

  private static FleetSnapshot snapshot(int instanceCount, int serverCount) {
    List<FleetSnapshot.Instance> instances = new ArrayList<>();
    for (int i = 0; i < instanceCount; i++) {
      instances.add(new FleetSnapshot.Instance("edge-" + i, "", 20));
    }
    List<FleetSnapshot.Server> servers = new ArrayList<>();
    for (int i = 0; i < serverCount; i++) {
      servers.add(new FleetSnapshot.Server("s-" + i, "", i, 1));
    }
    return new FleetSnapshot(instances, servers);
  }

  /** Polls until the selector has made the given number of steps. */
  private void runSteps(int count, FleetSnapshot snapshot) {
    for (int done = 0; done < count; now += 10 * MILLI) {
      done += selector.poll(now, snapshot) ? 1 : 0;
    }
  }

  private void reachPlan(FleetSnapshot snapshot) {
    runSteps(1, snapshot);
    runSteps(40, snapshot);
    assertEquals(0, selector.distanceToPlan(), 1e-9);
  }

  @Test
  void usesAllServersUntilTheSettleTimeHasPassed() {
    FleetSnapshot snapshot = snapshot(6, 24);
    assertFalse(selector.poll(now, snapshot));
    now += 999 * MILLI;
    assertFalse(selector.poll(now, snapshot));
    assertNull(selector.shares());
    now += 1001 * MILLI;
    assertTrue(selector.poll(now, snapshot));
    assertEquals(selector.plan().sharesOf("edge-0").keySet(), selector.shares().keySet());
  }

  @Test
  void followsAChangeInStepsAndUsesNewServersFromTheFirstStepOn() {
    reachPlan(snapshot(6, 24));
    Map<String, Double> before = selector.shares();
    FleetSnapshot smallerFleet = snapshot(3, 24);
    double moved = selector.totalMovedShare();
    runSteps(1, smallerFleet);
    assertEquals(0.1, selector.totalMovedShare() - moved, 1e-9);
    Map<String, Double> first = selector.shares();
    assertTrue(first.keySet().containsAll(selector.plan().sharesOf("edge-0").keySet()));
    assertTrue(
        first.keySet().containsAll(before.keySet()), "no server is dropped in the first step");
    assertEquals(1, first.values().stream().mapToDouble(share -> share).sum(), 1e-9);
    reachPlan(smallerFleet);
    assertEquals(selector.plan().sharesOf("edge-0").keySet(), selector.shares().keySet());
  }

  /**
   * Calls of a removed server go to the others at once; a list of only new servers is used at once.
   */
  @Test
  void aServerThatLeavesTheListIsDroppedAtOnce() {
    reachPlan(snapshot(6, 24));
    String gone = new TreeSet<>(selector.shares().keySet()).first();
    FleetSnapshot full = snapshot(6, 24);
    FleetSnapshot reduced =
        new FleetSnapshot(
            full.instances(),
            full.servers().stream().filter(each -> !each.name().equals(gone)).toList());
    runSteps(1, reduced);
    assertFalse(selector.shares().containsKey(gone));
    List<FleetSnapshot.Server> newServers = List.of(new FleetSnapshot.Server("new", "", 1, 1));
    runSteps(1, new FleetSnapshot(full.instances(), newServers));
    assertEquals(Map.of("new", 1.0), selector.shares());
  }

  @Test
  void anIsolatedBalancerKeepsItsSubsetForAWhileAndThenUsesAllServers() {
    reachPlan(snapshot(6, 24));
    Set<String> before = selector.shares().keySet();
    runSteps(20, snapshot(1, 24));
    assertEquals(before, selector.shares().keySet());
    reachPlan(snapshot(1, 24));
    assertEquals(24, selector.shares().size());
    reachPlan(snapshot(6, 24));
    assertEquals(before, selector.shares().keySet());
  }

  /** Balancers that learn of the same change at once must not all move at the same time. */
  @Test
  void balancersDrawTheTimesOfTheirStepsIndependently() {
    FleetSnapshot snapshot = snapshot(200, 50);
    List<Long> firstSteps = new ArrayList<>();
    for (int i = 0; i < 200; i++) {
      SubsetSelector each =
          new SubsetSelector(
              "edge-" + i, new SubsetSizing(4, 2, 2), PACE, 1 ^ ("edge-" + i).hashCode());
      long at = now;
      while (!each.poll(at, snapshot)) {
        at += 10 * MILLI;
      }
      firstSteps.add((at - now) / (100 * MILLI));
    }
    long most = 0;
    for (long each : new TreeSet<>(firstSteps)) {
      most = Math.max(most, firstSteps.stream().filter(other -> other == each).count());
    }
    assertTrue(most < 200 / 4, most + " of 200 started in the same 100 ms");
  }
}
