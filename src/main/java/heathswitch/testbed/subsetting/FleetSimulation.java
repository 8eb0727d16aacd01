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
 * Simulates balancers that run the real subset selection, in virtual time and each with its own
 * clock. Each change of the fleet reaches each balancer after a random delay, so that their views
 * differ for a while. Checks what must hold in each step and after the fleet has settled.
 */
final class FleetSimulation {
  static final long MILLI = 1_000_000L;

  /** Maximum delay after which a balancer learns of a change of balancers or servers. */
  static final long MAX_DELAY_NANOS = 6_000 * MILLI;

  /**
   * Time after the last change until every balancer follows its plan exactly: the maximum delay and
   * 40 steps, which each move at most a tenth of the calls, at the longest interval.
   */
  static final long CONVERGENCE_NANOS = MAX_DELAY_NANOS + 40 * 1_500 * MILLI;

  static final SubsetSelector.Pace PACE = SubsetSelector.Pace.DEFAULT;
  private static final long POLL_NANOS = 100 * MILLI;

  /** Tolerance for rounding and for servers that are dropped because their share is too small. */
  private static final double MOVED_SHARE_TOLERANCE = 0.021;

  /** A simulated balancer. */
  static final class Balancer {
    final String name;
    final String zone;
    final double clockRate;
    final long clockOffsetNanos;
    double load;
    boolean alive = true;
    boolean paused;
    SubsetSelector selector;

    /** The balancers and servers that it knows of. */
    final Map<String, FleetSnapshot.Instance> knownInstances = new TreeMap<>();

    final Map<String, FleetSnapshot.Server> knownServers = new TreeMap<>();

    /** Shares after its last step; null before the first one. */
    Map<String, Double> lastShares;

    /** Time of its last step, by its own clock. */
    long lastStepNanos;

    /** Time of its start, by its own clock. */
    long startedNanos;

    Balancer(String name, String zone, double load, double clockRate, long clockOffsetNanos) {
      this.name = name;
      this.zone = zone;
      this.load = load;
      this.clockRate = clockRate;
      this.clockOffsetNanos = clockOffsetNanos;
    }
  }

  /** An action that takes effect for one balancer at a later time. */
  private record Update(long atNanos, Balancer receiver, Runnable action) {}

  private final SplittableRandom random;
  private final SubsetSizing sizing;
  private final List<Balancer> balancers = new ArrayList<>();
  private final Map<String, FleetSnapshot.Server> servers = new TreeMap<>();
  private final List<Update> updates = new ArrayList<>();

  /** The side of the network split that each balancer is on; the same for all without a split. */
  private final Map<String, Integer> sides = new HashMap<>();

  private long now;
  private int createdServerCount;
  private String violation;

  FleetSimulation(int balancerCount, int serverCount, int zones, SubsetSizing sizing, long seed) {
    random = new SplittableRandom(seed);
    this.sizing = sizing;
    for (int i = 0; i < serverCount; i++) {
      addServer("s-" + createdServerCount++, zones);
    }
    for (int i = 0; i < balancerCount; i++) {
      Balancer balancer =
          new Balancer(
              "edge-" + i,
              zone(i, zones),
              drawLoad(),
              0.98 + 0.04 * random.nextDouble(),
              random.nextLong(1L << 50));
      balancers.add(balancer);
      sides.put(balancer.name, 0);
    }
    balancers.forEach(this::startProcess);
  }

  private static String zone(int number, int zones) {
    return zones < 2 ? "" : "z" + number % zones;
  }

  private double drawLoad() {
    return 20 * Math.exp(random.nextGaussian());
  }

  private void addServer(String name, int zones) {
    int number = servers.size();
    servers.put(
        name,
        new FleetSnapshot.Server(name, zone(number, zones), number % 7, 1 << random.nextInt(3)));
  }

  List<Balancer> balancers() {
    return balancers;
  }

  long nowMillis() {
    return now / MILLI;
  }

  /** The first violation of what must hold in each step, or null. */
  String violation() {
    return violation;
  }

  private void recordViolation(String description) {
    violation = violation == null ? nowMillis() + " ms: " + description : violation;
  }

  private long clockNanos(Balancer balancer) {
    return balancer.clockOffsetNanos + (long) (now * balancer.clockRate);
  }

  // ---- changes and faults ----

  /** Ends the process of a balancer; the others learn of it one after the other. */
  void kill(Balancer balancer) {
    if (balancer.alive) {
      balancer.alive = false;
      sendToAll(balancer);
    }
  }

  /** Starts the process of a balancer if it is not running. */
  void start(Balancer balancer) {
    if (!balancer.alive) {
      startProcess(balancer);
    }
  }

  /** Starts a process, which learns of the other balancers within the first second. */
  private void startProcess(Balancer balancer) {
    balancer.alive = true;
    balancer.paused = false;
    balancer.selector = new SubsetSelector(balancer.name, sizing, PACE, random.nextLong());
    balancer.lastShares = null;
    balancer.startedNanos = clockNanos(balancer);
    balancer.knownInstances.clear();
    balancer.knownServers.clear();
    balancer.knownServers.putAll(servers);
    balancer.knownInstances.put(balancer.name, instance(balancer));
    for (Balancer other : balancers) {
      if (other.alive
          && other != balancer
          && sides.get(other.name).equals(sides.get(balancer.name))) {
        send(balancer, 1000, () -> learnOf(balancer, other));
        send(other, MAX_DELAY_NANOS / MILLI, () -> learnOf(other, balancer));
      }
    }
  }

  private static FleetSnapshot.Instance instance(Balancer balancer) {
    return new FleetSnapshot.Instance(balancer.name, balancer.zone, balancer.load);
  }

  /** Performs an action for a balancer after a random delay. */
  private void send(Balancer receiver, long maxDelayMillis, Runnable action) {
    updates.add(new Update(now + random.nextLong(maxDelayMillis) * MILLI, receiver, action));
  }

  /** Lets all other balancers learn of the state of one. */
  private void sendToAll(Balancer subject) {
    for (Balancer balancer : balancers) {
      if (balancer != subject) {
        send(balancer, MAX_DELAY_NANOS / MILLI, () -> learnOf(balancer, subject));
      }
    }
  }

  /**
   * Sets what a balancer knows of another one to the state at the arrival of the update. Updates
   * that arrive out of order therefore never bring back an older state.
   */
  private void learnOf(Balancer balancer, Balancer other) {
    if (other.alive && sides.get(other.name).equals(sides.get(balancer.name))) {
      balancer.knownInstances.put(other.name, instance(other));
    } else {
      balancer.knownInstances.remove(other.name);
    }
  }

  /** Makes a random change or fault and returns its description. */
  String injectFault() {
    Balancer chosen = balancers.get(random.nextInt(balancers.size()));
    switch (random.nextInt(9)) {
      case 0 -> {
        kill(chosen);
        return "kill " + chosen.name;
      }
      case 1, 2 -> {
        start(chosen);
        return "start " + chosen.name;
      }
      case 3 -> {
        chosen.paused = !chosen.paused;
        return (chosen.paused ? "pause " : "resume ") + chosen.name;
      }
      case 4 -> {
        setLoad(chosen, drawLoad());
        return "load of " + chosen.name + ' ' + chosen.load;
      }
      case 5 -> {
        split(random.nextInt(4));
        return "split " + sides;
      }
      case 6 -> {
        return removeServer();
      }
      default -> {
        String name = "s-" + createdServerCount++;
        addServer(name, zoneCount());
        FleetSnapshot.Server added = servers.get(name);
        balancers.forEach(balancer -> send(balancer, 6000, () -> learnOfServer(balancer, added)));
        return "add " + name;
      }
    }
  }

  /** Tells a balancer of an added server, unless it has been removed meanwhile. */
  private void learnOfServer(Balancer balancer, FleetSnapshot.Server server) {
    if (servers.containsKey(server.name())) {
      balancer.knownServers.put(server.name(), server);
    }
  }

  private int zoneCount() {
    return (int) balancers.stream().map(balancer -> balancer.zone).distinct().count();
  }

  private String removeServer() {
    if (servers.size() < 4) {
      return "no server to remove";
    }
    String name = new ArrayList<>(servers.keySet()).get(random.nextInt(servers.size()));
    servers.remove(name);
    balancers.forEach(balancer -> send(balancer, 6000, () -> balancer.knownServers.remove(name)));
    return "remove " + name;
  }

  /**
   * Splits the network into parts at random, or heals it for one part: balancers see only those on
   * their own side.
   */
  void split(int parts) {
    for (Balancer balancer : balancers) {
      sides.put(balancer.name, parts < 2 ? 0 : random.nextInt(parts));
    }
    for (Balancer balancer : balancers) {
      for (Balancer other : balancers) {
        if (balancer != other) {
          send(balancer, MAX_DELAY_NANOS / MILLI, () -> learnOf(balancer, other));
        }
      }
    }
  }

  /** Ends all faults: heals the network and resumes or starts all balancers. */
  void heal() {
    balancers.forEach(balancer -> balancer.paused = false);
    split(1);
    balancers.forEach(this::start);
    for (Balancer balancer : balancers) {
      for (FleetSnapshot.Server each : servers.values()) {
        send(balancer, MAX_DELAY_NANOS / MILLI, () -> learnOfServer(balancer, each));
      }
    }
  }

  // ---- time ----

  /** Advances the virtual time; stops early at a violation. */
  void advance(long nanos) {
    long until = now + nanos;
    while (now < until && violation == null) {
      now += POLL_NANOS;
      List<Update> due = updates.stream().filter(each -> each.atNanos() <= now).toList();
      updates.removeAll(due);
      due.stream().filter(each -> each.receiver().alive).forEach(each -> each.action().run());
      for (Balancer balancer : balancers) {
        if (balancer.alive && !balancer.paused) {
          poll(balancer);
        }
      }
    }
  }

  private void poll(Balancer balancer) {
    FleetSnapshot snapshot =
        new FleetSnapshot(
            List.copyOf(balancer.knownInstances.values()),
            List.copyOf(balancer.knownServers.values()));
    long nowNanos = clockNanos(balancer);
    boolean stepped = balancer.selector.poll(nowNanos, snapshot);
    Map<String, Double> shares = balancer.selector.shares();
    if (shares == null) {
      if (balancer.lastShares != null) {
        recordViolation(balancer.name + " uses all servers again");
      } else if (nowNanos - balancer.startedNanos > 2 * PACE.settleNanos() + 2 * POLL_NANOS) {
        recordViolation(balancer.name + " does not switch to a subset");
      }
      return;
    }
    if (balancer.lastShares == null && nowNanos - balancer.startedNanos < PACE.settleNanos()) {
      recordViolation(balancer.name + " switches to a subset before the settle time has passed");
    }
    if (stepped) {
      if (balancer.lastShares != null && nowNanos - balancer.lastStepNanos < PACE.stepNanos() / 2) {
        recordViolation(balancer.name + " makes two steps within half a step interval");
      }
      checkStep(balancer, shares);
      balancer.lastStepNanos = nowNanos;
      balancer.lastShares = shares;
    } else if (!shares.equals(balancer.lastShares)) {
      recordViolation(balancer.name + " changes its shares without a step");
    }
  }

  /** Checks what must hold after each step. */
  private void checkStep(Balancer balancer, Map<String, Double> shares) {
    double sum = 0;
    for (Map.Entry<String, Double> each : shares.entrySet()) {
      sum += each.getValue();
      if (!(each.getValue() > 0)) {
        recordViolation(
            balancer.name + " sends a share of " + each.getValue() + " to " + each.getKey());
      }
      if (!balancer.knownServers.containsKey(each.getKey())) {
        recordViolation(balancer.name + " uses " + each.getKey() + ", which is not listed");
      }
    }
    if (Math.abs(sum - 1) > 1e-6) {
      recordViolation(balancer.name + " sends shares with a sum of " + sum);
    }
    if (balancer.lastShares == null) {
      return;
    }
    double kept = 0;
    for (Map.Entry<String, Double> each : balancer.lastShares.entrySet()) {
      kept += balancer.knownServers.containsKey(each.getKey()) ? each.getValue() : 0;
    }
    if (kept <= 0) {
      return;
    }
    double moved = 0;
    for (Map.Entry<String, Double> each : shares.entrySet()) {
      double previous = balancer.lastShares.getOrDefault(each.getKey(), 0.0) / kept;
      moved += Math.max(0, each.getValue() - previous);
    }
    if (moved > PACE.maxMovedShare() + MOVED_SHARE_TOLERANCE) {
      recordViolation(balancer.name + " moves a share of " + moved + " of its calls in one step");
    }
  }

  // ---- after the fleet has settled ----

  /** What does not hold although nothing has changed for long, or null. */
  String settledViolation() {
    List<Balancer> alive = balancers.stream().filter(balancer -> balancer.alive).toList();
    FleetSnapshot snapshot =
        new FleetSnapshot(
            alive.stream().map(FleetSimulation::instance).toList(), List.copyOf(servers.values()));
    SubsetPlan plan = SubsetPlan.compute(snapshot, sizing);
    Map<String, Double> received = new TreeMap<>();
    Map<String, Integer> users = new TreeMap<>();
    double total = 0;
    for (Balancer balancer : alive) {
      Map<String, Double> shares = balancer.selector.shares();
      if (shares == null || !shares.keySet().equals(plan.sharesOf(balancer.name).keySet())) {
        return balancer.name + " uses " + shares + ", not " + plan.sharesOf(balancer.name);
      }
      double distance = balancer.selector.distanceToPlan();
      if (distance > 1e-6) {
        return balancer.name + " sends a share of " + distance + " otherwise than planned";
      }
      Set<Long> cells = new HashSet<>();
      shares.keySet().forEach(each -> cells.add(servers.get(each).cell()));
      total += balancer.load;
      shares.forEach(
          (server, share) -> {
            received.merge(server, share * balancer.load, Double::sum);
            users.merge(server, 1, Integer::sum);
          });
      if (cells.size() < Math.min(sizing.minCells(), cellsInZoneOf(balancer))) {
        return balancer.name + " uses servers in only " + cells.size() + " cells";
      }
    }
    if (!new TreeSet<>(received.keySet()).equals(new TreeSet<>(servers.keySet()))) {
      return "servers are " + servers.keySet() + " but only these are used: " + received.keySet();
    }
    double totalWeight = snapshot.totalWeight();
    boolean plausible = loadsArePlausible();
    for (FleetSnapshot.Server each : servers.values()) {
      double fairShare = each.weight() / totalWeight * total;
      if (plausible && received.get(each.name()) > 1.1 * fairShare) {
        return each.name()
            + " gets "
            + received.get(each.name())
            + " calls/s, its fair share is "
            + fairShare;
      }
      if (zoneCount() < 2 && users.get(each.name()) < Math.min(sizing.minUsers(), alive.size())) {
        return each.name() + " is used by only " + users.get(each.name()) + " balancers";
      }
    }
    return null;
  }

  /**
   * Whether no load is above twice the load of all other balancers together. Plans cap higher
   * loads, and then the servers are not loaded evenly.
   */
  boolean loadsArePlausible() {
    double sum =
        balancers.stream()
            .filter(balancer -> balancer.alive)
            .mapToDouble(balancer -> balancer.load)
            .sum();
    return balancers.stream()
        .filter(balancer -> balancer.alive)
        .allMatch(balancer -> balancer.load <= 2 * (sum - balancer.load));
  }

  /** Number of cells that a balancer can use at least: those with servers in its zone. */
  private long cellsInZoneOf(Balancer balancer) {
    return servers.values().stream()
        .filter(each -> each.zone().equals(balancer.zone))
        .map(FleetSnapshot.Server::cell)
        .distinct()
        .count();
  }

  /** The shares of all running balancers; null for a balancer that still uses all servers. */
  Map<String, Map<String, Double>> shares() {
    Map<String, Map<String, Double>> shares = new TreeMap<>();
    balancers.stream()
        .filter(balancer -> balancer.alive)
        .forEach(balancer -> shares.put(balancer.name, balancer.selector.shares()));
    return shares;
  }

  /** Servers that no balancer uses; empty while any balancer still uses all servers. */
  Set<String> uncovered() {
    Set<String> uncovered = new TreeSet<>(servers.keySet());
    for (Map<String, Double> each : shares().values()) {
      if (each == null) {
        return Set.of();
      }
      uncovered.removeAll(each.keySet());
    }
    return uncovered;
  }

  /** Number of pairs of a balancer and a server, without balancers that still use all servers. */
  int pairCount() {
    return shares().values().stream().mapToInt(each -> each == null ? 0 : each.size()).sum();
  }

  /** Changes the load of a balancer; the others learn of it after a delay. */
  void setLoad(Balancer balancer, double perSecond) {
    balancer.load = perSecond;
    balancer.knownInstances.put(balancer.name, instance(balancer));
    sendToAll(balancer);
  }

  /** Highest ratio of a server's current call rate to its fair share by weight. */
  double spread() {
    Map<String, Double> received = new TreeMap<>();
    double total = 0;
    for (Balancer balancer : balancers) {
      if (balancer.alive) {
        total += balancer.load;
        balancer
            .selector
            .shares()
            .forEach((s, share) -> received.merge(s, share * balancer.load, Double::sum));
      }
    }
    double totalWeight = servers.values().stream().mapToDouble(FleetSnapshot.Server::weight).sum();
    double worst = 0;
    for (Map.Entry<String, Double> each : received.entrySet()) {
      double fairShare = servers.get(each.getKey()).weight() / totalWeight * total;
      worst = Math.max(worst, each.getValue() / fairShare);
    }
    return worst;
  }
}
