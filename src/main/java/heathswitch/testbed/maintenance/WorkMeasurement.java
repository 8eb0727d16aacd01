package heathswitch.testbed.maintenance;

import heathswitch.testbed.client.OpenLoop;
import heathswitch.testbed.client.Tally;
import heathswitch.testbed.fleet.Fleet;
import heathswitch.testbed.fleet.MaintenanceSettings;
import heathswitch.testbed.fleet.Node;
import heathswitch.testbed.measure.Figures;
import heathswitch.testbed.measure.Measurement;
import heathswitch.testbed.mutants.Mutant;
import heathswitch.testbed.server.ServiceTime;
import heathswitch.testbed.server.Shape;
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
 * Machines taken out for work by several processes with faults between them, beside the same faults
 * with no orders at all; and the modules under schedules of faults in virtual time.
 */
public final class WorkMeasurement implements Measurement {
  private static final long SEED = 28;
  private static final int PEOPLE = 2;

  /**
   * Machines that the floor leaves room for: as many as people and a probe have out, and as many on
   * their way back for one that looked last before it died. So a probe waits for nothing but what
   * it measures.
   */
  private static final int SPARED = 2 * PEOPLE + 1;

  /** One more than the floor allows, so that it is the floor that counts. */
  private static final int MOST_OUT = SPARED + 1;

  /** Spans for which an instance is stopped, one after the other. */
  private static final long[] PAUSES = {3000, 1000, 10_000, 60_000};

  private static final int KINDS = 8;
  private static final int FULL_DISK = 6;

  private static final long WAIT_NANOS = 30_000_000_000L;
  private static final long LOOK_MILLIS = 3;

  /** What a run is like. */
  private record Size(
      int instances,
      int voters,
      int machines,
      double perSecond,
      long leaseMillis,
      long millis,
      long calmMillis) {
    /** Long enough for an order to go on without one that is cut off. */
    long holdMillis() {
      return leaseMillis + 1000;
    }

    boolean brief() {
      return millis == 0;
    }

    /** The floor, as a part of all machines. */
    double least() {
      return (double) (machines - SPARED) / machines;
    }
  }

  /** What one run came to. */
  private static final class Run {
    final AtomicInteger orders = new AtomicInteger();
    final AtomicInteger done = new AtomicInteger();
    final List<Double> settleMillis = new ArrayList<>();
    double takeoverWorst;
    double holdWorst;
    int kills;
    int splits;
    int pauses;
    int restarts;
    int breaches;
    int floors;
    int disagreements;
    int stuck;
    long lost;
    long doubles;
    long served;
    long calls;

    double goodput() {
      return (double) served / Math.max(1, calls);
    }
  }

  @Override
  public Figures run(boolean brief) throws Exception {
    Size size =
        brief
            ? new Size(5, 3, 8, 150, 2000, 0, 1200)
            : new Size(10, 5, 24, 300, 4000, 570_000, 30_000);
    Figures.progress("faults with orders, and beside them the same faults with none");
    // At one time, so that neither has the machine in a better hour.
    ExecutorService both = Executors.newFixedThreadPool(2);
    Run without;
    Run with;
    try {
      Future<Run> none = both.submit(new Play(size, false)::run);
      with = new Play(size, true).run();
      without = none.get();
    } finally {
      both.shutdownNow();
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
    List<Mutant> unseen = WorkMutants.trials().undetected(tried);
    unseen.forEach(mutant -> Figures.progress("not found: " + mutant));
    double[] settle = with.settleMillis.stream().mapToDouble(each -> each).sorted().toArray();
    return new Figures()
        .add("instances", size.instances())
        .add("voters", size.voters())
        .add("machines", size.machines())
        .add("orders", with.orders.get())
        .add("done", with.done.get())
        .add("calls_after_out", with.breaches)
        .add("floor_breaches", with.floors)
        .add("order_disagreements", with.disagreements)
        .add("stuck_orders", with.stuck)
        .add("lost", with.lost)
        .add("double_runs", with.doubles)
        .add("goodput_share", Math.round(with.goodput() / without.goodput() * 1e4) / 1e4)
        .rounded("settle_p50_ms", quantile(settle, 0.5))
        .rounded("settle_p99_ms", quantile(settle, 0.99))
        .rounded("takeover_worst_ms", with.takeoverWorst)
        .rounded("cut_off_hold_worst_ms", with.holdWorst)
        .add("leader_kills", with.kills)
        .add("splits", with.splits)
        .add("pauses", with.pauses)
        .add("restarts", with.restarts)
        .add("schedules", random.schedules() + orders.schedules())
        .add("violations", violations)
        .add("mutants", tried.size())
        .add("mutants_found", tried.size() - unseen.size());
  }

  private static double quantile(double[] sorted, double share) {
    return sorted.length == 0
        ? -1
        : sorted[(int) Math.min(sorted.length - 1, sorted.length * share)];
  }

  /** One run: a fleet, its clients, people who ask for machines, and the faults. */
  private static final class Play {
    private final Size size;
    private final boolean ordering;
    private final Run run = new Run();
    private final SplittableRandom faults = new SplittableRandom(SEED);
    private final Map<Node, OpenLoop> loads = new ConcurrentHashMap<>();
    private final List<OpenLoop> ended = Collections.synchronizedList(new ArrayList<>());

    /** Loads at instances that nothing was done to while they ran. */
    private final List<OpenLoop> calm = Collections.synchronizedList(new ArrayList<>());

    private final List<Thread> probes = new ArrayList<>();
    private final Map<OpenLoop, String> spans = new ConcurrentHashMap<>();
    private final long began = System.nanoTime();
    private final Set<String> busy = new HashSet<>();

    /** Instances that are coming back, by the thread that waits for each. */
    private final Map<Node, Thread> rising = new ConcurrentHashMap<>();

    private volatile boolean over;
    private Fleet fleet;

    Play(Size size, boolean ordering) {
      this.size = size;
      this.ordering = ordering;
    }

    Run run() throws Exception {
      Shape shape = Shape.warm(4, 64, ServiceTime.exponential(5));
      String floor = "[[work.floor]]\nkind = \"front\"\nleast = " + size.least() + "\n";
      try (Fleet started = new Fleet(SEED)) {
        fleet = started;
        fleet.servers(size.machines(), "front", shape);
        fleet.start(
            size.instances(),
            size.voters(),
            MaintenanceSettings.stopWhenCutOff(size.leaseMillis(), MOST_OUT).withLines(floor));
        for (Node node : fleet.nodes()) {
          loads.put(node, load(node, true));
        }
        Thread.sleep(500);
        List<Thread> people = new ArrayList<>();
        for (int i = 0; ordering && i < PEOPLE; i++) {
          int number = i;
          Thread person = new Thread(() -> person(number), "person-" + i);
          person.start();
          people.add(person);
        }
        sleep(1000);
        faults();
        over = true;
        people.addAll(probes);
        for (Thread person : people) {
          person.join();
        }
        calm();
        sweep();
        judge();
      }
      return run;
    }

    private OpenLoop load(Node node, boolean well) {
      OpenLoop load = fleet.startLoad(node, size.perSecond() / size.instances());
      if (well) {
        calm.add(load);
        spans.put(load, node.name() + " from " + seconds());
      }
      return load;
    }

    // ---- people ----

    private String take(SplittableRandom random) {
      synchronized (busy) {
        String machine = "front-" + (1 + random.nextInt(size.machines()));
        return busy.add(machine) ? machine : null;
      }
    }

    private void release(String machine) {
      synchronized (busy) {
        busy.remove(machine);
      }
    }

    private void person(int number) {
      SplittableRandom random = new SplittableRandom(SEED + number);
      while (!over) {
        String machine = take(random);
        if (machine != null) {
          order(machine, null, 50 + random.nextInt(200), null, null);
          release(machine);
        }
      }
    }

    /** With nothing else to wait for: how long each instance takes until a machine is emptied. */
    private void calm() throws IOException {
      long until = System.nanoTime() + size.calmMillis() * 1_000_000L;
      for (int i = 0; System.nanoTime() < until; i++) {
        if (ordering) {
          settle(fleet.nodes().get(i % size.instances()), i);
        }
        sleep(20);
      }
    }

    /** Asks for a machine at an instance and calls it off when it is being emptied there. */
    private void settle(Node at, int number) throws IOException {
      String machine = "front-" + (1 + number % size.machines());
      long began = System.nanoTime();
      Map<String, Object> answer = at.post(ask("calm-" + number, machine));
      long order = ((Number) answer.get("order")).longValue();
      String phase = phase(at, order);
      while (!phase.matches("emptying|out") && System.nanoTime() - began < WAIT_NANOS) {
        sleep(1);
        phase = phase(at, order);
      }
      run.settleMillis.add((System.nanoTime() - began) / 1e6);
      at.post("work/cancel/" + order);
      if (phase(at, order).equals("out")) {
        at.post("work/done/" + order); // It went out before it could be called off.
      }
    }

    /** All machines in one order, all at once if that were allowed: each goes, within the floor. */
    private void sweep() throws IOException {
      if (!ordering) {
        return;
      }
      Node at = fleet.nodes().get(0);
      run.orders.incrementAndGet();
      long began = System.nanoTime();
      Map<String, Object> answer =
          at.post("work/ask?key=sweep&who=rig&why=rig&for_ms=60000&kind=front&at_once=99");
      String page = "work/" + answer.get("order");
      int done = 0;
      while (done < size.machines() && System.nanoTime() - began < 2 * WAIT_NANOS) {
        List<String> out = machines(at, page, "out");
        out.forEach(fleet.history()::recordOut);
        sleep(100);
        for (String machine : out) {
          fleet.history().recordBack(machine);
          at.post("work/done/" + answer.get("order") + '/' + machine);
        }
        done = machines(at, page, "done").size();
      }
      run.done.addAndGet(done == size.machines() ? 1 : 0);
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

    private static String ask(String key, String machine) {
      return "work/ask?key=" + key + "&who=" + key + "&why=rig&for_ms=60000&machine=" + machine;
    }

    /** Asks at any instance that answers, or at one; null while nobody does. */
    private Map<String, Object> any(Node first, String page, boolean post) {
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
          // Killed, or cut off from the others; the next may do.
        }
      }
      return null;
    }

    /**
     * One machine out and back.
     *
     * @param emptying told milliseconds until it was being emptied, or null
     * @param out likewise until it was out
     */
    private void order(
        String machine,
        Node at,
        long holdMillis,
        CompletableFuture<Double> emptying,
        CompletableFuture<Double> out) {
      long began = System.nanoTime();
      String key = machine + '-' + run.orders.incrementAndGet();
      String ask = ask(key, machine);
      Map<String, Object> answer = null;
      while (answer == null && System.nanoTime() - began < WAIT_NANOS) {
        answer = any(at, ask, true);
      }
      if (answer == null) {
        return;
      }
      long order = ((Number) answer.get("order")).longValue();
      double settled = -1;
      while (System.nanoTime() - began < WAIT_NANOS) {
        String phase = phase(at, order);
        if (settled < 0 && (phase.equals("emptying") || phase.equals("out"))) {
          settled = (System.nanoTime() - began) / 1e6;
          if (emptying != null) {
            emptying.complete(settled);
          }
        }
        if (phase.equals("out")) {
          fleet.history().recordOut(machine);
          if (out != null) {
            out.complete((System.nanoTime() - began) / 1e6);
          }
          sleep(holdMillis);
          fleet.history().recordBack(machine);
          while (any(at, "work/done/" + order, true) == null
              && !phase(at, order).matches("returning|done")) {
            sleep(LOOK_MILLIS);
          }
          break;
        }
        sleep(LOOK_MILLIS);
      }
      while (System.nanoTime() - began < 2 * WAIT_NANOS) {
        if (phase(at, order).equals("done")) {
          run.done.incrementAndGet();
          return;
        }
        sleep(LOOK_MILLIS * 5);
      }
    }

    private String phase(Node at, long order) {
      Map<String, Object> page = any(at, "work/" + order, false);
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

    /** Each kind once, then drawn anew until the time is over. */
    private void faults() throws Exception {
      long until = System.nanoTime() + size.millis() * 1_000_000L;
      for (int i = 0; i < KINDS || System.nanoTime() < until; i++) {
        if (i >= KINDS) {
          sleep(1000 + faults.nextInt(4000));
        }
        fault(i < KINDS ? i : faults.nextInt(KINDS));
        sleep(i < KINDS ? 100 : 2000);
      }
      awaitRisen(fleet.nodes());
      sleep(500);
    }

    private void fault(int kind) throws Exception {
      if (!size.brief() || kind == 0 || kind == FULL_DISK) {
        awaitRisen(fleet.nodes()); // A majority has to be left.
      }
      Node leader = leader();
      List<Node> others = new ArrayList<>(fleet.nodes());
      others.remove(leader);
      Node victim = others.get(faults.nextInt(others.size()));
      if (size.brief()) {
        // Those that do not vote in turn, so that one may come back while the next goes.
        int plain = size.instances() - size.voters();
        victim =
            kind == FULL_DISK
                ? fleet.nodes().get(leader == fleet.nodes().get(0) ? 1 : 0)
                : fleet.nodes().get(size.voters() + kind % plain);
        awaitRisen(List.of(victim));
      }
      others.remove(victim);
      others.removeAll(rising.keySet());
      Node witness = others.get(faults.nextInt(others.size()));
      long span = size.brief() ? 0 : 1000L * (1 + faults.nextInt(9));
      long began = System.nanoTime();
      switch (kind) {
        case 0 -> {
          run.kills++;
          down(leader, "kill the leader", Node::kill);
          Future<Double> settled = probe(witness, false);
          hold(began, 2000);
          run.takeoverWorst = Math.max(run.takeoverWorst, settled.get());
          rise(leader);
        }
        case 1 -> {
          run.pauses++;
          down(victim, "stop", Node::pause);
          Future<Double> out = probe(witness, true);
          hold(began, PAUSES[(run.pauses - 1) % PAUSES.length]);
          run.holdWorst = Math.max(run.holdWorst, out.get());
          victim.resume();
          rise(victim);
        }
        case 2 -> {
          run.splits++;
          List<Node> rest = new ArrayList<>(fleet.nodes());
          rest.remove(victim);
          down(victim, "cut off", node -> fleet.setPartitioned(List.of(node), rest, true));
          Future<Double> out = probe(witness, true);
          hold(began, size.holdMillis() + span);
          run.holdWorst = Math.max(run.holdWorst, out.get());
          fleet.setPartitioned(List.of(victim), rest, false);
          rise(victim);
        }
        case 3 -> {
          run.splits++;
          down(victim, "nothing it says comes through", node -> fleet.setMuted(node, true, false));
          hold(began, 700 + span);
          fleet.setMuted(victim, false, false);
          rise(victim);
        }
        case 4 -> {
          run.restarts++;
          down(victim, "restart", Node::terminate);
          rise(victim);
        }
        case 5 -> {
          run.restarts++;
          down(
              victim,
              "kill, and a torn end of its log",
              node -> {
                node.kill();
                node.appendTornLogEntry();
              });
          rise(victim);
        }
        case FULL_DISK -> {
          run.restarts++;
          down(victim, "its disk is full", Node::fillDisk);
          Future<Double> out = probe(witness, true);
          hold(began, size.holdMillis() + span);
          run.holdWorst = Math.max(run.holdWorst, out.get());
          victim.kill();
          rise(victim);
        }
        default -> {
          run.restarts++;
          Node plain = size.brief() ? victim : fleet.nodes().get(size.instances() - 1);
          down(
              plain,
              "restart without its disk",
              node -> {
                node.kill();
                node.deleteWorkFolder();
              });
          rise(plain);
        }
      }
    }

    /** As long in the run without orders as in the other. */
    private static void hold(long beganNanos, long millis) {
      sleep(Math.max(0, millis - (System.nanoTime() - beganNanos) / 1_000_000));
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

    /** A machine asked for in the middle of a fault: until it is being emptied, or out. */
    private Future<Double> probe(Node at, boolean untilOut) {
      CompletableFuture<Double> millis = new CompletableFuture<>();
      if (!ordering) {
        millis.complete(0.0);
        return millis;
      }
      Thread person =
          new Thread(
              () -> {
                SplittableRandom random = new SplittableRandom(run.orders.get());
                String machine = null;
                while (machine == null) {
                  machine = take(random);
                }
                try {
                  order(machine, at, 0, untilOut ? null : millis, untilOut ? millis : null);
                } finally {
                  release(machine);
                  millis.complete(WAIT_NANOS / 1e6); // If it has not been told better.
                }
              },
              "probe");
      person.start();
      probes.add(person);
      return millis;
    }

    /** Clients that mind go first; then it is done. */
    private void down(Node node, String what, Fleet.NodeAction deed) throws Exception {
      move(node, false);
      fleet.history().addNote(what + ": " + node.name());
      Figures.progress("  " + seconds() + " " + what + ": " + node.name());
      deed.apply(node);
    }

    /** Has it come back while other things go on. */
    private void rise(Node node) {
      Thread thread =
          new Thread(
              () -> {
                try {
                  up(node);
                } catch (Exception e) {
                  Figures.progress(node.name() + " does not come back: " + e);
                }
              },
              "rising");
      rising.put(node, thread);
      thread.start();
    }

    private void awaitRisen(List<Node> nodes) throws InterruptedException {
      for (Node node : nodes) {
        Thread thread = rising.get(node);
        if (thread != null) {
          thread.join();
          rising.remove(node);
        }
      }
    }

    private void up(Node node) throws Exception {
      if (!node.isAlive()) {
        node.start();
      }
      long until = System.nanoTime() + WAIT_NANOS;
      while (!inside(node)) {
        if (System.nanoTime() > until) {
          Figures.progress("  " + seconds() + " does not come back: " + node.name());
          return; // Its clients go on as those of one that is not well.
        }
        sleep(20);
      }
      fleet.history().addNote("well: " + node.name());
      move(node, true);
    }

    private boolean inside(Node node) {
      try {
        Map<String, Object> page = node.get("work");
        return node.acceptsConnections() && ((Number) page.get("lease_left_ms")).longValue() > 1000;
      } catch (IOException e) {
        return false;
      }
    }

    private void move(Node node, boolean well) throws InterruptedException {
      OpenLoop before = loads.put(node, load(node, well));
      before.stop();
      spans.computeIfPresent(before, (load, span) -> span + " to " + seconds());
      ended.add(before);
    }

    private String seconds() {
      return (System.nanoTime() - began) / 1_000_000_000L + " s";
    }

    // ---- the verdict ----

    private void judge() throws Exception {
      sleep(1000);
      for (Node node : fleet.nodes()) {
        OpenLoop load = loads.get(node);
        load.stop();
        ended.add(load);
      }
      for (OpenLoop load : ended) {
        run.served += load.tally().count(Tally.Result.SERVED);
        run.calls += load.tally().total();
      }
      run.breaches = fleet.history().breaches().size();
      fleet.history().breaches().forEach(each -> Figures.progress("  breach " + each));
      run.floors = fleet.history().maxConcurrentOut() > Math.min(MOST_OUT, SPARED) ? 1 : 0;
      run.stuck = run.orders.get() - run.done.get();
      for (OpenLoop load : calm) {
        long lost = load.tally().count(Tally.Result.LOST);
        if (lost > 0) {
          Figures.progress(
              (ordering ? "  lost " : "  with no orders lost ")
                  + lost
                  + " of "
                  + load.tally().total()
                  + " at "
                  + spans.get(load));
        }
      }
      run.lost = fleet.ledger().lost(path -> calm.stream().anyMatch(load -> load.owns(path)));
      run.doubles = fleet.ledger().doubles(path -> path.contains("publish"));
      run.disagreements = disagreements();
    }

    /** Instances whose picture after the same entry is not that of the others. */
    private int disagreements() throws Exception {
      Map<Long, Set<String>> pictures = new TreeMap<>();
      Map<Long, Integer> seen = new TreeMap<>();
      int worst = 0;
      for (int i = 0; i < 40; i++) {
        for (Node node : fleet.nodes()) {
          Map<String, Object> page = node.get("work/settled");
          long index = ((Number) page.get("index")).longValue();
          pictures.computeIfAbsent(index, any -> new HashSet<>()).add(page.toString());
          seen.merge(index, 1, Integer::sum);
        }
      }
      int compared = 0;
      for (long index : pictures.keySet()) {
        worst = Math.max(worst, pictures.get(index).size() - 1);
        compared += seen.get(index) > 1 ? 1 : 0;
      }
      if (compared == 0) {
        throw new IllegalStateException("no two instances were seen after the same entry");
      }
      return worst;
    }
  }
}
