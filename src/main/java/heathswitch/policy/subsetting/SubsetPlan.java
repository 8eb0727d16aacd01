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
 * The assignment of servers to all balancers of a fleet, with the call rate of each pair. Weighted
 * rendezvous hashing selects the pairs: each server selects balancers, weighted by their load, and
 * each balancer selects servers, weighted by their weight. Then the call rates of the pairs are
 * scaled, by balancer and by server in turn, until each balancer sends its whole load and each
 * server receives its fair share by weight.
 *
 * <p>The selection depends mainly on names, so that a change of one balancer or server changes few
 * pairs; the call rates depend on loads and weights, so that the sums are right. See {@code
 * docs/design/subsets.md}.
 */
public final class SubsetPlan {
  private static final int SCALING_ROUNDS = 40;

  /**
   * Minimum share of a selected pair. Without it, repeated scaling could reduce the rate of a pair
   * to zero if its server gets too many calls.
   */
  private static final double MIN_SHARE = 1e-6;

  /** Maximum number of times that balancers with overloaded servers get further servers. */
  private static final int MAX_REPAIRS = 16;

  /** A server is overloaded above this multiple of its fair share. */
  private static final double OVERLOAD_FACTOR = 1.03;

  /**
   * Balancers with less load are planned with this fraction of the mean load, as calls may arrive
   * at any time.
   */
  private static final double MIN_LOAD_FRACTION = 0.05;

  private final FleetSnapshot snapshot;
  private final double[] loads;
  private final double totalLoad;
  private final double totalWeight;

  /** For each balancer the call rate to each server that it uses, by index of the server. */
  private final List<Map<Integer, double[]>> rows = new ArrayList<>();

  private SubsetPlan(FleetSnapshot snapshot, double[] loads) {
    this.snapshot = snapshot;
    this.loads = loads;
    totalLoad = Arrays.stream(loads).sum();
    totalWeight = snapshot.totalWeight();
    snapshot.instances().forEach(instance -> rows.add(new LinkedHashMap<>()));
  }

  /** Computes the plan for a snapshot; equal snapshots yield equal plans on every machine. */
  public static SubsetPlan compute(FleetSnapshot snapshot, SubsetSizing sizing) {
    double mean = snapshot.totalLoad() / Math.max(1, snapshot.instances().size());
    double minLoad = mean > 0 ? MIN_LOAD_FRACTION * mean : 1;
    double totalLoad = snapshot.totalLoad();
    // No balancer is planned with more than twice the load of all others together. Its report may
    // be wrong, and the others would leave servers to it that it never loads.
    double[] loads =
        snapshot.instances().stream()
            .mapToDouble(
                each -> Math.max(minLoad, Math.min(each.load(), 2 * (totalLoad - each.load()))))
            .toArray();
    SubsetPlan plan = new SubsetPlan(snapshot, loads);
    if (loads.length > 0 && !snapshot.servers().isEmpty()) {
      plan.selectPairs(sizing, new ZoneFlows(snapshot, loads));
      plan.scale();
      for (int i = 0; i < MAX_REPAIRS && plan.addServersToOverloadingBalancers(); i++) {
        plan.scale();
      }
    }
    return plan;
  }

  // ---- selection of the pairs ----

  private void selectPairs(SubsetSizing sizing, ZoneFlows flows) {
    int[] nameHashes =
        snapshot.instances().stream().mapToInt(each -> each.name().hashCode()).toArray();
    Map<String, int[]> instancesByZone = new HashMap<>();
    for (String zone : flows.sourceZones()) {
      instancesByZone.put(zone, instancesIn(zone));
    }
    int usersPerServer = usersPerServer(sizing);
    for (int s = 0; s < snapshot.servers().size(); s++) {
      FleetSnapshot.Server server = snapshot.servers().get(s);
      int serverHash = server.name().hashCode();
      for (Map.Entry<String, int[]> zone : instancesByZone.entrySet()) {
        double zoneShare = flows.share(zone.getKey(), server.zone());
        if (zoneShare > 0) {
          int count = (int) Math.max(1, Math.round(usersPerServer * zoneShare));
          int[] selected =
              lowest(
                  zone.getValue(),
                  count,
                  i -> RendezvousHash.score(nameHashes[i], serverHash, loads[i]));
          // The initial rates fall with the rank: the balancer that a server gains or loses after
          // a change of the fleet is usually the last of the selected ones.
          double rankSum = selected.length * (selected.length + 1) / 2.0;
          for (int rank = 0; rank < selected.length; rank++) {
            double calls = zoneShare * fairShare(s) * (selected.length - rank) / rankSum;
            rows.get(selected[rank]).put(s, new double[] {calls});
          }
        }
      }
    }
    for (int i = 0; i < nameHashes.length; i++) {
      selectOwnServers(i, nameHashes[i], sizing, flows);
    }
  }

  /**
   * Number of balancers that each server selects: a power of two near the one that yields the
   * configured width. If it followed the size of the fleet exactly, each balancer that joins or
   * leaves would change the selections of all servers.
   */
  private int usersPerServer(SubsetSizing sizing) {
    double exact = (double) sizing.width() * loads.length / snapshot.servers().size();
    long exponent = Math.max(0, Math.round(StrictMath.log(exact) / StrictMath.log(2)));
    return Math.min(loads.length, Math.max(sizing.minUsers(), 1 << Math.min(30, exponent)));
  }

  private int[] instancesIn(String zone) {
    List<Integer> indices = new ArrayList<>();
    for (int i = 0; i < snapshot.instances().size(); i++) {
      if (snapshot.instances().get(i).zone().equals(zone)) {
        indices.add(i);
      }
    }
    return indices.stream().mapToInt(each -> each).toArray();
  }

  /**
   * Adds the servers that a balancer selects by itself, whichever servers selected it: the best one
   * of each further cell, until it has selected servers in the minimum number of cells.
   */
  private void selectOwnServers(int instance, int nameHash, SubsetSizing sizing, ZoneFlows flows) {
    String zone = snapshot.instances().get(instance).zone();
    Set<Long> cells = new HashSet<>();
    int[] eligible = new int[snapshot.servers().size()];
    int count = 0;
    for (int s = 0; s < eligible.length; s++) {
      if (flows.share(zone, snapshot.servers().get(s).zone()) > 0) {
        eligible[count++] = s;
      }
    }
    List<FleetSnapshot.Server> servers = snapshot.servers();
    int[] remaining = Arrays.copyOf(eligible, count);
    while (cells.size() < sizing.minCells() && remaining.length > 0) {
      int s = lowest(remaining, 1, each -> score(nameHash, each))[0];
      cells.add(servers.get(s).cell());
      double calls = flows.share(zone, servers.get(s).zone()) * fairShare(s) / loads.length;
      rows.get(instance).putIfAbsent(s, new double[] {calls});
      remaining =
          Arrays.stream(remaining)
              .filter(each -> !cells.contains(servers.get(each).cell()))
              .toArray();
    }
  }

  private double weight(int server) {
    return snapshot.servers().get(server).weight();
  }

  private interface Scoring {
    double score(int index);
  }

  /** The candidates with the lowest scores, at most {@code limit} of them, lowest score first. */
  private static int[] lowest(int[] candidates, int limit, Scoring scoring) {
    int size = Math.min(limit, candidates.length);
    int[] lowest = new int[size];
    double[] scores = new double[size];
    int count = 0;
    for (int candidate : candidates) {
      double score = scoring.score(candidate);
      if (count == size && score >= scores[size - 1]) {
        continue;
      }
      int at = count < size ? count++ : size - 1;
      for (; at > 0 && scores[at - 1] > score; at--) {
        scores[at] = scores[at - 1];
        lowest[at] = lowest[at - 1];
      }
      scores[at] = score;
      lowest[at] = candidate;
    }
    return lowest;
  }

  // ---- scaling of the call rates ----

  private void scale() {
    for (int round = 0; round < SCALING_ROUNDS; round++) {
      double[] received = received();
      for (int i = 0; i < loads.length; i++) {
        double[] sum = {0};
        rows.get(i)
            .forEach(
                (s, calls) -> {
                  calls[0] *= fairShare(s) / received[s];
                  sum[0] += calls[0];
                });
        double factor = loads[i] / sum[0];
        rows.get(i).values().forEach(calls -> calls[0] *= factor);
      }
    }
  }

  /**
   * Adds one server below its fair share to each balancer that uses an overloaded one: the server
   * with the lowest score. Balancers that share too few servers cannot load them evenly, however
   * their calls are distributed.
   *
   * @return false if no balancer got another server
   */
  private boolean addServersToOverloadingBalancers() {
    double[] received = received();
    boolean added = false;
    for (int i = 0; i < loads.length; i++) {
      Map<Integer, double[]> row = rows.get(i);
      if (row.keySet().stream().anyMatch(s -> received[s] > OVERLOAD_FACTOR * fairShare(s))) {
        int[] underloaded =
            IntStream.range(0, received.length)
                .filter(s -> received[s] < fairShare(s) && !row.containsKey(s))
                .toArray();
        int nameHash = snapshot.instances().get(i).name().hashCode();
        for (int s : lowest(underloaded, 1, s -> score(nameHash, s))) {
          row.put(s, new double[] {fairShare(s) - received[s]});
          added = true;
        }
      }
    }
    return added;
  }

  private double score(int instanceHash, int server) {
    FleetSnapshot.Server candidate = snapshot.servers().get(server);
    return RendezvousHash.score(instanceHash, candidate.name().hashCode(), candidate.weight());
  }

  /** Call rate that a server is to receive by its weight. */
  private double fairShare(int server) {
    return weight(server) / totalWeight * totalLoad;
  }

  /** Call rate that each server receives from all balancers. */
  private double[] received() {
    double[] received = new double[snapshot.servers().size()];
    rows.forEach(row -> row.forEach((s, calls) -> received[s] += calls[0]));
    return received;
  }

  // ---- results ----

  /**
   * Share of a balancer's calls for each server that it uses; empty if the snapshot does not
   * contain the balancer.
   */
  public Map<String, Double> sharesOf(String instance) {
    Map<String, Double> shares = new LinkedHashMap<>();
    for (int i = 0; i < loads.length; i++) {
      if (snapshot.instances().get(i).name().equals(instance)) {
        for (Map.Entry<Integer, double[]> each : rows.get(i).entrySet()) {
          double share = Math.max(MIN_SHARE, each.getValue()[0] / loads[i]);
          shares.put(snapshot.servers().get(each.getKey()).name(), share);
        }
      }
    }
    double sum = shares.values().stream().mapToDouble(share -> share).sum();
    shares.replaceAll((server, share) -> share / sum);
    return shares;
  }

  /** Calls per second that a server receives, by the name of each balancer that uses it. */
  public Map<String, Double> callRatesByUser(String server) {
    Map<String, Double> rates = new LinkedHashMap<>();
    for (int i = 0; i < loads.length; i++) {
      for (Map.Entry<Integer, double[]> each : rows.get(i).entrySet()) {
        if (snapshot.servers().get(each.getKey()).name().equals(server)) {
          rates.put(snapshot.instances().get(i).name(), each.getValue()[0]);
        }
      }
    }
    return rates;
  }

  /** Number of pairs of a balancer and a server that it uses. */
  public long pairCount() {
    return rows.stream().mapToLong(Map::size).sum();
  }

  /** Highest ratio of a server's call rate to its fair share by weight; 0 without servers. */
  public double spread() {
    double[] received = new double[snapshot.servers().size()];
    rows.forEach(row -> row.forEach((s, calls) -> received[s] += calls[0]));
    double total = Arrays.stream(loads).sum();
    double worst = 0;
    for (int s = 0; s < received.length; s++) {
      worst = Math.max(worst, received[s] / fairShare(s));
    }
    return worst;
  }

  /** The snapshot that the plan was computed from. */
  public FleetSnapshot snapshot() {
    return snapshot;
  }
}
