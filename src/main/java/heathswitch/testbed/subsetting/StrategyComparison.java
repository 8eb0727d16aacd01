package heathswitch.testbed.subsetting;

import heathswitch.policy.subsetting.FleetSnapshot;
import heathswitch.policy.subsetting.FleetSnapshot.Instance;
import heathswitch.policy.subsetting.FleetSnapshot.Server;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Measures a subsetting strategy: how evenly it loads the servers, how many connections it needs,
 * and how much a change of the fleet moves.
 */
final class StrategyComparison {
  private static final int CHANGES = 8;

  private StrategyComparison() {}

  /**
   * Results for one strategy.
   *
   * @param connections number of pairs of a balancer and a server
   * @param spread highest ratio of a server's call rate to its fair share
   * @param uncovered number of servers that no balancer uses
   * @param openedByLeave connections that the other balancers open when one balancer leaves,
   *     divided by all connections
   * @param openedByLoss connections that the balancers open when one server leaves, divided by the
   *     connections that this server had; 1 is the minimum if each of its users takes another one
   * @param movedByLeave share of the other balancers' calls that moves to other servers when one
   *     balancer leaves
   * @param minMovedByLeave lower bound of movedByLeave if all servers are to be evenly loaded again
   * @param spreadSplit spread over both halves of a network split, neither of which sees the other
   * @param spreadPartialViews spread if each balancer fails to see each of the others with a
   *     probability of 1/20
   */
  record Result(
      long connections,
      double spread,
      long uncovered,
      double openedByLeave,
      double openedByLoss,
      double movedByLeave,
      double minMovedByLeave,
      double spreadSplit,
      double spreadPartialViews) {}

  static Result measure(SubsettingStrategy strategy, FleetSnapshot snapshot, int width) {
    Map<String, Map<String, Double>> plan = strategy.plan(snapshot, width);
    long connections = countConnections(plan);
    double openedByLeave = 0;
    double movedByLeave = 0;
    double openedByLoss = 0;
    double minMovedByLeave = 0;
    for (int i = 0; i < CHANGES; i++) {
      Instance gone = snapshot.instances().get((i * 37 + 5) % snapshot.instances().size());
      Map<String, Map<String, Double>> after =
          strategy.plan(SampleFleets.without(snapshot, gone), width);
      openedByLeave += (double) openedConnections(plan, after) / connections / CHANGES;
      movedByLeave += movedShare(snapshot, plan, after) / CHANGES;
      minMovedByLeave += minMovedShare(snapshot, plan, gone) / CHANGES;
      Server lost = snapshot.servers().get((i * 41 + 3) % snapshot.servers().size());
      long userCount = plan.values().stream().filter(row -> row.containsKey(lost.name())).count();
      long opened =
          openedConnections(plan, strategy.plan(SampleFleets.without(snapshot, lost), width));
      openedByLoss += (double) opened / Math.max(1, userCount) / CHANGES;
    }
    return new Result(
        connections,
        spread(snapshot, plan),
        uncovered(snapshot, plan),
        openedByLeave,
        openedByLoss,
        movedByLeave,
        minMovedByLeave,
        spread(snapshot, planInSplit(strategy, snapshot, width)),
        spread(snapshot, planWithPartialViews(strategy, snapshot, width)));
  }

  private static long countConnections(Map<String, Map<String, Double>> plan) {
    return plan.values().stream().mapToLong(Map::size).sum();
  }

  /** Highest ratio of a server's call rate to its fair share by weight. */
  static double spread(FleetSnapshot snapshot, Map<String, Map<String, Double>> plan) {
    Map<String, Double> received = SubsettingStrategy.received(snapshot, plan);
    double worst = 0;
    for (Server each : snapshot.servers()) {
      double fairShare = each.weight() / snapshot.totalWeight() * snapshot.totalLoad();
      worst = Math.max(worst, received.getOrDefault(each.name(), 0.0) / fairShare);
    }
    return worst;
  }

  private static long uncovered(FleetSnapshot snapshot, Map<String, Map<String, Double>> plan) {
    Set<String> used = new HashSet<>();
    plan.values().forEach(row -> used.addAll(row.keySet()));
    return snapshot.servers().stream().filter(each -> !used.contains(each.name())).count();
  }

  /** Number of new connections of the balancers that are in both plans. */
  private static long openedConnections(
      Map<String, Map<String, Double>> before, Map<String, Map<String, Double>> after) {
    long opened = 0;
    for (Map.Entry<String, Map<String, Double>> each : after.entrySet()) {
      Set<String> previous = before.get(each.getKey()).keySet();
      opened +=
          each.getValue().keySet().stream().filter(server -> !previous.contains(server)).count();
    }
    return opened;
  }

  /** Share of the calls of the remaining balancers that goes to different servers than before. */
  private static double movedShare(
      FleetSnapshot snapshot,
      Map<String, Map<String, Double>> before,
      Map<String, Map<String, Double>> after) {
    double moved = 0;
    for (Instance each : snapshot.instances()) {
      Map<String, Double> previous = before.get(each.name());
      Map<String, Double> current = after.get(each.name());
      for (Map.Entry<String, Double> share :
          current == null ? previous.entrySet() : current.entrySet()) {
        double increase =
            current == null ? 0 : share.getValue() - previous.getOrDefault(share.getKey(), 0.0);
        moved += Math.max(0, increase) * each.load();
      }
    }
    return moved / after.keySet().stream().mapToDouble(name -> load(snapshot, name)).sum();
  }

  /**
   * Calls by which servers fall short of their fair share after one balancer has left, divided by
   * the remaining calls. Every plan that loads all servers evenly again moves at least this share.
   */
  private static double minMovedShare(
      FleetSnapshot snapshot, Map<String, Map<String, Double>> plan, Instance gone) {
    Map<String, Double> received = SubsettingStrategy.received(snapshot, plan);
    double remainingLoad = snapshot.totalLoad() - gone.load();
    double lacking = 0;
    for (Server each : snapshot.servers()) {
      double lost = plan.get(gone.name()).getOrDefault(each.name(), 0.0) * gone.load();
      double kept = received.getOrDefault(each.name(), 0.0) - lost;
      lacking += Math.max(0, each.weight() / snapshot.totalWeight() * remainingLoad - kept);
    }
    return lacking / remainingLoad;
  }

  private static double load(FleetSnapshot snapshot, String name) {
    return snapshot.instances().stream()
        .filter(each -> each.name().equals(name))
        .mapToDouble(Instance::load)
        .sum();
  }

  private static Map<String, Map<String, Double>> planInSplit(
      SubsettingStrategy strategy, FleetSnapshot snapshot, int width) {
    Map<String, Map<String, Double>> plan =
        new LinkedHashMap<>(strategy.plan(SampleFleets.splitSide(snapshot, true), width));
    plan.putAll(strategy.plan(SampleFleets.splitSide(snapshot, false), width));
    return plan;
  }

  private static Map<String, Map<String, Double>> planWithPartialViews(
      SubsettingStrategy strategy, FleetSnapshot snapshot, int width) {
    SplittableRandom random = new SplittableRandom(1);
    Map<String, Map<String, Double>> plan = new LinkedHashMap<>();
    for (Instance each : snapshot.instances()) {
      List<Instance> seen = new ArrayList<>();
      for (Instance other : snapshot.instances()) {
        if (other.equals(each) || random.nextInt(20) > 0) {
          seen.add(other);
        }
      }
      FleetSnapshot view = new FleetSnapshot(seen, snapshot.servers());
      plan.put(each.name(), strategy.plan(view, width).get(each.name()));
    }
    return plan;
  }

  /** The results of all strategies as rows of a Markdown table. */
  static String table(FleetSnapshot snapshot, int width) {
    StringBuilder table = new StringBuilder();
    for (SubsettingStrategy strategy : SubsettingStrategy.values()) {
      Result result = measure(strategy, snapshot, width);
      table.append(
          String.format(
              "| %s | %d | %.3f | %d | %.4f | %.2f | %.4f | %.4f | %.3f | %.3f |%n",
              strategy.name().toLowerCase(java.util.Locale.ROOT),
              result.connections(),
              result.spread(),
              result.uncovered(),
              result.openedByLeave(),
              result.openedByLoss(),
              result.movedByLeave(),
              result.minMovedByLeave(),
              result.spreadSplit(),
              result.spreadPartialViews()));
    }
    return table.toString();
  }
}
