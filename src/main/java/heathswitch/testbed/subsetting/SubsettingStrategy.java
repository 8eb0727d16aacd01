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
 * How balancers choose their servers without a word to each other: from the same census each
 * computes the same plan, and uses its own row of it.
 */
enum SubsettingStrategy {
  /** Everyone to everyone. */
  ALL {
    @Override
    Map<String, Map<String, Double>> plan(FleetSnapshot census, int width) {
      return even(census, each -> census.servers());
    }
  },
  /** So many drawn by chance, each balancer by its own name. */
  RANDOM {
    @Override
    Map<String, Map<String, Double>> plan(FleetSnapshot census, int width) {
      return even(
          census,
          each -> {
            List<Server> drawn = new ArrayList<>(census.servers());
            shuffle(drawn, hash(each.name(), ""));
            return drawn.subList(0, wide(census, each, width));
          });
    }
  },
  /** Shuffled rounds of all servers, dealt out by the position in the order of names. */
  POSITION {
    @Override
    Map<String, Map<String, Double>> plan(FleetSnapshot census, int width) {
      int each = Math.min(width, census.servers().size());
      int hands = census.servers().size() / each;
      Map<String, Integer> positions = new HashMap<>();
      census.instances().forEach(one -> positions.put(one.name(), positions.size()));
      return even(
          census,
          one -> {
            int position = positions.get(one.name());
            List<Server> round = new ArrayList<>(census.servers());
            shuffle(round, position / hands);
            int from = position % hands * each;
            return round.subList(from, from + each);
          });
    }
  },
  /** Those that follow on a ring of names. */
  RING {
    @Override
    Map<String, Map<String, Double>> plan(FleetSnapshot census, int width) {
      List<Server> ring = new ArrayList<>(census.servers());
      ring.sort(Comparator.comparingLong(server -> hash(server.name(), "ring")));
      return even(
          census,
          each -> {
            long at = hash(each.name(), "ring");
            int from = 0;
            while (from < ring.size() && hash(ring.get(from).name(), "ring") < at) {
              from++;
            }
            List<Server> next = new ArrayList<>();
            for (int i = 0; i < wide(census, each, width); i++) {
              next.add(ring.get((from + i) % ring.size()));
            }
            return next;
          });
    }
  },
  /** Those whose names suit its own best, by the weighted rendezvous. */
  RENDEZVOUS {
    @Override
    Map<String, Map<String, Double>> plan(FleetSnapshot census, int width) {
      return even(census, each -> best(census, each, wide(census, each, width)));
    }
  },
  /**
   * An arc of the ring of servers as long as its load, one behind the other, with parts at ends.
   */
  APERTURE {
    @Override
    Map<String, Map<String, Double>> plan(FleetSnapshot census, int width) {
      List<Server> ring = new ArrayList<>(census.servers());
      ring.sort(Comparator.comparingLong(server -> hash(server.name(), "ring")));
      // So many turns of all arcs around the ring that each is as wide as is wanted on the mean.
      double turns = Math.max(1, (double) width * census.instances().size() / ring.size());
      Map<String, Map<String, Double>> plan = new LinkedHashMap<>();
      double at = 0;
      for (Instance each : census.instances()) {
        double length = turns * ring.size() * each.load() / census.load();
        Map<String, Double> row = new LinkedHashMap<>();
        double end = at + length;
        for (double from = at; from < end - 1e-9; ) {
          double until = Math.min(end, Math.floor(from + 1e-9) + 1);
          String server = ring.get((int) Math.floor(from + 1e-9) % ring.size()).name();
          row.merge(server, (until - from) / length, Double::sum);
          from = until;
        }
        plan.put(each.name(), row);
        at = end;
      }
      return plan;
    }
  },
  /**
   * Servers by the weighted rendezvous, and how much goes to each of them scaled, row and column in
   * turn, until each balancer gives what it has and each server gets what is due to its weight.
   */
  SCALED {
    @Override
    Map<String, Map<String, Double>> plan(FleetSnapshot census, int width) {
      return scaled(census, RENDEZVOUS.plan(census, width));
    }
  },
  /**
   * Each server names the balancers that suit it best, by their loads; each takes its best, too.
   */
  NAMED {
    @Override
    Map<String, Map<String, Double>> plan(FleetSnapshot census, int width) {
      // Rounded to a power of two: were it to follow each change, each change would move them all.
      double users = (double) width * census.instances().size() / census.servers().size();
      int many = Math.max(LEAST_USERS, 1 << Math.max(0, Math.round(Math.log(users) / Math.log(2))));
      Map<String, List<Server>> chosen = new HashMap<>();
      for (Instance each : census.instances()) {
        chosen.put(each.name(), new ArrayList<>(best(census, each, LEAST_OWN)));
      }
      for (Server server : census.servers()) {
        for (Instance user : users(census, server, many)) {
          List<Server> row = chosen.get(user.name());
          if (!row.contains(server)) {
            row.add(server);
          }
        }
      }
      return even(census, each -> chosen.get(each.name()));
    }
  },
  /** The same, and how much goes to each of them scaled as above: what balancers do. */
  NAMED_SCALED {
    @Override
    Map<String, Map<String, Double>> plan(FleetSnapshot census, int width) {
      SubsetPlan plan = SubsetPlan.of(census, new SubsetSizing(width, LEAST_USERS, LEAST_OWN));
      Map<String, Map<String, Double>> rows = new LinkedHashMap<>();
      census.instances().forEach(each -> rows.put(each.name(), plan.row(each.name())));
      return rows;
    }
  };

  private static final int ROUNDS = 40;

  /** No server has fewer balancers that use it, where there are as many. */
  private static final int LEAST_USERS = 2;

  /** Servers that a balancer takes whoever names it. */
  private static final int LEAST_OWN = 2;

  /** No balancer has fewer: so many may fail before it has none. */
  private static final int LEAST = 4;

  /**
   * What each balancer uses, and which part of its calls goes there.
   *
   * @param width servers of a balancer of mean load
   */
  abstract Map<String, Map<String, Double>> plan(FleetSnapshot census, int width);

  /** Whom a balancer uses. */
  private interface Choice {
    List<Server> of(Instance instance);
  }

  private static Map<String, Map<String, Double>> even(FleetSnapshot census, Choice choice) {
    Map<String, Map<String, Double>> plan = new LinkedHashMap<>();
    for (Instance each : census.instances()) {
      List<Server> chosen = choice.of(each);
      double weight = chosen.stream().mapToDouble(Server::weight).sum();
      Map<String, Double> row = new LinkedHashMap<>();
      chosen.forEach(server -> row.put(server.name(), server.weight() / weight));
      plan.put(each.name(), row);
    }
    return plan;
  }

  /** As many as its load is of the mean, within all that there are. */
  private static int wide(FleetSnapshot census, Instance each, int width) {
    double mean = census.load() / census.instances().size();
    long wide = Math.round(width * each.load() / mean);
    return (int) Math.min(census.servers().size(), Math.max(LEAST, wide));
  }

  private static Map<String, Map<String, Double>> scaled(
      FleetSnapshot census, Map<String, Map<String, Double>> plan) {
    Map<String, Double> due = new HashMap<>();
    for (Server each : census.servers()) {
      due.put(each.name(), each.weight() / census.weight() * census.load());
    }
    for (int round = 0; round < ROUNDS; round++) {
      Map<String, Double> gets = received(census, plan);
      for (Instance each : census.instances()) {
        Map<String, Double> row = plan.get(each.name());
        row.replaceAll((server, part) -> part * due.get(server) / gets.get(server));
        double sum = row.values().stream().mapToDouble(part -> part).sum();
        row.replaceAll((server, part) -> part / sum);
      }
    }
    return plan;
  }

  private static List<Instance> users(FleetSnapshot census, Server server, int many) {
    Map<Instance, Double> scores = new HashMap<>();
    for (Instance each : census.instances()) {
      scores.put(each, -Math.log(drawn(each.name(), server.name())) / each.load());
    }
    List<Instance> order = new ArrayList<>(census.instances());
    order.sort(Comparator.comparingDouble(scores::get));
    return order.subList(0, Math.min(many, order.size()));
  }

  /** Above 0 and below 1, alike for a pair of names. */
  private static double drawn(String instance, String server) {
    return (hash(instance, server) >>> 11) * 0x1.0p-53 + 0x1.0p-54;
  }

  private static List<Server> best(FleetSnapshot census, Instance each, int many) {
    Map<Server, Double> scores = new HashMap<>();
    for (Server server : census.servers()) {
      scores.put(server, -Math.log(drawn(each.name(), server.name())) / server.weight());
    }
    List<Server> order = new ArrayList<>(census.servers());
    order.sort(Comparator.comparingDouble(scores::get));
    return order.subList(0, many);
  }

  /** Calls a second that come to each server by a plan. */
  static Map<String, Double> received(FleetSnapshot census, Map<String, Map<String, Double>> plan) {
    Map<String, Double> gets = new HashMap<>();
    for (Instance each : census.instances()) {
      plan.get(each.name())
          .forEach((server, part) -> gets.merge(server, part * each.load(), Double::sum));
    }
    return gets;
  }

  private static void shuffle(List<Server> servers, long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    Server[] all = servers.toArray(Server[]::new);
    for (int i = all.length - 1; i > 0; i--) {
      int other = random.nextInt(i + 1);
      Server moved = all[i];
      all[i] = all[other];
      all[other] = moved;
    }
    servers.clear();
    servers.addAll(Arrays.asList(all));
  }

  /** A number that two names stand for, alike for any pair of them. */
  private static long hash(String one, String other) {
    long both = (long) one.hashCode() << 32 | other.hashCode() & 0xffffffffL;
    return new SplittableRandom(both).nextLong();
  }
}
