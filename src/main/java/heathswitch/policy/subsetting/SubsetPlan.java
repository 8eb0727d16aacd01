package heathswitch.policy.subsetting;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;

/**
 * Who uses which server, and for how many calls. Each server names the balancers that suit it best
 * by their names and loads, each balancer takes the servers that suit it best too; then the calls
 * on each such pair are scaled, balancer by balancer and server by server in turn, until each
 * balancer gives what it has and each server gets what is due to its weight.
 *
 * <p>The choice follows names, so a change of one moves little; the amounts follow loads and
 * weights, so they add up; see the design note.
 */
public final class SubsetPlan {
  private static final int ROUNDS = 40;

  /** Scaled again and again, what is too much for a server comes down to nothing at all. */
  private static final double LEAST_PART = 1e-6;

  /** Where some balancers have more to give than their servers may get, each looks further. */
  private static final int MENDS = 16;

  /** So much above its due a server may be left. */
  private static final double EVEN = 1.03;

  /** One with less is planned for as if it had that part of the mean: calls may come any time. */
  private static final double LEAST_LOAD = 0.05;

  private final FleetSnapshot census;
  private final double[] loads;
  private final double total;
  private final double weight;

  /** For each balancer the servers that it uses, and the calls a second that go to each. */
  private final List<Map<Integer, double[]>> rows = new ArrayList<>();

  private SubsetPlan(FleetSnapshot census, double[] loads) {
    this.census = census;
    this.loads = loads;
    total = Arrays.stream(loads).sum();
    weight = census.weight();
    census.instances().forEach(any -> rows.add(new LinkedHashMap<>()));
  }

  /** The plan that a census comes to; the same wherever it is the same. */
  public static SubsetPlan of(FleetSnapshot census, SubsetSizing rule) {
    double mean = census.load() / Math.max(1, census.instances().size());
    double least = mean > 0 ? LEAST_LOAD * mean : 1;
    double all = census.load();
    // Nobody is planned for with more than twice what all others have: one that says so may lie,
    // and
    // the others would leave servers to it that it never loads.
    double[] loads =
        census.instances().stream()
            .mapToDouble(each -> Math.max(least, Math.min(each.load(), 2 * (all - each.load()))))
            .toArray();
    SubsetPlan plan = new SubsetPlan(census, loads);
    if (loads.length > 0 && !census.servers().isEmpty()) {
      plan.choose(rule, new ZoneFlows(census, loads));
      plan.scale();
      for (int i = 0; i < MENDS && plan.mend(); i++) {
        plan.scale();
      }
    }
    return plan;
  }

  // ---- who ----

  private void choose(SubsetSizing rule, ZoneFlows flows) {
    int[] names = census.instances().stream().mapToInt(each -> each.name().hashCode()).toArray();
    Map<String, int[]> byZone = new HashMap<>();
    for (String zone : flows.from()) {
      byZone.put(zone, indices(zone));
    }
    int wanted = users(rule);
    for (int s = 0; s < census.servers().size(); s++) {
      FleetSnapshot.Server server = census.servers().get(s);
      int name = server.name().hashCode();
      for (Map.Entry<String, int[]> zone : byZone.entrySet()) {
        double part = flows.part(zone.getKey(), server.zone());
        if (part > 0) {
          int many = (int) Math.max(1, Math.round(wanted * part));
          int[] named =
              best(zone.getValue(), many, i -> RendezvousHash.cost(names[i], name, loads[i]));
          // Falling with the rank, as whoever comes or goes is the last one at most servers.
          double parts = named.length * (named.length + 1) / 2.0;
          for (int r = 0; r < named.length; r++) {
            double calls = part * due(s) * (named.length - r) / parts;
            rows.get(named[r]).put(s, new double[] {calls});
          }
        }
      }
    }
    for (int i = 0; i < names.length; i++) {
      own(i, names[i], rule, flows);
    }
  }

  /**
   * A power of two near the number that comes to the wanted width: one that followed the size of
   * the fleet would change for all servers with each balancer that comes or goes.
   */
  private int users(SubsetSizing rule) {
    double near = (double) rule.width() * loads.length / census.servers().size();
    long doublings = Math.max(0, Math.round(StrictMath.log(near) / StrictMath.log(2)));
    return Math.min(loads.length, Math.max(rule.users(), 1 << Math.min(30, doublings)));
  }

  private int[] indices(String zone) {
    List<Integer> indices = new ArrayList<>();
    for (int i = 0; i < census.instances().size(); i++) {
      if (census.instances().get(i).zone().equals(zone)) {
        indices.add(i);
      }
    }
    return indices.stream().mapToInt(each -> each).toArray();
  }

  /** Servers that a balancer takes whoever names it, in as many cells as it has to have. */
  private void own(int instance, int name, SubsetSizing rule, ZoneFlows flows) {
    String zone = census.instances().get(instance).zone();
    Set<Long> cells = new HashSet<>();
    int[] able = new int[census.servers().size()];
    int count = 0;
    for (int s = 0; s < able.length; s++) {
      if (flows.part(zone, census.servers().get(s).zone()) > 0) {
        able[count++] = s;
      }
    }
    List<FleetSnapshot.Server> all = census.servers();
    int[] rest = Arrays.copyOf(able, count);
    while (cells.size() < rule.domains() && rest.length > 0) {
      int s = best(rest, 1, each -> cost(name, each))[0];
      cells.add(all.get(s).cell());
      double calls = flows.part(zone, all.get(s).zone()) * due(s) / loads.length;
      rows.get(instance).putIfAbsent(s, new double[] {calls});
      rest = Arrays.stream(rest).filter(each -> !cells.contains(all.get(each).cell())).toArray();
    }
  }

  private double weight(int server) {
    return census.servers().get(server).weight();
  }

  private interface Cost {
    double of(int index);
  }

  /** So many of them with the least cost, the best first. */
  private static int[] best(int[] of, int many, Cost cost) {
    int most = Math.min(many, of.length);
    int[] best = new int[most];
    double[] costs = new double[most];
    int count = 0;
    for (int each : of) {
      double its = cost.of(each);
      if (count == most && its >= costs[most - 1]) {
        continue;
      }
      int at = count < most ? count++ : most - 1;
      for (; at > 0 && costs[at - 1] > its; at--) {
        costs[at] = costs[at - 1];
        best[at] = best[at - 1];
      }
      costs[at] = its;
      best[at] = each;
    }
    return best;
  }

  // ---- how much ----

  private void scale() {
    for (int round = 0; round < ROUNDS; round++) {
      double[] gets = gets();
      for (int i = 0; i < loads.length; i++) {
        double[] sum = {0};
        rows.get(i)
            .forEach(
                (s, calls) -> {
                  calls[0] *= due(s) / gets[s];
                  sum[0] += calls[0];
                });
        double by = loads[i] / sum[0];
        rows.get(i).values().forEach(calls -> calls[0] *= by);
      }
    }
  }

  /**
   * Has each balancer that loads a server above its due use one more that is under it, the one that
   * suits it best: some that share too few servers could not be even whatever they gave to each.
   * False where nothing is left to mend.
   */
  private boolean mend() {
    double[] gets = gets();
    boolean mended = false;
    for (int i = 0; i < loads.length; i++) {
      Map<Integer, double[]> row = rows.get(i);
      if (row.keySet().stream().anyMatch(s -> gets[s] > EVEN * due(s))) {
        int[] under =
            IntStream.range(0, gets.length)
                .filter(s -> gets[s] < due(s) && !row.containsKey(s))
                .toArray();
        int name = census.instances().get(i).name().hashCode();
        for (int s : best(under, 1, s -> cost(name, s))) {
          row.put(s, new double[] {due(s) - gets[s]});
          mended = true;
        }
      }
    }
    return mended;
  }

  private double cost(int instance, int server) {
    FleetSnapshot.Server its = census.servers().get(server);
    return RendezvousHash.cost(instance, its.name().hashCode(), its.weight());
  }

  /** What is due to a server by its weight. */
  private double due(int server) {
    return weight(server) / weight * total;
  }

  /** What comes to each server. */
  private double[] gets() {
    double[] gets = new double[census.servers().size()];
    rows.forEach(row -> row.forEach((s, calls) -> gets[s] += calls[0]));
    return gets;
  }

  // ---- what it says ----

  /** Which part of a balancer's calls goes to each server that it uses; empty for a stranger. */
  public Map<String, Double> row(String instance) {
    Map<String, Double> parts = new LinkedHashMap<>();
    for (int i = 0; i < loads.length; i++) {
      if (census.instances().get(i).name().equals(instance)) {
        for (Map.Entry<Integer, double[]> each : rows.get(i).entrySet()) {
          double part = Math.max(LEAST_PART, each.getValue()[0] / loads[i]);
          parts.put(census.servers().get(each.getKey()).name(), part);
        }
      }
    }
    double sum = parts.values().stream().mapToDouble(part -> part).sum();
    parts.replaceAll((server, part) -> part / sum);
    return parts;
  }

  /** Calls a second that come to a server by each balancer that uses it. */
  public Map<String, Double> users(String server) {
    Map<String, Double> users = new LinkedHashMap<>();
    for (int i = 0; i < loads.length; i++) {
      for (Map.Entry<Integer, double[]> each : rows.get(i).entrySet()) {
        if (census.servers().get(each.getKey()).name().equals(server)) {
          users.put(census.instances().get(i).name(), each.getValue()[0]);
        }
      }
    }
    return users;
  }

  /** Pairs of a balancer and a server that it uses. */
  public long pairs() {
    return rows.stream().mapToLong(Map::size).sum();
  }

  /** Calls of the most loaded server against what is due to its weight; 0 without servers. */
  public double spread() {
    double[] gets = new double[census.servers().size()];
    rows.forEach(row -> row.forEach((s, calls) -> gets[s] += calls[0]));
    double total = Arrays.stream(loads).sum();
    double worst = 0;
    for (int s = 0; s < gets.length; s++) {
      worst = Math.max(worst, gets[s] / due(s));
    }
    return worst;
  }

  /** What it was made from. */
  public FleetSnapshot census() {
    return census;
  }
}
