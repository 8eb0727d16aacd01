package heathswitch.policy.subsetting;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Who uses which server, and for how many calls. */
class SubsetPlanTest {
  private static final SubsetSizing RULE = new SubsetSizing(8, 2, 2);

  private static FleetSnapshot census(int instances, int servers, String... zones) {
    List<FleetSnapshot.Instance> some = new ArrayList<>();
    for (int i = 0; i < instances; i++) {
      some.add(new FleetSnapshot.Instance("edge-" + i, zones[i % zones.length], 10 + i % 3 * 20));
    }
    List<FleetSnapshot.Server> others = new ArrayList<>();
    for (int i = 0; i < servers; i++) {
      others.add(new FleetSnapshot.Server("s-" + i, zones[i % zones.length], i % 6, 1 << i % 3));
    }
    return new FleetSnapshot(some, others);
  }

  private static double part(SubsetPlan plan, FleetSnapshot census, boolean near) {
    double sum = 0;
    for (FleetSnapshot.Instance each : census.instances()) {
      Map<String, Double> row = plan.row(each.name());
      for (FleetSnapshot.Server server : census.servers()) {
        boolean home = server.zone().equals(each.zone());
        sum += home == near ? row.getOrDefault(server.name(), 0.0) * each.load() : 0;
      }
    }
    return sum / census.load();
  }

  @Test
  void itIsTheSameInWhateverOrderOneHears() {
    FleetSnapshot census = census(12, 40, "a");
    List<FleetSnapshot.Instance> instances = new ArrayList<>(census.instances());
    List<FleetSnapshot.Server> servers = new ArrayList<>(census.servers());
    Collections.shuffle(instances, new Random(1));
    Collections.shuffle(servers, new Random(2));
    SubsetPlan one = SubsetPlan.of(census, RULE);
    SubsetPlan other = SubsetPlan.of(new FleetSnapshot(instances, servers), RULE);
    for (FleetSnapshot.Instance each : instances) {
      assertEquals(one.row(each.name()), other.row(each.name()));
    }
  }

  /** Equal zones: nothing need leave home, and every server gets its due all the same. */
  @Test
  void nearServersComeFirst() {
    FleetSnapshot census = census(12, 48, "a", "b");
    SubsetPlan plan = SubsetPlan.of(census, RULE);
    assertTrue(plan.spread() < 1.06, "spread " + plan.spread());
    assertTrue(part(plan, census, true) > 0.9, "at home " + part(plan, census, true));
  }

  /** All balancers in one zone of two: the far servers get theirs as well. */
  @Test
  void farServersAreNotStarved() {
    List<FleetSnapshot.Instance> here = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      here.add(new FleetSnapshot.Instance("edge-" + i, "a", 25));
    }
    FleetSnapshot census = new FleetSnapshot(here, census(1, 48, "a", "b").servers());
    SubsetPlan plan = SubsetPlan.of(census, RULE);
    assertTrue(plan.spread() < 1.05, "spread " + plan.spread());
    double due = 0;
    for (FleetSnapshot.Server each : census.servers()) {
      due += each.zone().equals("b") ? each.weight() / census.weight() : 0;
    }
    assertEquals(due, part(plan, census, false), 0.05);
  }

  @Test
  void noBalancerHasFewerCellsThanItIsToHave() {
    SubsetSizing rule = new SubsetSizing(4, 2, 4);
    FleetSnapshot census = census(20, 60, "a");
    SubsetPlan plan = SubsetPlan.of(census, rule);
    for (FleetSnapshot.Instance each : census.instances()) {
      Set<Long> cells = new HashSet<>();
      for (FleetSnapshot.Server server : census.servers()) {
        if (plan.row(each.name()).containsKey(server.name())) {
          cells.add(server.cell());
        }
      }
      assertTrue(cells.size() >= 4, each.name() + " has " + cells);
    }
  }

  /** Nobody has told a load yet: all count alike, and the amounts are numbers. */
  @Test
  void loadsOfNothingCountAlike() {
    List<FleetSnapshot.Instance> quiet = new ArrayList<>();
    for (int i = 0; i < 5; i++) {
      quiet.add(new FleetSnapshot.Instance("edge-" + i, "", 0));
    }
    SubsetPlan plan = SubsetPlan.of(new FleetSnapshot(quiet, census(1, 9, "").servers()), RULE);
    assertTrue(plan.spread() < 1.01, "spread " + plan.spread());
    for (FleetSnapshot.Instance each : quiet) {
      assertEquals(
          1, plan.row(each.name()).values().stream().mapToDouble(part -> part).sum(), 1e-9);
    }
    assertEquals(Map.of(), plan.row("nobody"));
    assertEquals(0, SubsetPlan.of(new FleetSnapshot(quiet, List.of()), RULE).pairs());
  }

  /** What the others really send stays near what is due, whatever one says of itself. */
  @Test
  void oneThatSaysItHasAMillionCallsIsNotBelieved() {
    FleetSnapshot census = census(12, 48, "");
    List<FleetSnapshot.Instance> told = new ArrayList<>(census.instances());
    told.set(3, new FleetSnapshot.Instance(told.get(3).name(), "", 1e6));
    SubsetPlan plan = SubsetPlan.of(new FleetSnapshot(told, census.servers()), RULE);
    double[] gets = new double[48];
    for (FleetSnapshot.Instance each : census.instances()) {
      Map<String, Double> row = plan.row(each.name());
      for (int s = 0; s < 48; s++) {
        gets[s] += row.getOrDefault(census.servers().get(s).name(), 0.0) * each.load();
      }
    }
    double worst = 0;
    for (int s = 0; s < 48; s++) {
      double due = census.servers().get(s).weight() / census.weight() * census.load();
      worst = Math.max(worst, gets[s] / due);
    }
    assertTrue(worst < 3, "worst " + worst);
  }
}
