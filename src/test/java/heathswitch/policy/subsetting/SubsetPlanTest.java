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

/** Tests the selection of pairs and their call rates in {@link SubsetPlan}. */
class SubsetPlanTest {
  private static final SubsetSizing SIZING = new SubsetSizing(8, 2, 2);

  private static FleetSnapshot snapshot(int instanceCount, int serverCount, String... zones) {
    List<FleetSnapshot.Instance> instances = new ArrayList<>();
    for (int i = 0; i < instanceCount; i++) {
      instances.add(
          new FleetSnapshot.Instance("edge-" + i, zones[i % zones.length], 10 + i % 3 * 20));
    }
    List<FleetSnapshot.Server> servers = new ArrayList<>();
    for (int i = 0; i < serverCount; i++) {
      servers.add(new FleetSnapshot.Server("s-" + i, zones[i % zones.length], i % 6, 1 << i % 3));
    }
    return new FleetSnapshot(instances, servers);
  }

  /** Share of all calls that the plan keeps within their zone, or that it sends to other zones. */
  private static double callShare(SubsetPlan plan, FleetSnapshot snapshot, boolean sameZone) {
    double sum = 0;
    for (FleetSnapshot.Instance each : snapshot.instances()) {
      Map<String, Double> shares = plan.sharesOf(each.name());
      for (FleetSnapshot.Server server : snapshot.servers()) {
        boolean local = server.zone().equals(each.zone());
        sum += local == sameZone ? shares.getOrDefault(server.name(), 0.0) * each.load() : 0;
      }
    }
    return sum / snapshot.totalLoad();
  }

  @Test
  void planDoesNotDependOnTheOrderOfTheInput() {
    FleetSnapshot snapshot = snapshot(12, 40, "a");
    List<FleetSnapshot.Instance> instances = new ArrayList<>(snapshot.instances());
    List<FleetSnapshot.Server> servers = new ArrayList<>(snapshot.servers());
    Collections.shuffle(instances, new Random(1));
    Collections.shuffle(servers, new Random(2));
    SubsetPlan plan = SubsetPlan.compute(snapshot, SIZING);
    SubsetPlan planOfShuffled = SubsetPlan.compute(new FleetSnapshot(instances, servers), SIZING);
    for (FleetSnapshot.Instance each : instances) {
      assertEquals(plan.sharesOf(each.name()), planOfShuffled.sharesOf(each.name()));
    }
  }

  /** The zones are equal: every server gets its fair share although few calls leave their zone. */
  @Test
  void prefersServersInTheSameZone() {
    FleetSnapshot snapshot = snapshot(12, 48, "a", "b");
    SubsetPlan plan = SubsetPlan.compute(snapshot, SIZING);
    assertTrue(plan.spread() < 1.06, "spread " + plan.spread());
    assertTrue(
        callShare(plan, snapshot, true) > 0.9,
        "share in the same zone " + callShare(plan, snapshot, true));
  }

  /** All balancers are in one of two zones: servers in the other one get their fair share, too. */
  @Test
  void serversInAZoneWithoutBalancersGetTheirFairShare() {
    List<FleetSnapshot.Instance> instances = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      instances.add(new FleetSnapshot.Instance("edge-" + i, "a", 25));
    }
    FleetSnapshot snapshot = new FleetSnapshot(instances, snapshot(1, 48, "a", "b").servers());
    SubsetPlan plan = SubsetPlan.compute(snapshot, SIZING);
    assertTrue(plan.spread() < 1.05, "spread " + plan.spread());
    double fairShare = 0;
    for (FleetSnapshot.Server each : snapshot.servers()) {
      fairShare += each.zone().equals("b") ? each.weight() / snapshot.totalWeight() : 0;
    }
    assertEquals(fairShare, callShare(plan, snapshot, false), 0.05);
  }

  @Test
  void eachBalancerUsesServersInTheMinimumNumberOfCells() {
    SubsetSizing sizing = new SubsetSizing(4, 2, 4);
    FleetSnapshot snapshot = snapshot(20, 60, "a");
    SubsetPlan plan = SubsetPlan.compute(snapshot, sizing);
    for (FleetSnapshot.Instance each : snapshot.instances()) {
      Set<Long> cells = new HashSet<>();
      for (FleetSnapshot.Server server : snapshot.servers()) {
        if (plan.sharesOf(each.name()).containsKey(server.name())) {
          cells.add(server.cell());
        }
      }
      assertTrue(cells.size() >= 4, each.name() + " uses cells " + cells);
    }
  }

  /** No balancer has reported a load yet: all count the same, and no share is NaN. */
  @Test
  void balancersWithoutLoadCountTheSame() {
    List<FleetSnapshot.Instance> idle = new ArrayList<>();
    for (int i = 0; i < 5; i++) {
      idle.add(new FleetSnapshot.Instance("edge-" + i, "", 0));
    }
    SubsetPlan plan =
        SubsetPlan.compute(new FleetSnapshot(idle, snapshot(1, 9, "").servers()), SIZING);
    assertTrue(plan.spread() < 1.01, "spread " + plan.spread());
    for (FleetSnapshot.Instance each : idle) {
      assertEquals(
          1, plan.sharesOf(each.name()).values().stream().mapToDouble(share -> share).sum(), 1e-9);
    }
    assertEquals(Map.of(), plan.sharesOf("unknown"));
    assertEquals(0, SubsetPlan.compute(new FleetSnapshot(idle, List.of()), SIZING).pairCount());
  }

  /** A false report of one balancer must not overload servers with the real calls of the others. */
  @Test
  void implausiblyHighReportedLoadIsCapped() {
    FleetSnapshot snapshot = snapshot(12, 48, "");
    List<FleetSnapshot.Instance> reported = new ArrayList<>(snapshot.instances());
    reported.set(3, new FleetSnapshot.Instance(reported.get(3).name(), "", 1e6));
    SubsetPlan plan = SubsetPlan.compute(new FleetSnapshot(reported, snapshot.servers()), SIZING);
    double[] received = new double[48];
    for (FleetSnapshot.Instance each : snapshot.instances()) {
      Map<String, Double> shares = plan.sharesOf(each.name());
      for (int s = 0; s < 48; s++) {
        received[s] += shares.getOrDefault(snapshot.servers().get(s).name(), 0.0) * each.load();
      }
    }
    double worst = 0;
    for (int s = 0; s < 48; s++) {
      double fairShare =
          snapshot.servers().get(s).weight() / snapshot.totalWeight() * snapshot.totalLoad();
      worst = Math.max(worst, received[s] / fairShare);
    }
    assertTrue(worst < 3, "worst " + worst);
  }
}
