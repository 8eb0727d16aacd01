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

/** One balancer's way from what it uses to what it is to use. */
class SubsetSelectorTest {
  private static final long MILLI = 1_000_000L;
  private static final SubsetSelector.Pace PACE =
      new SubsetSelector.Pace(1000 * MILLI, 100 * MILLI, 0.1, 20);

  private final SubsetSelector subset =
      new SubsetSelector("edge-0", new SubsetSizing(4, 2, 2), PACE, 1);
  private long now = 77_000 * MILLI;

  private static FleetSnapshot census(int instances, int servers) {
    List<FleetSnapshot.Instance> some = new ArrayList<>();
    for (int i = 0; i < instances; i++) {
      some.add(new FleetSnapshot.Instance("edge-" + i, "", 20));
    }
    List<FleetSnapshot.Server> others = new ArrayList<>();
    for (int i = 0; i < servers; i++) {
      others.add(new FleetSnapshot.Server("s-" + i, "", i, 1));
    }
    return new FleetSnapshot(some, others);
  }

  /** Until it has gone so many steps. */
  private void steps(int many, FleetSnapshot census) {
    for (int done = 0; done < many; now += 10 * MILLI) {
      done += subset.look(now, census) ? 1 : 0;
    }
  }

  private void goThere(FleetSnapshot census) {
    steps(1, census);
    steps(40, census);
    assertEquals(0, subset.apart(), 1e-9);
  }

  @Test
  void itUsesAllUntilItHasHeardWhoIsThere() {
    FleetSnapshot census = census(6, 24);
    assertFalse(subset.look(now, census));
    now += 999 * MILLI;
    assertFalse(subset.look(now, census));
    assertNull(subset.uses());
    now += 1001 * MILLI;
    assertTrue(subset.look(now, census));
    assertEquals(subset.plan().row("edge-0").keySet(), subset.uses().keySet());
  }

  @Test
  void aChangeIsFollowedInStepsWithNewServersFromTheFirstOn() {
    goThere(census(6, 24));
    Map<String, Double> before = subset.uses();
    FleetSnapshot less = census(3, 24);
    double moved = subset.moved();
    steps(1, less);
    assertEquals(0.1, subset.moved() - moved, 1e-9);
    Map<String, Double> first = subset.uses();
    assertTrue(first.keySet().containsAll(subset.plan().row("edge-0").keySet()));
    assertTrue(first.keySet().containsAll(before.keySet()), "none is left at once");
    assertEquals(1, first.values().stream().mapToDouble(part -> part).sum(), 1e-9);
    goThere(less);
    assertEquals(subset.plan().row("edge-0").keySet(), subset.uses().keySet());
  }

  /** What went to it goes to the others at once; a list that is all new leaves nothing to keep. */
  @Test
  void aServerThatIsNotListedIsNotUsed() {
    goThere(census(6, 24));
    String gone = new TreeSet<>(subset.uses().keySet()).first();
    FleetSnapshot all = census(6, 24);
    FleetSnapshot less =
        new FleetSnapshot(
            all.instances(),
            all.servers().stream().filter(each -> !each.name().equals(gone)).toList());
    steps(1, less);
    assertFalse(subset.uses().containsKey(gone));
    List<FleetSnapshot.Server> fresh = List.of(new FleetSnapshot.Server("new", "", 1, 1));
    steps(1, new FleetSnapshot(all.instances(), fresh));
    assertEquals(Map.of("new", 1.0), subset.uses());
  }

  @Test
  void oneThatSeesNobodyAnyMoreUsesWhatItUsedAndThenAll() {
    goThere(census(6, 24));
    Set<String> before = subset.uses().keySet();
    steps(20, census(1, 24));
    assertEquals(before, subset.uses().keySet());
    goThere(census(1, 24));
    assertEquals(24, subset.uses().size());
    goThere(census(6, 24));
    assertEquals(before, subset.uses().keySet());
  }

  /** Instances that learn of the same change at once do not move at once. */
  @Test
  void stepsAreDrawnAnewByEach() {
    FleetSnapshot census = census(200, 50);
    List<Long> begins = new ArrayList<>();
    for (int i = 0; i < 200; i++) {
      SubsetSelector each =
          new SubsetSelector(
              "edge-" + i, new SubsetSizing(4, 2, 2), PACE, 1 ^ ("edge-" + i).hashCode());
      long at = now;
      while (!each.look(at, census)) {
        at += 10 * MILLI;
      }
      begins.add((at - now) / (100 * MILLI));
    }
    long most = 0;
    for (long each : new TreeSet<>(begins)) {
      most = Math.max(most, begins.stream().filter(other -> other == each).count());
    }
    assertTrue(most < 200 / 4, most + " of 200 began in the same 100 ms");
  }
}
