package heathswitch.testbed.subsetting;

import heathswitch.testbed.client.HttpLoadGenerator;
import heathswitch.testbed.client.LoadStats;
import heathswitch.testbed.fleet.Fleet;
import heathswitch.testbed.fleet.Node;
import heathswitch.testbed.gossip.GossipTraffic;
import heathswitch.testbed.measure.Figures;
import heathswitch.testbed.measure.Measurement;
import heathswitch.testbed.mutants.Mutant;
import heathswitch.testbed.server.ServerProfile;
import heathswitch.testbed.server.ServiceTime;
import heathswitch.testbed.server.SimulatedServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;

/**
 * Measures subsetting: a fleet of processes that use subsets goes through growth, kills, a network
 * split and pauses, at the same time as a fleet of equal size that uses all servers. Also compares
 * the subsetting strategies and runs schedules of faults in virtual time.
 */
public final class SubsetsMeasurement implements Measurement {
  private static final long SEED = 29;
  private static final long TIMEOUT_MILLIS = 120_000;

  /** Relative loads of the instances, repeated if there are more instances. */
  private static final double[] RELATIVE_LOADS = {
    1, 0.4, 2.5, 0.8, 1.3, 0.6, 3, 1, 0.5, 1.6, 0.7, 2
  };

  /** An instance has settled when a smaller share of its calls differs from its plan. */
  private static final double MAX_SETTLED_DISTANCE = 0.02;

  /**
   * Dimensions of a measurement.
   *
   * @param first number of instances that are started first
   * @param perSecond calls per second of all clients together
   * @param phaseMillis duration of each phase in which the spread is measured
   * @param pausesMillis durations for which instances are paused, one after the other
   */
  private record Size(
      int instances,
      int first,
      int servers,
      int width,
      double perSecond,
      long phaseMillis,
      List<Integer> pausesMillis) {}

  /** Results of one fleet. */
  private static final class FleetResult {
    final Map<String, Double> spread = new HashMap<>();
    final List<Double> detectMillis = Collections.synchronizedList(new ArrayList<>());
    int connections;
    double p99;
    double goodput;
    int uncovered;
    long lost;
    long doubleRuns;
    int falseDeaths;
    double moved;
    double minMoved;
  }

  @Override
  public Figures run(boolean brief) throws Exception {
    Size size =
        brief
            ? new Size(5, 2, 16, 4, 250, 3000, List.of(1000))
            : new Size(12, 4, 48, 16, 600, 15_000, List.of(1000, 3000, 10_000));
    Figures.progress("a fleet with subsets and, at the same time, a fleet that uses all servers");
    ExecutorService executor = Executors.newFixedThreadPool(2);
    FleetResult full;
    FleetResult subset;
    try {
      Future<FleetResult> pendingFull = executor.submit(new FleetRun(size, false)::run);
      subset = new FleetRun(size, true).run();
      full = pendingFull.get();
    } finally {
      executor.shutdownNow();
    }
    Figures.progress("comparison of the subsetting strategies");
    Figures.progress(StrategyComparison.table(SampleFleets.create(12, 48, true, 1), 16));
    Figures.progress("schedules in virtual time");
    long schedules = brief ? 200 : 100_000;
    SubsetExplorer.Result explored = SubsetExplorer.runSchedules(1, schedules);
    if (explored.finding() != null) {
      Figures.progress(explored.finding().toString());
    }
    List<Mutant> tried = brief ? SubsetMutants.ALL.subList(0, 4) : SubsetMutants.ALL;
    List<Mutant> undetected = SubsetMutants.trials().undetected(tried);
    undetected.forEach(mutant -> Figures.progress("not detected: " + mutant));
    double[] detectMillis =
        subset.detectMillis.stream().mapToDouble(each -> each).sorted().toArray();
    int largeFleet = brief ? 100 : 1000;
    return new Figures()
        .add("instances", size.instances())
        .add("servers", size.servers())
        .add("connections", subset.connections)
        .add("connections_full", full.connections)
        .add("spread", round(subset.spread.get("grown")))
        .add("spread_full", round(full.spread.get("grown")))
        .add("spread_first", round(subset.spread.get("first")))
        .add("spread_after_growth", round(subset.spread.get("grown")))
        .add("spread_after_shrink", round(subset.spread.get("shrunk")))
        .add("spread_in_split", round(subset.spread.get("split")))
        .add("spread_healed", round(subset.spread.get("healed")))
        .add("spread_shrunk_full", round(full.spread.get("shrunk")))
        .add("moved_share", round(subset.moved))
        .add("moved_least", round(subset.minMoved))
        .add("uncovered", subset.uncovered)
        .add("p99_ratio", round(subset.p99 / full.p99))
        .add("goodput_share", round(subset.goodput / full.goodput))
        .add("lost", subset.lost)
        .add("double_runs", subset.doubleRuns)
        .add("false_deaths", subset.falseDeaths)
        .rounded(
            "detect_p99_ms",
            detectMillis.length == 0
                ? -1
                : detectMillis[(int) Math.min(detectMillis.length - 1, detectMillis.length * .99)])
        .rounded("msgs_per_member_s_10", GossipTraffic.messagesPerMemberPerSecond(10))
        .rounded(
            "msgs_per_member_s_" + largeFleet, GossipTraffic.messagesPerMemberPerSecond(largeFleet))
        .add("sim_spread_worst", round(explored.worstSpread()))
        .add("schedules", schedules)
        .add("violations", explored.finding() == null ? 0 : 1)
        .add("mutants", tried.size())
        .add("mutants_found", tried.size() - undetected.size());
  }

  private static double round(double value) {
    return Math.round(value * 1e4) / 1e4;
  }

  /** Takes one fleet through all phases. */
  private static final class FleetRun {
    private final Size size;
    private final boolean subsetting;
    private final FleetResult result = new FleetResult();
    private final Map<Node, HttpLoadGenerator> loads = new HashMap<>();
    private final List<HttpLoadGenerator> allLoads = new ArrayList<>();
    private final long startedNanos = System.nanoTime();
    private Fleet fleet;

    FleetRun(Size size, boolean subsetting) {
      this.size = size;
      this.subsetting = subsetting;
    }

    FleetResult run() throws Exception {
      try (Fleet started = new Fleet(SEED)) {
        fleet = started;
        fleet.servers(
            size.servers(), "front", ServerProfile.alwaysWarm(4, 64, ServiceTime.exponential(5)));
        fleet.withGossip("k1 c3Vic2V0LXN1YnNldC1zdWJzZXQtc3Vic2V0\n").startInitially(size.first());
        if (subsetting) {
          fleet.withSubsetting(
              "width = "
                  + size.width()
                  + "\nstep = \"200ms\"\nsettle = \"1s\"\nmost_moved = 0.1\nalone_steps = 20");
        }
        fleet.start(size.instances());
        List<Node> nodes = fleet.nodes();
        List<Node> first = nodes.subList(0, size.first());
        List<Node> others = nodes.subList(size.first(), nodes.size());
        load(first);
        awaitSettled(first, first.size());
        measureSpread("first");
        progress("growth to " + nodes.size() + " instances");
        fleet.startNodes(others);
        load(nodes);
        awaitSettled(nodes, nodes.size());
        measureSpread("grown");
        leaveAndReturn(nodes);
        killAndRestart(first, others);
        splitAndHeal(nodes);
        pauseOneByOne(nodes);
        collectResults();
      }
      return result;
    }

    /** Reports progress of the fleet with subsets only. */
    private void progress(String message) {
      if (subsetting) {
        Figures.progress(
            "  " + (System.nanoTime() - startedNanos) / 1_000_000_000L + " s " + message);
      }
    }

    /** Distributes the load of all clients over these instances, by their relative loads. */
    private void load(List<Node> nodes) throws InterruptedException {
      double sum = 0;
      for (Node node : nodes) {
        sum += relativeLoad(node);
      }
      for (Node node : nodes) {
        HttpLoadGenerator previous = loads.remove(node);
        if (previous != null) {
          previous.stop();
        }
        HttpLoadGenerator load = fleet.startLoad(node, size.perSecond() * relativeLoad(node) / sum);
        loads.put(node, load);
        allLoads.add(load);
      }
    }

    private double relativeLoad(Node node) {
      return RELATIVE_LOADS[fleet.nodes().indexOf(node) % RELATIVE_LOADS.length];
    }

    private void unload(List<Node> nodes) throws InterruptedException {
      for (Node node : nodes) {
        loads.remove(node).stop();
      }
    }

    private static Map<String, Object> page(Node node, String path) {
      try {
        return node.get(path);
      } catch (IOException e) {
        return Map.of();
      }
    }

    private static double number(Map<String, Object> page, String key) {
      return page.get(key) instanceof Number number ? number.doubleValue() : -1;
    }

    private static void await(String description, BooleanSupplier condition) throws Exception {
      long deadline = System.nanoTime() + TIMEOUT_MILLIS * 1_000_000L;
      while (!condition.getAsBoolean()) {
        if (System.nanoTime() > deadline) {
          throw new TimeoutException("timed out waiting until " + description);
        }
        Thread.sleep(5);
      }
    }

    /** Waits until each node sees this many balancers and follows its plan. */
    private void awaitSettled(List<Node> nodes, int balancers) throws Exception {
      for (Node node : nodes) {
        await(
            node.name() + " sees " + balancers + " balancers",
            () ->
                subsetting
                    ? isSettled(page(node, "subset"), balancers)
                    : number(page(node, "peers"), "there") == balancers);
      }
      // Reported loads become more exact with time; the changes that follow must settle, too.
      Thread.sleep(2 * size.phaseMillis() / 3);
      for (Node node : nodes) {
        await(
            node.name() + " has settled",
            () -> !subsetting || isSettled(page(node, "subset"), balancers));
      }
    }

    private static boolean isSettled(Map<String, Object> page, int balancers) {
      return number(page, "balancers") == balancers
          && Math.abs(number(page, "apart")) < MAX_SETTLED_DISTANCE
          && number(page, "uses") > 0;
    }

    /** Measures the calls of the most loaded server, divided by the mean, while nothing changes. */
    private void measureSpread(String name) throws InterruptedException {
      long[] before = received();
      for (HttpLoadGenerator load : loads.values()) {
        load.stats().takeLatencies();
      }
      Thread.sleep(size.phaseMillis());
      long[] after = received();
      long max = 0;
      long sum = 0;
      for (int i = 0; i < after.length; i++) {
        long calls = after[i] - before[i];
        result.uncovered += calls == 0 ? 1 : 0;
        max = Math.max(max, calls);
        sum += calls;
      }
      result.spread.put(name, (double) max * after.length / sum);
      if (name.equals("grown")) {
        var latencies = new org.HdrHistogram.Histogram(3_600_000_000L, 3);
        for (Map.Entry<Node, HttpLoadGenerator> each : loads.entrySet()) {
          latencies.add(each.getValue().stats().takeLatencies());
          result.connections += (int) number(page(each.getKey(), "status"), "connected_servers");
        }
        result.p99 = latencies.getValueAtPercentile(99);
      }
      progress(name + ": spread " + round(result.spread.get(name)));
    }

    private long[] received() {
      return fleet.servers().stream().mapToLong(SimulatedServer::receivedCount).toArray();
    }

    /**
     * Shuts one instance down and starts it again. Measures the share of the calls that the others
     * move to other servers because it leaves, and the lower bound of that share.
     */
    private void leaveAndReturn(List<Node> nodes) throws Exception {
      Node leaving = nodes.get(nodes.size() - 1);
      List<Node> rest = nodes.subList(0, nodes.size() - 1);
      Map<Node, Double> moved = new HashMap<>();
      rest.forEach(node -> moved.put(node, number(page(node, "subset"), "moved")));
      double total = 0;
      for (Node node : rest) {
        total += relativeLoad(node);
      }
      double minMoved = 0;
      if (subsetting && page(leaving, "subset").get("own") instanceof List<?> rows) {
        for (Object each : rows) {
          double share = ((Number) ((Map<?, ?>) each).get("part")).doubleValue();
          minMoved += Math.max(0, share - 1.0 / size.servers()) * relativeLoad(leaving) / total;
        }
      }
      unload(List.of(leaving));
      leaving.terminate();
      awaitSettled(rest, rest.size());
      double sum = 0;
      for (Node node : rest) {
        sum +=
            (number(page(node, "subset"), "moved") - moved.get(node)) * relativeLoad(node) / total;
      }
      result.moved = sum;
      result.minMoved = minMoved;
      progress("one instance has left: moved " + round(sum) + ", minimum " + round(minMoved));
      fleet.startNodes(List.of(leaving));
      load(nodes);
      awaitSettled(nodes, nodes.size());
    }

    /** Kills many instances at once, measures when the others detect it, and starts them again. */
    private void killAndRestart(List<Node> remaining, List<Node> killed) throws Exception {
      progress("kill of " + killed.size() + " instances");
      unload(killed);
      load(remaining);
      long killedNanos = System.nanoTime();
      fleet.forEachNode(killed, Node::kill);
      List<Thread> watchers = new ArrayList<>();
      for (Node node : remaining) {
        Thread watcher = new Thread(() -> recordDetectionTimes(node, killed, killedNanos), "watch");
        watcher.start();
        watchers.add(watcher);
      }
      for (Thread watcher : watchers) {
        watcher.join();
      }
      awaitSettled(remaining, remaining.size());
      measureSpread("shrunk");
      progress("restart of the killed instances");
      fleet.startNodes(killed);
      load(fleet.nodes());
      awaitSettled(fleet.nodes(), fleet.nodes().size());
    }

    private void recordDetectionTimes(Node observer, List<Node> killed, long killedNanos) {
      Set<String> undetected = new java.util.HashSet<>(killed.stream().map(Node::name).toList());
      while (!undetected.isEmpty()
          && System.nanoTime() - killedNanos < TIMEOUT_MILLIS * 1_000_000L) {
        for (String name : deadPeers(observer)) {
          if (undetected.remove(name)) {
            result.detectMillis.add((System.nanoTime() - killedNanos) / 1e6);
          }
        }
      }
    }

    /** Names of the peers that a node considers dead. */
    private static List<String> deadPeers(Node observer) {
      List<String> dead = new ArrayList<>();
      if (page(observer, "peers").get("peers") instanceof List<?> rows) {
        for (Object each : rows) {
          Map<?, ?> row = (Map<?, ?>) each;
          if ("dead".equals(row.get("standing"))) {
            dead.add(String.valueOf(row.get("name")));
          }
        }
      }
      return dead;
    }

    private void splitAndHeal(List<Node> nodes) throws Exception {
      progress("network split");
      int half = nodes.size() / 2;
      List<Node> one = nodes.subList(0, half);
      List<Node> other = nodes.subList(half, nodes.size());
      fleet.setPartitioned(one, other, true);
      awaitSettled(one, one.size());
      awaitSettled(other, other.size());
      measureSpread("split");
      fleet.setPartitioned(one, other, false);
      awaitSettled(nodes, nodes.size());
      measureSpread("healed");
    }

    /**
     * Pauses instances one after the other, for longer each time. A short pause must not make the
     * others declare an instance dead. Counts as false deaths the running instances that are
     * considered dead during a pause, and all instances that are considered dead at the end.
     */
    private void pauseOneByOne(List<Node> nodes) throws Exception {
      for (int i = 0; i < size.pausesMillis().size(); i++) {
        Node node = nodes.get(1 + i % (nodes.size() - 1));
        progress("pause of " + node.name() + " for " + size.pausesMillis().get(i) + " ms");
        unload(List.of(node));
        node.pause();
        long until = System.nanoTime() + size.pausesMillis().get(i) * 1_000_000L;
        while (System.nanoTime() < until) {
          for (Node each : nodes) {
            if (each != node) {
              result.falseDeaths +=
                  (int) deadPeers(each).stream().filter(name -> !name.equals(node.name())).count();
            }
          }
          Thread.sleep(100);
        }
        node.resume();
        awaitSettled(nodes, nodes.size());
        load(nodes);
      }
      awaitSettled(nodes, nodes.size());
      for (Node each : nodes) {
        result.falseDeaths += deadPeers(each).size();
      }
    }

    private void collectResults() throws Exception {
      for (HttpLoadGenerator load : loads.values()) {
        load.stop();
      }
      long served = 0;
      long calls = 0;
      for (HttpLoadGenerator load : allLoads) {
        served += load.stats().count(LoadStats.Result.SERVED);
        calls += load.stats().total();
      }
      result.goodput = (double) served / Math.max(1, calls);
      result.lost = fleet.ledger().lostCount();
      result.doubleRuns = fleet.ledger().duplicateRunCount(id -> id.contains("publish"));
      progress(calls + " calls, " + Arrays.toString(received()));
    }
  }
}
