package heathswitch.testbed.subsetting;

import heathswitch.policy.subsetting.FleetSnapshot;
import heathswitch.policy.subsetting.SubsetPlan;
import heathswitch.policy.subsetting.SubsetSelector;
import heathswitch.policy.subsetting.SubsetSizing;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Balancers with the real module in virtual time, each with a clock of its own; what changes in the
 * fleet comes to each of them after a time of its own, so that for a while their views differ.
 */
final class FleetSimulation {
  static final long MILLI = 1_000_000L;

  /** News come no later, be they of balancers or of servers. */
  static final long LATE_NANOS = 6_000 * MILLI;

  /**
   * So long after the last news everybody uses what its plan says: steps of a tenth, drawn long.
   */
  static final long CALM_NANOS = LATE_NANOS + 40 * 1_500 * MILLI;

  static final SubsetSelector.Pace PACE = SubsetSelector.Pace.DEFAULT;
  private static final long LOOK_NANOS = 100 * MILLI;

  /** What a step may leave over by rounding, and by what is too little to be kept. */
  private static final double SLACK = 0.021;

  /** One balancer. */
  static final class Node {
    final String name;
    final String zone;
    final double rate;
    final long offset;
    double load;
    boolean alive = true;
    boolean paused;
    SubsetSelector subset;

    /** What it was told of the others and of the servers. */
    final Map<String, FleetSnapshot.Instance> instances = new TreeMap<>();

    final Map<String, FleetSnapshot.Server> servers = new TreeMap<>();

    /** What it used after its last step, by what list and when by its own clock. */
    Map<String, Double> used;

    long steppedNanos;
    long beganNanos;

    Node(String name, String zone, double load, double rate, long offset) {
      this.name = name;
      this.zone = zone;
      this.load = load;
      this.rate = rate;
      this.offset = offset;
    }
  }

  private record News(long at, Node to, Runnable what) {}

  private final SplittableRandom random;
  private final SubsetSizing rule;
  private final List<Node> nodes = new ArrayList<>();
  private final Map<String, FleetSnapshot.Server> servers = new TreeMap<>();
  private final List<News> news = new ArrayList<>();

  /** Which side of a split each balancer is on; all on one while there is none. */
  private final Map<String, Integer> sides = new HashMap<>();

  private long now;
  private int born;
  private String broken;

  FleetSimulation(int instances, int servers, int zones, SubsetSizing rule, long seed) {
    random = new SplittableRandom(seed);
    this.rule = rule;
    for (int i = 0; i < servers; i++) {
      add("s-" + born++, zones);
    }
    for (int i = 0; i < instances; i++) {
      Node node =
          new Node(
              "edge-" + i,
              zone(i, zones),
              drawLoad(),
              0.98 + 0.04 * random.nextDouble(),
              random.nextLong(1L << 50));
      nodes.add(node);
      sides.put(node.name, 0);
    }
    nodes.forEach(this::begin);
  }

  private static String zone(int number, int zones) {
    return zones < 2 ? "" : "z" + number % zones;
  }

  private double drawLoad() {
    return 20 * Math.exp(random.nextGaussian());
  }

  private void add(String name, int zones) {
    int number = servers.size();
    servers.put(
        name,
        new FleetSnapshot.Server(name, zone(number, zones), number % 7, 1 << random.nextInt(3)));
  }

  List<Node> nodes() {
    return nodes;
  }

  long nowMillis() {
    return now / MILLI;
  }

  /** The first thing that must never be, or null. */
  String broken() {
    return broken;
  }

  private void found(String what) {
    broken = broken == null ? nowMillis() + " ms: " + what : broken;
  }

  private long clock(Node node) {
    return node.offset + (long) (now * node.rate);
  }

  // ---- what happens ----

  /** Its process ends; the others hear of it one after the other. */
  void kill(Node node) {
    if (node.alive) {
      node.alive = false;
      tellAll(node);
    }
  }

  /** A new process where there is none. */
  void start(Node node) {
    if (!node.alive) {
      begin(node);
    }
  }

  /** A new process: it hears who is there within the first seconds. */
  private void begin(Node node) {
    node.alive = true;
    node.paused = false;
    node.subset = new SubsetSelector(node.name, rule, PACE, random.nextLong());
    node.used = null;
    node.beganNanos = clock(node);
    node.instances.clear();
    node.servers.clear();
    node.servers.putAll(servers);
    node.instances.put(node.name, instance(node));
    for (Node other : nodes) {
      if (other.alive && other != node && sides.get(other.name).equals(sides.get(node.name))) {
        tell(node, 1000, () -> hear(node, other));
        tell(other, LATE_NANOS / MILLI, () -> hear(other, node));
      }
    }
  }

  private static FleetSnapshot.Instance instance(Node node) {
    return new FleetSnapshot.Instance(node.name, node.zone, node.load);
  }

  private void tell(Node to, long mostMillis, Runnable what) {
    news.add(new News(now + random.nextLong(mostMillis) * MILLI, to, what));
  }

  private void tellAll(Node of) {
    for (Node node : nodes) {
      if (node != of) {
        tell(node, LATE_NANOS / MILLI, () -> hear(node, of));
      }
    }
  }

  /** What a node holds of another is what holds when the news come: older ones go behind. */
  private void hear(Node node, Node of) {
    if (of.alive && sides.get(of.name).equals(sides.get(node.name))) {
      node.instances.put(of.name, instance(of));
    } else {
      node.instances.remove(of.name);
    }
  }

  /** Something at random; in words. */
  String fault() {
    Node one = nodes.get(random.nextInt(nodes.size()));
    switch (random.nextInt(9)) {
      case 0 -> {
        kill(one);
        return "kill " + one.name;
      }
      case 1, 2 -> {
        start(one);
        return "start " + one.name;
      }
      case 3 -> {
        one.paused = !one.paused;
        return (one.paused ? "stop " : "wake ") + one.name;
      }
      case 4 -> {
        load(one, drawLoad());
        return "load of " + one.name + ' ' + one.load;
      }
      case 5 -> {
        split(random.nextInt(4));
        return "split " + sides;
      }
      case 6 -> {
        return lose();
      }
      default -> {
        String name = "s-" + born++;
        add(name, zones());
        FleetSnapshot.Server fresh = servers.get(name);
        nodes.forEach(node -> tell(node, 6000, () -> list(node, fresh)));
        return "new " + name;
      }
    }
  }

  /** One comes that may have gone again meanwhile. */
  private void list(Node node, FleetSnapshot.Server fresh) {
    if (servers.containsKey(fresh.name())) {
      node.servers.put(fresh.name(), fresh);
    }
  }

  private int zones() {
    return (int) nodes.stream().map(node -> node.zone).distinct().count();
  }

  private String lose() {
    if (servers.size() < 4) {
      return "nothing";
    }
    String name = new ArrayList<>(servers.keySet()).get(random.nextInt(servers.size()));
    servers.remove(name);
    nodes.forEach(node -> tell(node, 6000, () -> node.servers.remove(name)));
    return "gone " + name;
  }

  /** Balancers of other sides are not there any more, those of one's own are. */
  void split(int parts) {
    for (Node node : nodes) {
      sides.put(node.name, parts < 2 ? 0 : random.nextInt(parts));
    }
    for (Node node : nodes) {
      for (Node other : nodes) {
        if (node != other) {
          tell(node, LATE_NANOS / MILLI, () -> hear(node, other));
        }
      }
    }
  }

  /** Nothing is split, stopped or dead any more, and all hear it. */
  void heal() {
    nodes.forEach(node -> node.paused = false);
    split(1);
    nodes.forEach(this::start);
    for (Node node : nodes) {
      for (FleetSnapshot.Server each : servers.values()) {
        tell(node, LATE_NANOS / MILLI, () -> list(node, each));
      }
    }
  }

  // ---- time ----

  void pass(long nanos) {
    long until = now + nanos;
    while (now < until && broken == null) {
      now += LOOK_NANOS;
      List<News> due = news.stream().filter(each -> each.at() <= now).toList();
      news.removeAll(due);
      due.stream().filter(each -> each.to().alive).forEach(each -> each.what().run());
      for (Node node : nodes) {
        if (node.alive && !node.paused) {
          look(node);
        }
      }
    }
  }

  private void look(Node node) {
    FleetSnapshot census =
        new FleetSnapshot(List.copyOf(node.instances.values()), List.copyOf(node.servers.values()));
    long clock = clock(node);
    boolean stepped = node.subset.look(clock, census);
    Map<String, Double> uses = node.subset.uses();
    if (uses == null) {
      if (node.used != null) {
        found(node.name + " uses all again");
      } else if (clock - node.beganNanos > 2 * PACE.settleNanos() + 2 * LOOK_NANOS) {
        found(node.name + " does not narrow");
      }
      return;
    }
    if (node.used == null && clock - node.beganNanos < PACE.settleNanos()) {
      found(node.name + " narrows before it has heard who is there");
    }
    if (stepped) {
      if (node.used != null && clock - node.steppedNanos < PACE.stepNanos() / 2) {
        found(node.name + " steps twice within half a step");
      }
      judge(node, uses);
      node.steppedNanos = clock;
      node.used = uses;
    } else if (!uses.equals(node.used)) {
      found(node.name + " uses others without a step");
    }
  }

  /** What one step may do. */
  private void judge(Node node, Map<String, Double> uses) {
    double sum = 0;
    for (Map.Entry<String, Double> each : uses.entrySet()) {
      sum += each.getValue();
      if (!(each.getValue() > 0)) {
        found(node.name + " gives " + each.getValue() + " to " + each.getKey());
      }
      if (!node.servers.containsKey(each.getKey())) {
        found(node.name + " uses " + each.getKey() + ", which is not listed");
      }
    }
    if (Math.abs(sum - 1) > 1e-6) {
      found(node.name + " gives " + sum + " of its calls");
    }
    if (node.used == null) {
      return;
    }
    double kept = 0;
    for (Map.Entry<String, Double> each : node.used.entrySet()) {
      kept += node.servers.containsKey(each.getKey()) ? each.getValue() : 0;
    }
    if (kept <= 0) {
      return;
    }
    double moved = 0;
    for (Map.Entry<String, Double> each : uses.entrySet()) {
      double then = node.used.getOrDefault(each.getKey(), 0.0) / kept;
      moved += Math.max(0, each.getValue() - then);
    }
    if (moved > PACE.mostMoved() + SLACK) {
      found(node.name + " moves " + moved + " of its calls in a step");
    }
  }

  // ---- when all is calm ----

  /** What does not hold although nothing has happened for long, or null. */
  String unsettled() {
    List<Node> alive = nodes.stream().filter(node -> node.alive).toList();
    FleetSnapshot census =
        new FleetSnapshot(
            alive.stream().map(FleetSimulation::instance).toList(), List.copyOf(servers.values()));
    SubsetPlan plan = SubsetPlan.of(census, rule);
    Map<String, Double> gets = new TreeMap<>();
    Map<String, Integer> users = new TreeMap<>();
    double total = 0;
    for (Node node : alive) {
      Map<String, Double> uses = node.subset.uses();
      if (uses == null || !uses.keySet().equals(plan.row(node.name).keySet())) {
        return node.name + " uses " + uses + ", not " + plan.row(node.name);
      }
      double apart = node.subset.apart();
      if (apart > 1e-6) {
        return node.name + " is " + apart + " apart from its plan";
      }
      Set<Long> cells = new HashSet<>();
      uses.keySet().forEach(each -> cells.add(servers.get(each).cell()));
      total += node.load;
      uses.forEach(
          (server, part) -> {
            gets.merge(server, part * node.load, Double::sum);
            users.merge(server, 1, Integer::sum);
          });
      if (cells.size() < Math.min(rule.domains(), cellsFor(node))) {
        return node.name + " has " + cells.size() + " cells";
      }
    }
    if (!new TreeSet<>(gets.keySet()).equals(new TreeSet<>(servers.keySet()))) {
      return "not used: " + servers.keySet() + " but " + gets.keySet();
    }
    double weight = census.weight();
    boolean believed = believed();
    for (FleetSnapshot.Server each : servers.values()) {
      double due = each.weight() / weight * total;
      if (believed && gets.get(each.name()) > 1.1 * due) {
        return each.name() + " gets " + gets.get(each.name()) + " of " + due;
      }
      if (zones() < 2 && users.get(each.name()) < Math.min(rule.users(), alive.size())) {
        return each.name() + " has " + users.get(each.name()) + " users";
      }
    }
    return null;
  }

  /** Whether no load is above twice what all others have: such a one is not planned for. */
  boolean believed() {
    double sum = nodes.stream().filter(node -> node.alive).mapToDouble(node -> node.load).sum();
    return nodes.stream()
        .filter(node -> node.alive)
        .allMatch(node -> node.load <= 2 * (sum - node.load));
  }

  /** Cells that a balancer can have: those of its zone at least, if servers are there. */
  private long cellsFor(Node node) {
    return servers.values().stream()
        .filter(each -> each.zone().equals(node.zone))
        .map(FleetSnapshot.Server::cell)
        .distinct()
        .count();
  }

  /** What all use, to be compared with later. */
  Map<String, Map<String, Double>> uses() {
    Map<String, Map<String, Double>> uses = new TreeMap<>();
    nodes.stream()
        .filter(node -> node.alive)
        .forEach(node -> uses.put(node.name, node.subset.uses()));
    return uses;
  }

  /** Servers that nobody uses; one that has not narrowed yet uses all. */
  Set<String> uncovered() {
    Set<String> left = new TreeSet<>(servers.keySet());
    for (Map<String, Double> each : uses().values()) {
      if (each == null) {
        return Set.of();
      }
      left.removeAll(each.keySet());
    }
    return left;
  }

  /** Pairs of a balancer and a server that it uses, those that narrow alone. */
  int pairs() {
    return uses().values().stream().mapToInt(each -> each == null ? 0 : each.size()).sum();
  }

  /** A load that is another one from now on, as all hear by and by. */
  void load(Node node, double perSecond) {
    node.load = perSecond;
    node.instances.put(node.name, instance(node));
    tellAll(node);
  }

  /** The most loaded server against what is due to its weight, by what is used now. */
  double spread() {
    Map<String, Double> gets = new TreeMap<>();
    double total = 0;
    for (Node node : nodes) {
      if (node.alive) {
        total += node.load;
        node.subset.uses().forEach((s, part) -> gets.merge(s, part * node.load, Double::sum));
      }
    }
    double weight = servers.values().stream().mapToDouble(FleetSnapshot.Server::weight).sum();
    double worst = 0;
    for (Map.Entry<String, Double> each : gets.entrySet()) {
      double due = servers.get(each.getKey()).weight() / weight * total;
      worst = Math.max(worst, each.getValue() / due);
    }
    return worst;
  }
}
