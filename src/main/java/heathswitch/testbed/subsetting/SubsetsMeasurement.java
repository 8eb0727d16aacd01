package heathswitch.testbed.subsetting;

import heathswitch.testbed.client.OpenLoop;
import heathswitch.testbed.client.Tally;
import heathswitch.testbed.fleet.Fleet;
import heathswitch.testbed.fleet.Node;
import heathswitch.testbed.gossip.GossipTraffic;
import heathswitch.testbed.measure.Figures;
import heathswitch.testbed.measure.Measurement;
import heathswitch.testbed.mutants.Mutant;
import heathswitch.testbed.server.ServiceTime;
import heathswitch.testbed.server.Shape;
import heathswitch.testbed.server.StandIn;
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
 * Several processes that each use a part of the servers, through growth, kills, a split and stops,
 * beside as many that use all of them; and the module under schedules of faults in virtual time.
 */
public final class SubsetsMeasurement implements Measurement {
  private static final long SEED = 29;
  private static final long WAIT_MILLIS = 120_000;

  /** Loads of the instances against each other, again and again. */
  private static final double[] LOADS = {1, 0.4, 2.5, 0.8, 1.3, 0.6, 3, 1, 0.5, 1.6, 0.7, 2};

  /** An instance goes by its plan when a smaller part of its calls goes elsewhere. */
  private static final double CALM = 0.02;

  private record Size(
      int instances,
      int first,
      int servers,
      int width,
      double perSecond,
      long phaseMillis,
      List<Integer> pauses) {}

  /** What one fleet came to. */
  private static final class Run {
    final Map<String, Double> spread = new HashMap<>();
    final List<Double> detectMillis = Collections.synchronizedList(new ArrayList<>());
    int connections;
    double p99;
    double goodput;
    int uncovered;
    long lost;
    long doubles;
    int falseDeaths;
    double moved;
    double movedLeast;
  }

  @Override
  public Figures run(boolean brief) throws Exception {
    Size size =
        brief
            ? new Size(5, 2, 16, 4, 250, 3000, List.of(1000))
            : new Size(12, 4, 48, 16, 600, 15_000, List.of(1000, 3000, 10_000));
    Figures.progress("parts of the servers, and beside it all servers for all");
    ExecutorService both = Executors.newFixedThreadPool(2);
    Run full;
    Run part;
    try {
      Future<Run> all = both.submit(new Play(size, false)::run);
      part = new Play(size, true).run();
      full = all.get();
    } finally {
      both.shutdownNow();
    }
    Figures.progress("ways held against each other");
    Figures.progress(StrategyComparison.table(SampleFleets.of(12, 48, true, 1), 16));
    Figures.progress("schedules in virtual time");
    long schedules = brief ? 200 : 100_000;
    SubsetExplorer.Played played = SubsetExplorer.random(1, schedules);
    if (played.finding() != null) {
      Figures.progress(played.finding().toString());
    }
    List<Mutant> tried = brief ? SubsetMutants.ALL.subList(0, 4) : SubsetMutants.ALL;
    List<Mutant> unseen = SubsetMutants.trials().undetected(tried);
    unseen.forEach(mutant -> Figures.progress("not found: " + mutant));
    double[] detect = part.detectMillis.stream().mapToDouble(each -> each).sorted().toArray();
    int many = brief ? 100 : 1000;
    return new Figures()
        .add("instances", size.instances())
        .add("servers", size.servers())
        .add("connections", part.connections)
        .add("connections_full", full.connections)
        .add("spread", round(part.spread.get("grown")))
        .add("spread_full", round(full.spread.get("grown")))
        .add("spread_first", round(part.spread.get("first")))
        .add("spread_after_growth", round(part.spread.get("grown")))
        .add("spread_after_shrink", round(part.spread.get("shrunk")))
        .add("spread_in_split", round(part.spread.get("split")))
        .add("spread_healed", round(part.spread.get("healed")))
        .add("spread_shrunk_full", round(full.spread.get("shrunk")))
        .add("moved_share", round(part.moved))
        .add("moved_least", round(part.movedLeast))
        .add("uncovered", part.uncovered)
        .add("p99_ratio", round(part.p99 / full.p99))
        .add("goodput_share", round(part.goodput / full.goodput))
        .add("lost", part.lost)
        .add("double_runs", part.doubles)
        .add("false_deaths", part.falseDeaths)
        .rounded(
            "detect_p99_ms",
            detect.length == 0
                ? -1
                : detect[(int) Math.min(detect.length - 1, detect.length * .99)])
        .rounded("msgs_per_member_s_10", GossipTraffic.messagesPerMemberPerSecond(10))
        .rounded("msgs_per_member_s_" + many, GossipTraffic.messagesPerMemberPerSecond(many))
        .add("sim_spread_worst", round(played.spreadWorst()))
        .add("schedules", schedules)
        .add("violations", played.finding() == null ? 0 : 1)
        .add("mutants", tried.size())
        .add("mutants_found", tried.size() - unseen.size());
  }

  private static double round(double value) {
    return Math.round(value * 1e4) / 1e4;
  }

  /** One fleet through all phases. */
  private static final class Play {
    private final Size size;
    private final boolean narrow;
    private final Run run = new Run();
    private final Map<Node, OpenLoop> loads = new HashMap<>();
    private final List<OpenLoop> all = new ArrayList<>();
    private final long began = System.nanoTime();
    private Fleet fleet;

    Play(Size size, boolean narrow) {
      this.size = size;
      this.narrow = narrow;
    }

    Run run() throws Exception {
      try (Fleet started = new Fleet(SEED)) {
        fleet = started;
        fleet.servers(size.servers(), "front", Shape.warm(4, 64, ServiceTime.exponential(5)));
        fleet.gossiping("k1 c3Vic2V0LXN1YnNldC1zdWJzZXQtc3Vic2V0\n").first(size.first());
        if (narrow) {
          fleet.subsetting(
              "width = "
                  + size.width()
                  + "\nstep = \"200ms\"\nsettle = \"1s\"\nmost_moved = 0.1\nalone_steps = 20");
        }
        fleet.start(size.instances());
        List<Node> nodes = fleet.nodes();
        List<Node> first = nodes.subList(0, size.first());
        List<Node> others = nodes.subList(size.first(), nodes.size());
        load(first);
        calm(first, first.size());
        phase("first");
        say("growth to " + nodes.size());
        fleet.rise(others);
        load(nodes);
        calm(nodes, nodes.size());
        phase("grown");
        leave(nodes);
        shrink(first, others);
        split(nodes);
        pauses(nodes);
        judge();
      }
      return run;
    }

    private void say(String what) {
      if (narrow) {
        Figures.progress("  " + (System.nanoTime() - began) / 1_000_000_000L + " s " + what);
      }
    }

    /** All clients at these instances, by their loads against each other. */
    private void load(List<Node> nodes) throws InterruptedException {
      double sum = 0;
      for (Node node : nodes) {
        sum += factor(node);
      }
      for (Node node : nodes) {
        OpenLoop before = loads.remove(node);
        if (before != null) {
          before.stop();
        }
        OpenLoop load = fleet.load(node, size.perSecond() * factor(node) / sum);
        loads.put(node, load);
        all.add(load);
      }
    }

    private double factor(Node node) {
      return LOADS[fleet.nodes().indexOf(node) % LOADS.length];
    }

    private void unload(List<Node> nodes) throws InterruptedException {
      for (Node node : nodes) {
        loads.remove(node).stop();
      }
    }

    private static Map<String, Object> page(Node node, String page) {
      try {
        return node.get(page);
      } catch (IOException e) {
        return Map.of();
      }
    }

    private static double number(Map<String, Object> page, String key) {
      return page.get(key) instanceof Number number ? number.doubleValue() : -1;
    }

    private static void await(String what, BooleanSupplier condition) throws Exception {
      long until = System.nanoTime() + WAIT_MILLIS * 1_000_000L;
      while (!condition.getAsBoolean()) {
        if (System.nanoTime() > until) {
          throw new TimeoutException("waited in vain: " + what);
        }
        Thread.sleep(5);
      }
    }

    /** Each sees so many balancers and uses what its plan says. */
    private void calm(List<Node> nodes, int balancers) throws Exception {
      for (Node node : nodes) {
        await(
            node.name() + " sees " + balancers,
            () ->
                narrow
                    ? settled(page(node, "subset"), balancers)
                    : number(page(node, "peers"), "there") == balancers);
      }
      // Loads are told as they are known better: what follows from that has to come to rest, too.
      Thread.sleep(2 * size.phaseMillis() / 3);
      for (Node node : nodes) {
        await(node.name() + " is calm", () -> !narrow || settled(page(node, "subset"), balancers));
      }
    }

    private static boolean settled(Map<String, Object> page, int balancers) {
      return number(page, "balancers") == balancers
          && Math.abs(number(page, "apart")) < CALM
          && number(page, "uses") > 0;
    }

    /** Calls of the most loaded server against the mean while nothing changes. */
    private void phase(String name) throws InterruptedException {
      long[] before = received();
      for (OpenLoop load : loads.values()) {
        load.tally().interval();
      }
      Thread.sleep(size.phaseMillis());
      long[] after = received();
      long most = 0;
      long sum = 0;
      for (int i = 0; i < after.length; i++) {
        long calls = after[i] - before[i];
        run.uncovered += calls == 0 ? 1 : 0;
        most = Math.max(most, calls);
        sum += calls;
      }
      run.spread.put(name, (double) most * after.length / sum);
      if (name.equals("grown")) {
        var latencies = new org.HdrHistogram.Histogram(3_600_000_000L, 3);
        for (Map.Entry<Node, OpenLoop> each : loads.entrySet()) {
          latencies.add(each.getValue().tally().interval());
          run.connections += (int) number(page(each.getKey(), "status"), "connected_servers");
        }
        run.p99 = latencies.getValueAtPercentile(99);
      }
      say(name + ": spread " + round(run.spread.get(name)));
    }

    private long[] received() {
      return fleet.servers().stream().mapToLong(StandIn::received).toArray();
    }

    /** One leaves in order; its clients go. What the others move is counted, and the least. */
    private void leave(List<Node> nodes) throws Exception {
      Node gone = nodes.get(nodes.size() - 1);
      List<Node> rest = nodes.subList(0, nodes.size() - 1);
      Map<Node, Double> moved = new HashMap<>();
      rest.forEach(node -> moved.put(node, number(page(node, "subset"), "moved")));
      double total = 0;
      for (Node node : rest) {
        total += factor(node);
      }
      double least = 0;
      if (narrow && page(gone, "subset").get("own") instanceof List<?> rows) {
        for (Object each : rows) {
          double its = ((Number) ((Map<?, ?>) each).get("part")).doubleValue();
          least += Math.max(0, its - 1.0 / size.servers()) * factor(gone) / total;
        }
      }
      unload(List.of(gone));
      gone.end();
      calm(rest, rest.size());
      double sum = 0;
      for (Node node : rest) {
        sum += (number(page(node, "subset"), "moved") - moved.get(node)) * factor(node) / total;
      }
      run.moved = sum;
      run.movedLeast = least;
      say("one has left: moved " + round(sum) + ", least " + round(least));
      fleet.rise(List.of(gone));
      load(nodes);
      calm(nodes, nodes.size());
    }

    /** Many die in one moment, are found out, and come back. */
    private void shrink(List<Node> stay, List<Node> die) throws Exception {
      say("kill of " + die.size());
      unload(die);
      load(stay);
      long killed = System.nanoTime();
      fleet.each(die, Node::kill);
      List<Thread> watchers = new ArrayList<>();
      for (Node node : stay) {
        Thread watcher = new Thread(() -> detect(node, die, killed), "watch");
        watcher.start();
        watchers.add(watcher);
      }
      for (Thread watcher : watchers) {
        watcher.join();
      }
      calm(stay, stay.size());
      phase("shrunk");
      say("they come back");
      fleet.rise(die);
      load(fleet.nodes());
      calm(fleet.nodes(), fleet.nodes().size());
    }

    private void detect(Node at, List<Node> dead, long killedNanos) {
      Set<String> left = new java.util.HashSet<>(dead.stream().map(Node::name).toList());
      while (!left.isEmpty() && System.nanoTime() - killedNanos < WAIT_MILLIS * 1_000_000L) {
        for (String name : dead(at)) {
          if (left.remove(name)) {
            run.detectMillis.add((System.nanoTime() - killedNanos) / 1e6);
          }
        }
      }
    }

    /** Those that a node holds for dead. */
    private static List<String> dead(Node at) {
      List<String> dead = new ArrayList<>();
      if (page(at, "peers").get("peers") instanceof List<?> rows) {
        for (Object each : rows) {
          Map<?, ?> row = (Map<?, ?>) each;
          if ("dead".equals(row.get("standing"))) {
            dead.add(String.valueOf(row.get("name")));
          }
        }
      }
      return dead;
    }

    private void split(List<Node> nodes) throws Exception {
      say("split");
      int half = nodes.size() / 2;
      List<Node> one = nodes.subList(0, half);
      List<Node> other = nodes.subList(half, nodes.size());
      fleet.split(one, other, true);
      calm(one, one.size());
      calm(other, other.size());
      phase("split");
      fleet.split(one, other, false);
      calm(nodes, nodes.size());
      phase("healed");
    }

    /** One is stopped after the other, for longer each time; a short stop kills nobody. */
    private void pauses(List<Node> nodes) throws Exception {
      for (int i = 0; i < size.pauses().size(); i++) {
        Node node = nodes.get(1 + i % (nodes.size() - 1));
        say("stop of " + node.name() + " for " + size.pauses().get(i) + " ms");
        unload(List.of(node));
        node.pause();
        long until = System.nanoTime() + size.pauses().get(i) * 1_000_000L;
        while (System.nanoTime() < until) {
          for (Node each : nodes) {
            if (each != node) {
              run.falseDeaths +=
                  (int) dead(each).stream().filter(d -> !d.equals(node.name())).count();
            }
          }
          Thread.sleep(100);
        }
        node.resume();
        calm(nodes, nodes.size());
        load(nodes);
      }
      calm(nodes, nodes.size());
      for (Node each : nodes) {
        run.falseDeaths += dead(each).size();
      }
    }

    private void judge() throws Exception {
      for (OpenLoop load : loads.values()) {
        load.stop();
      }
      long served = 0;
      long calls = 0;
      for (OpenLoop load : all) {
        served += load.tally().count(Tally.Result.SERVED);
        calls += load.tally().total();
      }
      run.goodput = (double) served / Math.max(1, calls);
      run.lost = fleet.ledger().lost();
      run.doubles = fleet.ledger().doubles(path -> path.contains("publish"));
      say(calls + " calls, " + Arrays.toString(received()));
    }
  }
}
