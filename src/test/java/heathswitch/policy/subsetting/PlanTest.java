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
class PlanTest {
  private static final Rule RULE = new Rule(8, 2, 2);

  private static Census census(int instances, int servers, String... zones) {
    List<Census.Instance> some = new ArrayList<>();
    for (int i = 0; i < instances; i++) {
      some.add(new Census.Instance("edge-" + i, zones[i % zones.length], 10 + i % 3 * 20));
    }
    List<Census.Server> others = new ArrayList<>();
    for (int i = 0; i < servers; i++) {
      others.add(new Census.Server("s-" + i, zones[i % zones.length], i % 6, 1 << i % 3));
    }
    return new Census(some, others);
  }

  private static double part(Plan plan, Census census, boolean near) {
    double sum = 0;
    for (Census.Instance each : census.instances()) {
      Map<String, Double> row = plan.row(each.name());
      for (Census.Server server : census.servers()) {
        boolean home = server.zone().equals(each.zone());
        sum += home == near ? row.getOrDefault(server.name(), 0.0) * each.load() : 0;
      }
    }
    return sum / census.load();
  }

  @Test
  void itIsTheSameInWhateverOrderOneHears() {
    Census census = census(12, 40, "a");
    List<Census.Instance> instances = new ArrayList<>(census.instances());
    List<Census.Server> servers = new ArrayList<>(census.servers());
    Collections.shuffle(instances, new Random(1));
    Collections.shuffle(servers, new Random(2));
    Plan one = Plan.of(census, RULE);
    Plan other = Plan.of(new Census(instances, servers), RULE);
    for (Census.Instance each : instances) {
      assertEquals(one.row(each.name()), other.row(each.name()));
    }
  }

  /** Equal zones: nothing need leave home, and every server gets its due all the same. */
  @Test
  void nearServersComeFirst() {
    Census census = census(12, 48, "a", "b");
    Plan plan = Plan.of(census, RULE);
    assertTrue(plan.spread() < 1.06, "spread " + plan.spread());
    assertTrue(part(plan, census, true) > 0.9, "at home " + part(plan, census, true));
  }

  /** All balancers in one zone of two: the far servers get theirs as well. */
  @Test
  void farServersAreNotStarved() {
    List<Census.Instance> here = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      here.add(new Census.Instance("edge-" + i, "a", 25));
    }
    Census census = new Census(here, census(1, 48, "a", "b").servers());
    Plan plan = Plan.of(census, RULE);
    assertTrue(plan.spread() < 1.05, "spread " + plan.spread());
    double due = 0;
    for (Census.Server each : census.servers()) {
      due += each.zone().equals("b") ? each.weight() / census.weight() : 0;
    }
    assertEquals(due, part(plan, census, false), 0.05);
  }

  @Test
  void noBalancerHasFewerCellsThanItIsToHave() {
    Rule rule = new Rule(4, 2, 4);
    Census census = census(20, 60, "a");
    Plan plan = Plan.of(census, rule);
    for (Census.Instance each : census.instances()) {
      Set<Long> cells = new HashSet<>();
      for (Census.Server server : census.servers()) {
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
    List<Census.Instance> quiet = new ArrayList<>();
    for (int i = 0; i < 5; i++) {
      quiet.add(new Census.Instance("edge-" + i, "", 0));
    }
    Plan plan = Plan.of(new Census(quiet, census(1, 9, "").servers()), RULE);
    assertTrue(plan.spread() < 1.01, "spread " + plan.spread());
    for (Census.Instance each : quiet) {
      assertEquals(
          1, plan.row(each.name()).values().stream().mapToDouble(part -> part).sum(), 1e-9);
    }
    assertEquals(Map.of(), plan.row("nobody"));
    assertEquals(0, Plan.of(new Census(quiet, List.of()), RULE).pairs());
  }

  /** What the others really send stays near what is due, whatever one says of itself. */
  @Test
  void oneThatSaysItHasAMillionCallsIsNotBelieved() {
    Census census = census(12, 48, "");
    List<Census.Instance> told = new ArrayList<>(census.instances());
    told.set(3, new Census.Instance(told.get(3).name(), "", 1e6));
    Plan plan = Plan.of(new Census(told, census.servers()), RULE);
    double[] gets = new double[48];
    for (Census.Instance each : census.instances()) {
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
