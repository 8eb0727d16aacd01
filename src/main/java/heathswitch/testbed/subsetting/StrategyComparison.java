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

/** One way by figures: how even, how many connections, and what a change moves. */
final class StrategyComparison {
  private static final int CHANGES = 8;

  private StrategyComparison() {}

  /**
   * What a way comes to.
   *
   * @param connections pairs of a balancer and a server
   * @param spread calls of the most loaded server against its due
   * @param uncovered servers that nobody uses
   * @param openedByLeave connections that the others open when one balancer leaves, part of all
   * @param openedByLoss likewise when one server leaves, against those that it had: 1 is the least
   *     if each that used it takes another
   * @param movedByLeave part of the others' calls that goes elsewhere when one balancer leaves
   * @param leastByLeave the least that it could be if all are to be even again
   * @param spreadSplit in two halves of which neither sees the other, over both
   * @param spreadViews where each balancer lacks one in twenty of the others, by chance
   */
  record Figures(
      long connections,
      double spread,
      long uncovered,
      double openedByLeave,
      double openedByLoss,
      double movedByLeave,
      double leastByLeave,
      double spreadSplit,
      double spreadViews) {}

  static Figures of(SubsettingStrategy way, FleetSnapshot census, int width) {
    Map<String, Map<String, Double>> plan = way.plan(census, width);
    long connections = count(plan);
    double opened = 0;
    double moved = 0;
    double lost = 0;
    double least = 0;
    for (int i = 0; i < CHANGES; i++) {
      Instance gone = census.instances().get((i * 37 + 5) % census.instances().size());
      Map<String, Map<String, Double>> after = way.plan(SampleFleets.without(census, gone), width);
      opened += (double) opened(plan, after) / connections / CHANGES;
      moved += moved(census, plan, after) / CHANGES;
      least += least(census, plan, gone) / CHANGES;
      Server down = census.servers().get((i * 41 + 3) % census.servers().size());
      long had = plan.values().stream().filter(row -> row.containsKey(down.name())).count();
      long took = opened(plan, way.plan(SampleFleets.without(census, down), width));
      lost += (double) took / Math.max(1, had) / CHANGES;
    }
    return new Figures(
        connections,
        spread(census, plan),
        uncovered(census, plan),
        opened,
        lost,
        moved,
        least,
        spread(census, split(way, census, width)),
        spread(census, views(way, census, width)));
  }

  private static long count(Map<String, Map<String, Double>> plan) {
    return plan.values().stream().mapToLong(Map::size).sum();
  }

  static double spread(FleetSnapshot census, Map<String, Map<String, Double>> plan) {
    Map<String, Double> gets = SubsettingStrategy.received(census, plan);
    double worst = 0;
    for (Server each : census.servers()) {
      double due = each.weight() / census.weight() * census.load();
      worst = Math.max(worst, gets.getOrDefault(each.name(), 0.0) / due);
    }
    return worst;
  }

  private static long uncovered(FleetSnapshot census, Map<String, Map<String, Double>> plan) {
    Set<String> used = new HashSet<>();
    plan.values().forEach(row -> used.addAll(row.keySet()));
    return census.servers().stream().filter(each -> !used.contains(each.name())).count();
  }

  /** Connections of those that stay which were not there before. */
  private static long opened(
      Map<String, Map<String, Double>> before, Map<String, Map<String, Double>> after) {
    long opened = 0;
    for (Map.Entry<String, Map<String, Double>> each : after.entrySet()) {
      Set<String> had = before.get(each.getKey()).keySet();
      opened += each.getValue().keySet().stream().filter(server -> !had.contains(server)).count();
    }
    return opened;
  }

  private static double moved(
      FleetSnapshot census,
      Map<String, Map<String, Double>> before,
      Map<String, Map<String, Double>> after) {
    double moved = 0;
    for (Instance each : census.instances()) {
      Map<String, Double> then = before.get(each.name());
      Map<String, Double> now = after.get(each.name());
      for (Map.Entry<String, Double> part : now == null ? then.entrySet() : now.entrySet()) {
        double more = now == null ? 0 : part.getValue() - then.getOrDefault(part.getKey(), 0.0);
        moved += Math.max(0, more) * each.load();
      }
    }
    return moved / after.keySet().stream().mapToDouble(name -> load(census, name)).sum();
  }

  /**
   * What servers lack of their due when one balancer has gone, part of the calls that are left: no
   * plan that is even again moves less.
   */
  private static double least(
      FleetSnapshot census, Map<String, Map<String, Double>> plan, Instance gone) {
    Map<String, Double> gets = SubsettingStrategy.received(census, plan);
    double left = census.load() - gone.load();
    double least = 0;
    for (Server each : census.servers()) {
      double its = plan.get(gone.name()).getOrDefault(each.name(), 0.0) * gone.load();
      double has = gets.getOrDefault(each.name(), 0.0) - its;
      least += Math.max(0, each.weight() / census.weight() * left - has);
    }
    return least / left;
  }

  private static double load(FleetSnapshot census, String name) {
    return census.instances().stream()
        .filter(each -> each.name().equals(name))
        .mapToDouble(Instance::load)
        .sum();
  }

  private static Map<String, Map<String, Double>> split(
      SubsettingStrategy way, FleetSnapshot census, int width) {
    Map<String, Map<String, Double>> plan =
        new LinkedHashMap<>(way.plan(SampleFleets.side(census, true), width));
    plan.putAll(way.plan(SampleFleets.side(census, false), width));
    return plan;
  }

  private static Map<String, Map<String, Double>> views(
      SubsettingStrategy way, FleetSnapshot census, int width) {
    SplittableRandom random = new SplittableRandom(1);
    Map<String, Map<String, Double>> plan = new LinkedHashMap<>();
    for (Instance each : census.instances()) {
      List<Instance> seen = new ArrayList<>();
      for (Instance other : census.instances()) {
        if (other.equals(each) || random.nextInt(20) > 0) {
          seen.add(other);
        }
      }
      FleetSnapshot view = new FleetSnapshot(seen, census.servers());
      plan.put(each.name(), way.plan(view, width).get(each.name()));
    }
    return plan;
  }

  /** A table of all ways, for the design note. */
  static String table(FleetSnapshot census, int width) {
    StringBuilder table = new StringBuilder();
    for (SubsettingStrategy way : SubsettingStrategy.values()) {
      Figures figures = of(way, census, width);
      table.append(
          String.format(
              "| %s | %d | %.3f | %d | %.4f | %.2f | %.4f | %.4f | %.3f | %.3f |%n",
              way.name().toLowerCase(java.util.Locale.ROOT),
              figures.connections(),
              figures.spread(),
              figures.uncovered(),
              figures.openedByLeave(),
              figures.openedByLoss(),
              figures.movedByLeave(),
              figures.leastByLeave(),
              figures.spreadSplit(),
              figures.spreadViews()));
    }
    return table.toString();
  }
}
