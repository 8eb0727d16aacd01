package heathswitch.testbed.subsetting;

import heathswitch.policy.subsetting.FleetSnapshot;
import heathswitch.policy.subsetting.FleetSnapshot.Instance;
import heathswitch.policy.subsetting.FleetSnapshot.Server;
import heathswitch.policy.subsetting.SubsetPlan;
import heathswitch.policy.subsetting.SubsetSizing;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Strategies by which balancers select subsets without communication: each balancer computes the
 * same plan from the same snapshot of the fleet, and uses its own part of it.
 */
enum SubsettingStrategy {
  /** Every balancer uses all servers. */
  ALL {
    @Override
    Map<String, Map<String, Double>> plan(FleetSnapshot snapshot, int width) {
      return weighted(snapshot, each -> snapshot.servers());
    }
  },
  /** Each balancer uses a random sample of servers, seeded by its name. */
  RANDOM {
    @Override
    Map<String, Map<String, Double>> plan(FleetSnapshot snapshot, int width) {
      return weighted(
          snapshot,
          each -> {
            List<Server> sample = new ArrayList<>(snapshot.servers());
            shuffle(sample, hash(each.name(), ""));
            return sample.subList(0, subsetSize(snapshot, each, width));
          });
    }
  },
  /**
   * Deterministic subsetting: in each round all servers are shuffled and divided into subsets,
   * which go to the balancers in the order of their names.
   */
  POSITION {
    @Override
    Map<String, Map<String, Double>> plan(FleetSnapshot snapshot, int width) {
      int size = Math.min(width, snapshot.servers().size());
      int subsetsPerRound = snapshot.servers().size() / size;
      Map<String, Integer> positions = new HashMap<>();
      snapshot.instances().forEach(each -> positions.put(each.name(), positions.size()));
      return weighted(
          snapshot,
          each -> {
            int position = positions.get(each.name());
            List<Server> shuffled = new ArrayList<>(snapshot.servers());
            shuffle(shuffled, position / subsetsPerRound);
            int from = position % subsetsPerRound * size;
            return shuffled.subList(from, from + size);
          });
    }
  },
  /** Consistent hashing: each balancer uses the servers that follow it on a ring of hashes. */
  RING {
    @Override
    Map<String, Map<String, Double>> plan(FleetSnapshot snapshot, int width) {
      List<Server> ring = new ArrayList<>(snapshot.servers());
      ring.sort(Comparator.comparingLong(server -> hash(server.name(), "ring")));
      return weighted(
          snapshot,
          each -> {
            long position = hash(each.name(), "ring");
            int from = 0;
            while (from < ring.size() && hash(ring.get(from).name(), "ring") < position) {
              from++;
            }
            List<Server> successors = new ArrayList<>();
            for (int i = 0; i < subsetSize(snapshot, each, width); i++) {
              successors.add(ring.get((from + i) % ring.size()));
            }
            return successors;
          });
    }
  },
  /** Weighted rendezvous hashing: each balancer uses the servers with the lowest scores for it. */
  RENDEZVOUS {
    @Override
    Map<String, Map<String, Double>> plan(FleetSnapshot snapshot, int width) {
      return weighted(
          snapshot, each -> lowestServers(snapshot, each, subsetSize(snapshot, each, width)));
    }
  },
  /**
   * Deterministic aperture: each balancer uses an arc of the ring of servers with a length
   * proportional to its load. The arcs follow one another, and a server at an end of an arc gets a
   * fraction of the calls that a whole one gets.
   */
  APERTURE {
    @Override
    Map<String, Map<String, Double>> plan(FleetSnapshot snapshot, int width) {
      List<Server> ring = new ArrayList<>(snapshot.servers());
      ring.sort(Comparator.comparingLong(server -> hash(server.name(), "ring")));
      // Number of times that all arcs together go around the ring; makes their mean length width.
      double turns = Math.max(1, (double) width * snapshot.instances().size() / ring.size());
      Map<String, Map<String, Double>> plan = new LinkedHashMap<>();
      double start = 0;
      for (Instance each : snapshot.instances()) {
        double length = turns * ring.size() * each.load() / snapshot.totalLoad();
        Map<String, Double> row = new LinkedHashMap<>();
        double end = start + length;
        for (double from = start; from < end - 1e-9; ) {
          double until = Math.min(end, Math.floor(from + 1e-9) + 1);
          String server = ring.get((int) Math.floor(from + 1e-9) % ring.size()).name();
          row.merge(server, (until - from) / length, Double::sum);
          from = until;
        }
        plan.put(each.name(), row);
        start = end;
      }
      return plan;
    }
  },
  /**
   * Selects servers as {@link #RENDEZVOUS} does and scales the call rates by balancer and by server
   * in turn, until each balancer sends its whole load and each server receives its fair share.
   */
  SCALED {
    @Override
    Map<String, Map<String, Double>> plan(FleetSnapshot snapshot, int width) {
      return scaled(snapshot, RENDEZVOUS.plan(snapshot, width));
    }
  },
  /**
   * Each server selects balancers by rendezvous hashing weighted by load, and each balancer also
   * selects servers by itself.
   */
  NAMED {
    @Override
    Map<String, Map<String, Double>> plan(FleetSnapshot snapshot, int width) {
      // Rounded to a power of two: an exact count would change with each balancer, for all servers.
      double exact = (double) width * snapshot.instances().size() / snapshot.servers().size();
      int usersPerServer =
          Math.max(MIN_USERS, 1 << Math.max(0, Math.round(Math.log(exact) / Math.log(2))));
      Map<String, List<Server>> selected = new HashMap<>();
      for (Instance each : snapshot.instances()) {
        selected.put(each.name(), new ArrayList<>(lowestServers(snapshot, each, MIN_OWN)));
      }
      for (Server server : snapshot.servers()) {
        for (Instance user : lowestInstances(snapshot, server, usersPerServer)) {
          List<Server> subset = selected.get(user.name());
          if (!subset.contains(server)) {
            subset.add(server);
          }
        }
      }
      return weighted(snapshot, each -> selected.get(each.name()));
    }
  },
  /** {@link SubsetPlan}, which balancers use: {@link #NAMED} with call rates scaled as above. */
  NAMED_SCALED {
    @Override
    Map<String, Map<String, Double>> plan(FleetSnapshot snapshot, int width) {
      SubsetPlan plan = SubsetPlan.compute(snapshot, new SubsetSizing(width, MIN_USERS, MIN_OWN));
      Map<String, Map<String, Double>> rows = new LinkedHashMap<>();
      snapshot.instances().forEach(each -> rows.put(each.name(), plan.sharesOf(each.name())));
      return rows;
    }
  };

  private static final int SCALING_ROUNDS = 40;

  /** Minimum number of balancers that use each server, if the fleet has that many. */
  private static final int MIN_USERS = 2;

  /** Number of servers that each balancer selects by itself. */
  private static final int MIN_OWN = 2;

  /** Minimum size of a subset: this many servers may fail before a balancer has none left. */
  private static final int MIN_SUBSET_SIZE = 4;

  /**
   * Computes the share of its calls that each balancer sends to each server, by balancer and
   * server.
   *
   * @param width number of servers in the subset of a balancer of mean load
   */
  abstract Map<String, Map<String, Double>> plan(FleetSnapshot snapshot, int width);

  /** Selects the subset of a balancer. */
  private interface Selection {
    List<Server> of(Instance instance);
  }

  /** A plan in which each balancer sends calls to its servers in proportion to their weights. */
  private static Map<String, Map<String, Double>> weighted(
      FleetSnapshot snapshot, Selection selection) {
    Map<String, Map<String, Double>> plan = new LinkedHashMap<>();
    for (Instance each : snapshot.instances()) {
      List<Server> subset = selection.of(each);
      double totalWeight = subset.stream().mapToDouble(Server::weight).sum();
      Map<String, Double> row = new LinkedHashMap<>();
      subset.forEach(server -> row.put(server.name(), server.weight() / totalWeight));
      plan.put(each.name(), row);
    }
    return plan;
  }

  /** Size of the subset of a balancer, proportional to its load; at most all servers. */
  private static int subsetSize(FleetSnapshot snapshot, Instance each, int width) {
    double meanLoad = snapshot.totalLoad() / snapshot.instances().size();
    long size = Math.round(width * each.load() / meanLoad);
    return (int) Math.min(snapshot.servers().size(), Math.max(MIN_SUBSET_SIZE, size));
  }

  private static Map<String, Map<String, Double>> scaled(
      FleetSnapshot snapshot, Map<String, Map<String, Double>> plan) {
    Map<String, Double> fairShares = new HashMap<>();
    for (Server each : snapshot.servers()) {
      fairShares.put(each.name(), each.weight() / snapshot.totalWeight() * snapshot.totalLoad());
    }
    for (int round = 0; round < SCALING_ROUNDS; round++) {
      Map<String, Double> received = received(snapshot, plan);
      for (Instance each : snapshot.instances()) {
        Map<String, Double> row = plan.get(each.name());
        row.replaceAll((server, share) -> share * fairShares.get(server) / received.get(server));
        double sum = row.values().stream().mapToDouble(share -> share).sum();
        row.replaceAll((server, share) -> share / sum);
      }
    }
    return plan;
  }

  private static List<Instance> lowestInstances(FleetSnapshot snapshot, Server server, int limit) {
    Map<Instance, Double> scores = new HashMap<>();
    for (Instance each : snapshot.instances()) {
      scores.put(each, -Math.log(uniform(each.name(), server.name())) / each.load());
    }
    List<Instance> order = new ArrayList<>(snapshot.instances());
    order.sort(Comparator.comparingDouble(scores::get));
    return order.subList(0, Math.min(limit, order.size()));
  }

  /** A pseudo-random number between 0 and 1, both excluded, that depends only on the two names. */
  private static double uniform(String instance, String server) {
    return (hash(instance, server) >>> 11) * 0x1.0p-53 + 0x1.0p-54;
  }

  private static List<Server> lowestServers(FleetSnapshot snapshot, Instance each, int count) {
    Map<Server, Double> scores = new HashMap<>();
    for (Server server : snapshot.servers()) {
      scores.put(server, -Math.log(uniform(each.name(), server.name())) / server.weight());
    }
    List<Server> order = new ArrayList<>(snapshot.servers());
    order.sort(Comparator.comparingDouble(scores::get));
    return order.subList(0, count);
  }

  /** Calls per second that each server receives under a plan. */
  static Map<String, Double> received(
      FleetSnapshot snapshot, Map<String, Map<String, Double>> plan) {
    Map<String, Double> received = new HashMap<>();
    for (Instance each : snapshot.instances()) {
      plan.get(each.name())
          .forEach((server, share) -> received.merge(server, share * each.load(), Double::sum));
    }
    return received;
  }

  private static void shuffle(List<Server> servers, long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    Server[] all = servers.toArray(Server[]::new);
    for (int i = all.length - 1; i > 0; i--) {
      int other = random.nextInt(i + 1);
      Server swapped = all[i];
      all[i] = all[other];
      all[other] = swapped;
    }
    servers.clear();
    servers.addAll(Arrays.asList(all));
  }

  /** A pseudo-random number that depends only on the two names. */
  private static long hash(String one, String other) {
    long seed = (long) one.hashCode() << 32 | other.hashCode() & 0xffffffffL;
    return new SplittableRandom(seed).nextLong();
  }
}
