package heathswitch.testbed.maintenance;

import heathswitch.testbed.client.HttpLoadGenerator;
import heathswitch.testbed.client.LoadStats;
import heathswitch.testbed.fleet.Fleet;
import heathswitch.testbed.fleet.MaintenanceSettings;
import heathswitch.testbed.fleet.Node;
import heathswitch.testbed.measure.Figures;
import heathswitch.testbed.measure.Measurement;
import heathswitch.testbed.mutants.Mutant;
import heathswitch.testbed.server.ServerProfile;
import heathswitch.testbed.server.ServiceTime;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Measures maintenance orders in a fleet of several processes under fault injection, compared with
 * the same faults without orders. Also runs the schedules of faults in virtual time and the mutants
 * of {@link WorkMutants}.
 */
public final class WorkMeasurement implements Measurement {
  private static final long SEED = 28;
  private static final int OPERATORS = 2;

  /**
   * Machines that the capacity floor allows to be out: as many as the operators and a probe have
   * out, and as many again that are returning but that an instance has seen last as out before it
   * died. So a probe waits for nothing but what it measures.
   */
  private static final int MACHINES_ABOVE_FLOOR = 2 * OPERATORS + 1;

  /** One more than the floor allows, so that the floor is the limit that takes effect. */
  private static final int MAX_OUT = MACHINES_ABOVE_FLOOR + 1;

  /** Durations in milliseconds for which an instance is paused, used in turn. */
  private static final long[] PAUSES_MILLIS = {3000, 1000, 10_000, 60_000};

  private static final int FAULT_KINDS = 8;
  private static final int FULL_DISK_FAULT = 6;

  private static final long TIMEOUT_NANOS = 30_000_000_000L;
  private static final long POLL_MILLIS = 3;

  /** The scale of a run. */
  private record Scale(
      int instances,
      int voters,
      int machines,
      double perSecond,
      long leaseMillis,
      long millis,
      long undisturbedMillis) {
    /** Long enough for an order to advance without an instance that is cut off. */
    long holdMillis() {
      return leaseMillis + 1000;
    }

    boolean brief() {
      return millis == 0;
    }

    /** The capacity floor, as a share of all machines. */
    double minShare() {
      return (double) (machines - MACHINES_ABOVE_FLOOR) / machines;
    }
  }

  /** The results of one run. */
  private static final class RunResult {
    final AtomicInteger orders = new AtomicInteger();
    final AtomicInteger done = new AtomicInteger();
    final List<Double> timesToEmptying = new ArrayList<>();
    double takeoverWorst;
    double holdWorst;
    int leaderKills;
    int splits;
    int pauses;
    int restarts;
    int breaches;
    int floorBreaches;
    int disagreements;
    int stuckOrders;
    long lostRequests;
    long doubleRuns;
    long served;
    long calls;

    double goodput() {
      return (double) served / Math.max(1, calls);
    }
  }

  @Override
  public Figures run(boolean brief) throws Exception {
    Scale scale =
        brief
            ? new Scale(5, 3, 8, 150, 2000, 0, 1200)
            : new Scale(10, 5, 24, 300, 4000, 570_000, 30_000);
    Figures.progress("fleet under faults: with orders and, at the same time, without");
    // Both at the same time, so that other load on the machine affects both alike.
    ExecutorService executor = Executors.newFixedThreadPool(2);
    RunResult withoutOrders;
    RunResult withOrders;
    try {
      Future<RunResult> baseline = executor.submit(new FleetRun(scale, false)::run);
      withOrders = new FleetRun(scale, true).run();
      withoutOrders = baseline.get();
    } finally {
      executor.shutdownNow();
    }
    Figures.progress("schedules in virtual time");
    WorkExplorer.Result random = WorkExplorer.randomSchedules(1, brief ? 1000 : 100_000, 200);
    WorkExplorer.Result orders = WorkExplorer.eventSequences(brief ? 2 : 3);
    int violations = 0;
    for (WorkExplorer.Result each : List.of(random, orders)) {
      if (each.violation() != null) {
        violations++;
        Figures.progress(WorkExplorer.shorten(each.violation()).toString());
      }
    }
    List<Mutant> tried = brief ? WorkMutants.ALL.subList(0, 16) : WorkMutants.ALL;
    List<Mutant> undetected = WorkMutants.trials().undetected(tried);
    undetected.forEach(mutant -> Figures.progress("undetected mutant: " + mutant));
    double[] timesToEmptying =
        withOrders.timesToEmptying.stream().mapToDouble(each -> each).sorted().toArray();
    return new Figures()
        .add("instances", scale.instances())
        .add("voters", scale.voters())
        .add("machines", scale.machines())
        .add("orders", withOrders.orders.get())
        .add("done", withOrders.done.get())
        .add("calls_after_out", withOrders.breaches)
        .add("floor_breaches", withOrders.floorBreaches)
        .add("order_disagreements", withOrders.disagreements)
        .add("stuck_orders", withOrders.stuckOrders)
        .add("lost", withOrders.lostRequests)
        .add("double_runs", withOrders.doubleRuns)
        .add(
            "goodput_share", Math.round(withOrders.goodput() / withoutOrders.goodput() * 1e4) / 1e4)
        .rounded("settle_p50_ms", quantile(timesToEmptying, 0.5))
        .rounded("settle_p99_ms", quantile(timesToEmptying, 0.99))
        .rounded("takeover_worst_ms", withOrders.takeoverWorst)
        .rounded("cut_off_hold_worst_ms", withOrders.holdWorst)
        .add("leader_kills", withOrders.leaderKills)
        .add("splits", withOrders.splits)
        .add("pauses", withOrders.pauses)
        .add("restarts", withOrders.restarts)
        .add("schedules", random.schedules() + orders.schedules())
        .add("violations", violations)
        .add("mutants", tried.size())
        .add("mutants_found", tried.size() - undetected.size());
  }

  private static double quantile(double[] sorted, double share) {
    return sorted.length == 0
        ? -1
        : sorted[(int) Math.min(sorted.length - 1, sorted.length * share)];
  }

  /** One run: a fleet, its clients, operators who request machines, and the faults. */
  private static final class FleetRun {
    private final Scale scale;
    private final boolean withOrders;
    private final RunResult result = new RunResult();
    private final SplittableRandom faultRandom = new SplittableRandom(SEED);
    private final Map<Node, HttpLoadGenerator> loads = new ConcurrentHashMap<>();
    private final List<HttpLoadGenerator> endedLoads =
        Collections.synchronizedList(new ArrayList<>());

    /** Loads on instances that were not subject to a fault while the load ran. */
    private final List<HttpLoadGenerator> undisturbedLoads =
        Collections.synchronizedList(new ArrayList<>());

    private final List<Thread> probes = new ArrayList<>();
    private final Map<HttpLoadGenerator, String> loadTimes = new ConcurrentHashMap<>();
    private final long startNanos = System.nanoTime();
    private final Set<String> reserved = new HashSet<>();

    /** Instances that are recovering, each with the thread that waits for it. */
    private final Map<Node, Thread> recovering = new ConcurrentHashMap<>();

    private volatile boolean faultsEnded;
    private Fleet fleet;

    FleetRun(Scale scale, boolean withOrders) {
      this.scale = scale;
      this.withOrders = withOrders;
    }

    RunResult run() throws Exception {
      ServerProfile shape = ServerProfile.alwaysWarm(4, 64, ServiceTime.exponential(5));
      String floor = "[[work.floor]]\nkind = \"front\"\nleast = " + scale.minShare() + "\n";
      try (Fleet newFleet = new Fleet(SEED)) {
        fleet = newFleet;
        fleet.servers(scale.machines(), "front", shape);
        fleet.start(
            scale.instances(),
            scale.voters(),
            MaintenanceSettings.stopWhenCutOff(scale.leaseMillis(), MAX_OUT).withLines(floor));
        for (Node node : fleet.nodes()) {
          loads.put(node, load(node, true));
        }
        Thread.sleep(500);
        List<Thread> operators = new ArrayList<>();
        for (int i = 0; withOrders && i < OPERATORS; i++) {
          int number = i;
          Thread operator = new Thread(() -> requestOrders(number), "person-" + i);
          operator.start();
          operators.add(operator);
        }
        sleep(1000);
        injectFaults();
        faultsEnded = true;
        operators.addAll(probes);
        for (Thread operator : operators) {
          operator.join();
        }
        measureUndisturbed();
        takeOutAllMachines();
        evaluate();
      }
      return result;
    }

    private HttpLoadGenerator load(Node node, boolean undisturbed) {
      HttpLoadGenerator load = fleet.startLoad(node, scale.perSecond() / scale.instances());
      if (undisturbed) {
        undisturbedLoads.add(load);
        loadTimes.put(load, node.name() + " from " + seconds());
      }
      return load;
    }

    // ---- operators ----

    private String reserveMachine(SplittableRandom random) {
      synchronized (reserved) {
        String machine = "front-" + (1 + random.nextInt(scale.machines()));
        return reserved.add(machine) ? machine : null;
      }
    }

    private void releaseMachine(String machine) {
      synchronized (reserved) {
        reserved.remove(machine);
      }
    }

    private void requestOrders(int number) {
      SplittableRandom random = new SplittableRandom(SEED + number);
      while (!faultsEnded) {
        String machine = reserveMachine(random);
        if (machine != null) {
          runOrder(machine, null, 50 + random.nextInt(200), null, null);
          releaseMachine(machine);
        }
      }
    }

    /**
     * Without faults or other orders, measures how long each instance takes until a machine is
     * being emptied.
     */
    private void measureUndisturbed() throws IOException {
      long until = System.nanoTime() + scale.undisturbedMillis() * 1_000_000L;
      for (int i = 0; System.nanoTime() < until; i++) {
        if (withOrders) {
          measureTimeToEmptying(fleet.nodes().get(i % scale.instances()), i);
        }
        sleep(20);
      }
    }

    /**
     * Requests a machine at an instance and cancels the order once the machine is being emptied
     * there.
     */
    private void measureTimeToEmptying(Node at, int number) throws IOException {
      String machine = "front-" + (1 + number % scale.machines());
      long startNanos = System.nanoTime();
      Map<String, Object> answer = at.post(orderPath("calm-" + number, machine));
      long order = ((Number) answer.get("order")).longValue();
      String phase = phase(at, order);
      while (!phase.matches("emptying|out") && System.nanoTime() - startNanos < TIMEOUT_NANOS) {
        sleep(1);
        phase = phase(at, order);
      }
      result.timesToEmptying.add((System.nanoTime() - startNanos) / 1e6);
      at.post("work/cancel/" + order);
      if (phase(at, order).equals("out")) {
        at.post("work/done/" + order); // It went out before the order could be cancelled.
      }
    }

    /**
     * Requests all machines in one order with no limit of its own at once: each goes out, within
     * the floor.
     */
    private void takeOutAllMachines() throws IOException {
      if (!withOrders) {
        return;
      }
      Node at = fleet.nodes().get(0);
      result.orders.incrementAndGet();
      long startNanos = System.nanoTime();
      Map<String, Object> answer =
          at.post("work/ask?key=sweep&who=rig&why=rig&for_ms=60000&kind=front&at_once=99");
      String page = "work/" + answer.get("order");
      int done = 0;
      while (done < scale.machines() && System.nanoTime() - startNanos < 2 * TIMEOUT_NANOS) {
        List<String> out = machines(at, page, "out");
        out.forEach(fleet.history()::recordOut);
        sleep(100);
        for (String machine : out) {
          fleet.history().recordBack(machine);
          at.post("work/done/" + answer.get("order") + '/' + machine);
        }
        done = machines(at, page, "done").size();
      }
      result.done.addAndGet(done == scale.machines() ? 1 : 0);
    }

    private static List<String> machines(Node at, String page, String phase) throws IOException {
      List<String> machines = new ArrayList<>();
      for (Object each : (List<?>) at.get(page).get("standings")) {
        Map<?, ?> row = (Map<?, ?>) each;
        if (row.get("phase").equals(phase)) {
          machines.add((String) row.get("machine"));
        }
      }
      return machines;
    }

    private static String orderPath(String key, String machine) {
      return "work/ask?key=" + key + "&who=" + key + "&why=rig&for_ms=60000&machine=" + machine;
    }

    /**
     * Sends a request to the first instance that answers, the preferred one first; null if none
     * does.
     */
    private Map<String, Object> sendToAny(Node first, String page, boolean post) {
      List<Node> nodes = new ArrayList<>(fleet.nodes());
      if (first != null) {
        nodes.remove(first);
        nodes.add(0, first);
      }
      for (Node node : nodes) {
        try {
          if (node.isResponsive()) {
            return post ? node.post(page) : node.get(page);
          }
        } catch (IOException e) {
          // Killed, or cut off from the others; try the next one.
        }
      }
      return null;
    }

    /**
     * Takes one machine out and back.
     *
     * @param emptying completed with the milliseconds until it was being emptied; may be null
     * @param out completed with the milliseconds until it was out; may be null
     */
    private void runOrder(
        String machine,
        Node at,
        long holdMillis,
        CompletableFuture<Double> emptying,
        CompletableFuture<Double> out) {
      long startNanos = System.nanoTime();
      String key = machine + '-' + result.orders.incrementAndGet();
      String path = orderPath(key, machine);
      Map<String, Object> answer = null;
      while (answer == null && System.nanoTime() - startNanos < TIMEOUT_NANOS) {
        answer = sendToAny(at, path, true);
      }
      if (answer == null) {
        return;
      }
      long order = ((Number) answer.get("order")).longValue();
      double emptyingMillis = -1;
      while (System.nanoTime() - startNanos < TIMEOUT_NANOS) {
        String phase = phase(at, order);
        if (emptyingMillis < 0 && (phase.equals("emptying") || phase.equals("out"))) {
          emptyingMillis = (System.nanoTime() - startNanos) / 1e6;
          if (emptying != null) {
            emptying.complete(emptyingMillis);
          }
        }
        if (phase.equals("out")) {
          fleet.history().recordOut(machine);
          if (out != null) {
            out.complete((System.nanoTime() - startNanos) / 1e6);
          }
          sleep(holdMillis);
          fleet.history().recordBack(machine);
          while (sendToAny(at, "work/done/" + order, true) == null
              && !phase(at, order).matches("returning|done")) {
            sleep(POLL_MILLIS);
          }
          break;
        }
        sleep(POLL_MILLIS);
      }
      while (System.nanoTime() - startNanos < 2 * TIMEOUT_NANOS) {
        if (phase(at, order).equals("done")) {
          result.done.incrementAndGet();
          return;
        }
        sleep(POLL_MILLIS * 5);
      }
    }

    private String phase(Node at, long order) {
      Map<String, Object> page = sendToAny(at, "work/" + order, false);
      if (page == null) {
        return "unknown";
      }
      return String.valueOf(((Map<?, ?>) ((List<?>) page.get("standings")).get(0)).get("phase"));
    }

    private static void sleep(long millis) {
      try {
        Thread.sleep(millis);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }

    // ---- faults ----

    /** Injects each kind of fault once, then random kinds until the time is over. */
    private void injectFaults() throws Exception {
      long until = System.nanoTime() + scale.millis() * 1_000_000L;
      for (int i = 0; i < FAULT_KINDS || System.nanoTime() < until; i++) {
        if (i >= FAULT_KINDS) {
          sleep(1000 + faultRandom.nextInt(4000));
        }
        injectFault(i < FAULT_KINDS ? i : faultRandom.nextInt(FAULT_KINDS));
        sleep(i < FAULT_KINDS ? 100 : 2000);
      }
      awaitRecovery(fleet.nodes());
      sleep(500);
    }

    private void injectFault(int kind) throws Exception {
      if (!scale.brief() || kind == 0 || kind == FULL_DISK_FAULT) {
        awaitRecovery(fleet.nodes()); // A majority of the voters must remain.
      }
      Node leader = leader();
      List<Node> candidates = new ArrayList<>(fleet.nodes());
      candidates.remove(leader);
      Node victim = candidates.get(faultRandom.nextInt(candidates.size()));
      if (scale.brief()) {
        // The instances that are no voters in turn, so that one may recover while the next has a
        // fault.
        int nonVoters = scale.instances() - scale.voters();
        victim =
            kind == FULL_DISK_FAULT
                ? fleet.nodes().get(leader == fleet.nodes().get(0) ? 1 : 0)
                : fleet.nodes().get(scale.voters() + kind % nonVoters);
        awaitRecovery(List.of(victim));
      }
      candidates.remove(victim);
      candidates.removeAll(recovering.keySet());
      Node witness = candidates.get(faultRandom.nextInt(candidates.size()));
      long span = scale.brief() ? 0 : 1000L * (1 + faultRandom.nextInt(9));
      long startNanos = System.nanoTime();
      switch (kind) {
        case 0 -> {
          result.leaderKills++;
          disturb(leader, "kill the leader", Node::kill);
          Future<Double> millisToEmptying = probe(witness, false);
          hold(startNanos, 2000);
          result.takeoverWorst = Math.max(result.takeoverWorst, millisToEmptying.get());
          recoverInBackground(leader);
        }
        case 1 -> {
          result.pauses++;
          disturb(victim, "stop", Node::pause);
          Future<Double> millisToOut = probe(witness, true);
          hold(startNanos, PAUSES_MILLIS[(result.pauses - 1) % PAUSES_MILLIS.length]);
          result.holdWorst = Math.max(result.holdWorst, millisToOut.get());
          victim.resume();
          recoverInBackground(victim);
        }
        case 2 -> {
          result.splits++;
          List<Node> rest = new ArrayList<>(fleet.nodes());
          rest.remove(victim);
          disturb(
              victim, "network partition", node -> fleet.setPartitioned(List.of(node), rest, true));
          Future<Double> millisToOut = probe(witness, true);
          hold(startNanos, scale.holdMillis() + span);
          result.holdWorst = Math.max(result.holdWorst, millisToOut.get());
          fleet.setPartitioned(List.of(victim), rest, false);
          recoverInBackground(victim);
        }
        case 3 -> {
          result.splits++;
          disturb(victim, "outgoing traffic dropped", node -> fleet.setMuted(node, true, false));
          hold(startNanos, 700 + span);
          fleet.setMuted(victim, false, false);
          recoverInBackground(victim);
        }
        case 4 -> {
          result.restarts++;
          disturb(victim, "restart", Node::terminate);
          recoverInBackground(victim);
        }
        case 5 -> {
          result.restarts++;
          disturb(
              victim,
              "kill with a truncated log",
              node -> {
                node.kill();
                node.appendTornLogEntry();
              });
          recoverInBackground(victim);
        }
        case FULL_DISK_FAULT -> {
          result.restarts++;
          disturb(victim, "full disk", Node::fillDisk);
          Future<Double> millisToOut = probe(witness, true);
          hold(startNanos, scale.holdMillis() + span);
          result.holdWorst = Math.max(result.holdWorst, millisToOut.get());
          victim.kill();
          recoverInBackground(victim);
        }
        default -> {
          result.restarts++;
          Node nonVoter = scale.brief() ? victim : fleet.nodes().get(scale.instances() - 1);
          disturb(
              nonVoter,
              "restart with an empty disk",
              node -> {
                node.kill();
                node.deleteWorkFolder();
              });
          recoverInBackground(nonVoter);
        }
      }
    }

    /**
     * Waits until the fault has lasted that long, so that it lasts as long in the run without
     * orders.
     */
    private static void hold(long sinceNanos, long millis) {
      sleep(Math.max(0, millis - (System.nanoTime() - sinceNanos) / 1_000_000));
    }

    private Node leader() throws InterruptedException {
      while (true) {
        Node leader = fleet.leader();
        if (leader != null) {
          return leader;
        }
        Thread.sleep(20);
      }
    }

    /**
     * Requests a machine during a fault; completes with the milliseconds until it is being emptied,
     * or out.
     */
    private Future<Double> probe(Node at, boolean untilOut) {
      CompletableFuture<Double> millis = new CompletableFuture<>();
      if (!withOrders) {
        millis.complete(0.0);
        return millis;
      }
      Thread operator =
          new Thread(
              () -> {
                SplittableRandom random = new SplittableRandom(result.orders.get());
                String machine = null;
                while (machine == null) {
                  machine = reserveMachine(random);
                }
                try {
                  runOrder(machine, at, 0, untilOut ? null : millis, untilOut ? millis : null);
                } finally {
                  releaseMachine(machine);
                  millis.complete(TIMEOUT_NANOS / 1e6); // No effect if it is completed already.
                }
              },
              "probe");
      operator.start();
      probes.add(operator);
      return millis;
    }

    /** Marks the clients' load as disturbed, then injects the fault. */
    private void disturb(Node node, String what, Fleet.NodeAction deed) throws Exception {
      replaceLoad(node, false);
      fleet.history().addNote(what + ": " + node.name());
      Figures.progress("  " + seconds() + " " + what + ": " + node.name());
      deed.apply(node);
    }

    /** Lets an instance recover in the background. */
    private void recoverInBackground(Node node) {
      Thread thread =
          new Thread(
              () -> {
                try {
                  recover(node);
                } catch (Exception e) {
                  Figures.progress(node.name() + " does not recover: " + e);
                }
              },
              "rising");
      recovering.put(node, thread);
      thread.start();
    }

    private void awaitRecovery(List<Node> nodes) throws InterruptedException {
      for (Node node : nodes) {
        Thread thread = recovering.get(node);
        if (thread != null) {
          thread.join();
          recovering.remove(node);
        }
      }
    }

    private void recover(Node node) throws Exception {
      if (!node.isAlive()) {
        node.start();
      }
      long until = System.nanoTime() + TIMEOUT_NANOS;
      while (!hasRejoined(node)) {
        if (System.nanoTime() > until) {
          Figures.progress("  " + seconds() + " does not recover: " + node.name());
          return; // Its load continues to count as disturbed.
        }
        sleep(20);
      }
      fleet.history().addNote("well: " + node.name());
      replaceLoad(node, true);
    }

    private boolean hasRejoined(Node node) {
      try {
        Map<String, Object> page = node.get("work");
        return node.acceptsConnections() && ((Number) page.get("lease_left_ms")).longValue() > 1000;
      } catch (IOException e) {
        return false;
      }
    }

    private void replaceLoad(Node node, boolean undisturbed) throws InterruptedException {
      HttpLoadGenerator before = loads.put(node, load(node, undisturbed));
      before.stop();
      loadTimes.computeIfPresent(before, (load, span) -> span + " to " + seconds());
      endedLoads.add(before);
    }

    private String seconds() {
      return (System.nanoTime() - startNanos) / 1_000_000_000L + " s";
    }

    // ---- evaluation ----

    private void evaluate() throws Exception {
      sleep(1000);
      for (Node node : fleet.nodes()) {
        HttpLoadGenerator load = loads.get(node);
        load.stop();
        endedLoads.add(load);
      }
      for (HttpLoadGenerator load : endedLoads) {
        result.served += load.stats().count(LoadStats.Result.SERVED);
        result.calls += load.stats().total();
      }
      result.breaches = fleet.history().breaches().size();
      fleet.history().breaches().forEach(each -> Figures.progress("  breach " + each));
      result.floorBreaches =
          fleet.history().maxConcurrentOut() > Math.min(MAX_OUT, MACHINES_ABOVE_FLOOR) ? 1 : 0;
      result.stuckOrders = result.orders.get() - result.done.get();
      for (HttpLoadGenerator load : undisturbedLoads) {
        long lost = load.stats().count(LoadStats.Result.LOST);
        if (lost > 0) {
          Figures.progress(
              (withOrders ? "  lost " : "  with no orders lost ")
                  + lost
                  + " of "
                  + load.stats().total()
                  + " at "
                  + loadTimes.get(load));
        }
      }
      result.lostRequests =
          fleet
              .ledger()
              .lostCount(path -> undisturbedLoads.stream().anyMatch(load -> load.owns(path)));
      result.doubleRuns = fleet.ledger().duplicateRunCount(path -> path.contains("publish"));
      result.disagreements = disagreements();
    }

    /** Number of instances whose state after the same entry differs from that of the others. */
    private int disagreements() throws Exception {
      Map<Long, Set<String>> statesByIndex = new TreeMap<>();
      Map<Long, Integer> samplesByIndex = new TreeMap<>();
      int worst = 0;
      for (int i = 0; i < 40; i++) {
        for (Node node : fleet.nodes()) {
          Map<String, Object> page = node.get("work/settled");
          long index = ((Number) page.get("index")).longValue();
          statesByIndex.computeIfAbsent(index, any -> new HashSet<>()).add(page.toString());
          samplesByIndex.merge(index, 1, Integer::sum);
        }
      }
      int compared = 0;
      for (long index : statesByIndex.keySet()) {
        worst = Math.max(worst, statesByIndex.get(index).size() - 1);
        compared += samplesByIndex.get(index) > 1 ? 1 : 0;
      }
      if (compared == 0) {
        throw new IllegalStateException("no two samples were taken after the same entry");
      }
      return worst;
    }
  }
}
