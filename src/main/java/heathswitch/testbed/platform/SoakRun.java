package heathswitch.testbed.platform;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

/**
 * One run of a soak test: balancer processes under a random scenario that is drawn from a seed. The
 * faults are: discovery that is down, busy or resets watches; servers that drain, join, die, hang
 * or reset connections; series of reloads and restarts; steps of the wall clock; system calls that
 * fail; many idle connections. SIGKILL follows SIGTERM as early as the platform allows, and clients
 * use open connections until then. At the end the run is checked for violations of the rules on
 * drains, lost requests, duplicates, exit codes and crashes.
 */
public final class SoakRun {
  /**
   * The result of a run.
   *
   * @param faults the scenario's settings and the faults with their times
   * @param violations of the rules; empty if none was found
   */
  public record Result(
      long seed,
      List<String> faults,
      List<String> violations,
      KeepAliveLoad.Counts counts,
      long slowestStartMillis) {}

  /**
   * SIGKILL may follow SIGTERM after the deadline, of which at most {@link #MAX_DEADLINE_MILLIS}
   * count, and this margin.
   */
  private static final long KILL_MARGIN_MILLIS = 700;

  private static final long MAX_DEADLINE_MILLIS = 3000;
  private static final long DURATION_MILLIS = 20_000;
  private static final long LAST_FAULT_MILLIS = 13_000;

  /** Faults during which changes of the list don't reach balancers. */
  private static final List<SoakFault> LIST_BLOCKING_FAULTS =
      List.of(
          SoakFault.DISCOVERY_DOWN,
          SoakFault.DISCOVERY_REJECTS_CALLS,
          SoakFault.DISCOVERY_BUSY,
          SoakFault.WATCHES_SILENT,
          SoakFault.DISCOVERY_REFUSES_ONE_BALANCER);

  private static final long SETTLE_MILLIS = 15_000;
  private static final int MAX_LISTED = 5;

  private final long seed;
  private final SplittableRandom random;
  private final SoakScenario scenario;
  private final PlatformFleet fleet;
  private final Map<PlatformBalancer, SystemFaultInjector> injectors = new HashMap<>();
  private final Map<PlatformBalancer, KeepAliveLoad> loads = new HashMap<>();
  private final List<KeepAliveLoad> endedLoads = new ArrayList<>();

  /** Balancers that were told to end and have not restarted yet. */
  private final Set<PlatformBalancer> restarting = ConcurrentHashMap.newKeySet();

  private final List<CompletableFuture<Void>> pending = new ArrayList<>();
  private final List<Socket> idleConnections = new ArrayList<>();
  private final List<String> faults = new ArrayList<>();
  private final List<String> violations = new ArrayList<>();
  private long startNanos;
  private long slowestStartMillis;

  private SoakRun(long seed) {
    this.seed = seed;
    random = new SplittableRandom(seed);
    scenario = SoakScenario.draw(random);
    fleet = new PlatformFleet(seed, scenario.settings(), scenario.shape());
    faults.add(scenario.toString());
  }

  /** Runs the scenario of one seed. */
  public static Result run(long seed) throws Exception {
    SoakRun soak = new SoakRun(seed);
    try {
      return soak.run();
    } finally {
      soak.close();
    }
  }

  private Result run() throws Exception {
    for (int i = 0; i < scenario.servers(); i++) {
      fleet.addServer(false);
    }
    fleet.discovery().setLoad(random.nextInt(20, 400), 0);
    for (int i = 0; i < scenario.balancers(); i++) {
      SystemFaultInjector injector = new SystemFaultInjector();
      PlatformBalancer balancer = fleet.addBalancer();
      balancer.environment(injector.environment());
      injectors.put(balancer, injector);
      fleet.start(balancer);
      loads.put(balancer, fleet.startKeepAliveLoad(balancer, scenario.perSecond()));
    }
    startNanos = System.nanoTime();
    runFaults();
    sleepUntil(DURATION_MILLIS);
    for (CompletableFuture<Void> each : pending) {
      each.get(60, TimeUnit.SECONDS);
    }
    check();
    return result();
  }

  // ---- the faults ----

  /** A fault and the time of its injection, since the start of the run. */
  private record PlannedFault(long millis, SoakFault fault) {}

  /**
   * Injects random faults at random times. In addition, every run has a fault that blocks the list,
   * with a reload and a drain at about the same time.
   */
  private void runFaults() throws Exception {
    List<PlannedFault> plan = new ArrayList<>();
    for (int i = random.nextInt(4, 10); i > 0; i--) {
      SoakFault fault = randomOf(scenario.faults());
      plan.add(new PlannedFault(random.nextLong(500, LAST_FAULT_MILLIS), fault));
    }
    long blockedMillis = random.nextLong(1500, 5000);
    plan.add(
        new PlannedFault(
            blockedMillis,
            randomOf(LIST_BLOCKING_FAULTS.stream().filter(scenario.faults()::contains).toList())));
    plan.add(
        new PlannedFault(
            blockedMillis + random.nextLong(-300, 1500), SoakFault.BALANCERS_RECONFIGURED));
    plan.add(new PlannedFault(blockedMillis + random.nextLong(100, 2500), SoakFault.SERVER_DRAINS));
    plan.sort(Comparator.comparingLong(PlannedFault::millis));
    for (PlannedFault next : plan) {
      sleepUntil(next.millis());
      inject(next.fault());
    }
  }

  private void note(String text) {
    faults.add(String.format("%.2f %s", (System.nanoTime() - startNanos) / 1e9, text));
  }

  private SoakFault randomOf(List<SoakFault> candidates) {
    return candidates.get(random.nextInt(candidates.size()));
  }

  private PlatformBalancer randomBalancer() {
    return fleet.balancers().get(random.nextInt(scenario.balancers()));
  }

  private String randomServer() {
    List<String> ids = fleet.inService();
    return ids.get(random.nextInt(ids.size()));
  }

  /** Injects a fault. A fault with a duration is ended by a scheduled action. */
  private void inject(SoakFault fault) throws Exception {
    DiscoveryStub discovery = fleet.discovery();
    long span = random.nextLong(1500, 13_000);
    switch (fault) {
      case DISCOVERY_DOWN -> {
        note("discovery down for " + span + " ms");
        discovery.setDown(true);
        schedule(span, () -> discovery.setDown(false));
      }
      case DISCOVERY_REJECTS_CALLS -> {
        note("discovery rejects calls for " + span + " ms");
        discovery.setRejecting(true);
        discovery.resetWatches();
        schedule(span, () -> discovery.setRejecting(false));
      }
      case DISCOVERY_BUSY -> {
        note("discovery busy with other callers for " + span + " ms");
        discovery.addBacklog(span);
        discovery.resetWatches();
      }
      case WATCHES_RESET -> {
        note("all watches reset");
        discovery.resetWatches();
      }
      case WATCHES_SILENT -> {
        note("all watches silenced");
        discovery.silenceWatches();
      }
      case SERVER_DRAINS -> drain();
      case SERVER_JOINS -> note("server joins: " + fleet.addServer(true));
      case SERVER_DIES -> stopServer();
      case SERVER_HANGS -> {
        String id = randomServer();
        note("server hangs: " + id + " for " + span + " ms");
        fleet.server(id).faults().unresponsive(true);
        schedule(span, () -> fleet.server(id).faults().unresponsive(false));
      }
      case SERVER_RESETS -> {
        String id = randomServer();
        note("server resets connections: " + id + " for " + span + " ms");
        fleet.server(id).faults().resetShare(0.3);
        schedule(span, () -> fleet.server(id).faults().resetShare(0));
      }
      case DISCOVERY_REFUSES_ONE_BALANCER -> refuseOneBalancer(span);
      case BALANCERS_RECONFIGURED -> reconfigure();
      case BALANCERS_RECONFIGURED_WITH_READ_FAULTS -> {
        injectReadFaults();
        reconfigure();
      }
      case BALANCER_RESTARTED -> restart(randomBalancer());
      case BALANCER_PAUSED -> {
        PlatformBalancer balancer = randomBalancer();
        note("balancer paused: " + balancer.name());
        balancer.signal("STOP");
        schedule(random.nextLong(50, 150), () -> balancer.signal("CONT"));
      }
      case CLOCK_STEPPED -> {
        PlatformBalancer balancer = randomBalancer();
        long[] steps = {-3_600_000, -7000, 7000, 3_600_000};
        long step = steps[random.nextInt(steps.length)];
        note("wall clock of " + balancer.name() + " off by " + step + " ms");
        injectors.get(balancer).setWallClockOffset(step);
      }
      case SYSTEM_CALLS_FAIL -> failSystemCalls();
      case IDLE_CONNECTIONS -> openIdleConnections();
      default -> throw new IllegalStateException(fault.toString());
    }
  }

  private void drain() throws Exception {
    if (fleet.inService().size() < 3) {
      return;
    }
    String id = randomServer();
    note("server drains: " + id);
    if (scenario.drainingServersReject()) {
      fleet.drainAndReject(id);
    } else {
      fleet.drain(id);
    }
  }

  private void refuseOneBalancer(long span) {
    PlatformBalancer balancer = randomBalancer();
    note("discovery refuses connections of " + balancer.name() + " for " + span + " ms");
    fleet.discovery().setRefusing(balancer.name(), true);
    schedule(span, () -> fleet.discovery().setRefusing(balancer.name(), false));
  }

  /** Delays the next read of each balancer's configuration file, or fails its next reads. */
  private void injectReadFaults() {
    boolean late = random.nextBoolean();
    int times = random.nextInt(1, 4);
    long millis = random.nextLong(50, 500);
    note(
        "reads of configuration files "
            + (late ? "delayed by " + millis + " ms" : "fail " + times + " times"));
    for (SystemFaultInjector injector : injectors.values()) {
      if (late) {
        injector.delayConfigurationRead(millis);
      } else {
        injector.fail(
            SystemFaultInjector.SystemCall.READ_CONFIGURATION,
            SystemFaultInjector.Errno.EIO,
            times);
      }
    }
  }

  private void stopServer() throws Exception {
    if (fleet.inService().size() < 3) {
      return;
    }
    String id = randomServer();
    note("server dies: " + id);
    fleet.remove(id);
  }

  /** Reloads all balancers or one of them, several times in a row. */
  private void reconfigure() throws Exception {
    List<PlatformBalancer> reloaded =
        random.nextBoolean() ? fleet.balancers() : List.of(randomBalancer());
    int times = random.nextInt(1, 5);
    note("reloads: " + times + " of " + reloaded.size() + " balancers");
    for (int i = 0; i < times; i++) {
      for (PlatformBalancer balancer : reloaded) {
        if (balancer.alive() && !restarting.contains(balancer)) {
          fleet.reconfigure(balancer);
        }
      }
      Thread.sleep(random.nextLong(20, 500));
    }
  }

  /** Sends SIGTERM, possibly among other signals, then SIGKILL as early as allowed; restarts. */
  private void restart(PlatformBalancer balancer) throws Exception {
    if (!restarting.add(balancer)) {
      return;
    }
    KeepAliveLoad load = loads.get(balancer);
    boolean hangUpBefore = random.nextBoolean();
    boolean termTwice = random.nextBoolean();
    boolean hangUpAfter = random.nextBoolean();
    note("balancer restarted: " + balancer.name() + (termTwice ? ", SIGTERM twice" : ""));
    long killMillis =
        Math.min(fleet.settings().deadlineMillis(), MAX_DEADLINE_MILLIS) + KILL_MARGIN_MILLIS;
    pending.add(
        CompletableFuture.runAsync(
            () -> {
              try {
                if (hangUpBefore) {
                  balancer.signal("HUP");
                }
                load.stopSignalled();
                long signalled = System.nanoTime();
                balancer.signal("TERM");
                if (hangUpAfter) {
                  balancer.signal("HUP");
                }
                if (termTwice) {
                  balancer.signal("TERM");
                }
                long left = killMillis - (System.nanoTime() - signalled) / 1_000_000;
                int code = balancer.awaitExit(Math.max(0, left));
                if (code < 0) {
                  load.killed();
                  balancer.kill();
                } else if (code != 0) {
                  addViolation(balancer.name() + " exited with code " + code);
                }
                load.stop();
                long took = fleet.start(balancer);
                synchronized (this) {
                  slowestStartMillis = Math.max(slowestStartMillis, took);
                  endedLoads.add(load);
                  loads.put(balancer, fleet.startKeepAliveLoad(balancer, scenario.perSecond()));
                }
                restarting.remove(balancer);
              } catch (IOException | InterruptedException e) {
                addViolation(balancer.name() + ": " + e);
              }
            }));
  }

  private void failSystemCalls() {
    PlatformBalancer balancer = randomBalancer();
    SystemFaultInjector.Errno[] accepts = {
      SystemFaultInjector.Errno.ENFILE, SystemFaultInjector.Errno.ENOBUFS
    };
    SystemFaultInjector.Errno[] connects = {
      SystemFaultInjector.Errno.EADDRNOTAVAIL, SystemFaultInjector.Errno.ENETUNREACH
    };
    int times = random.nextInt(1, 6);
    note("system calls of " + balancer.name() + " fail, " + times + " of each kind");
    SystemFaultInjector injector = injectors.get(balancer);
    injector.fail(SystemFaultInjector.SystemCall.ACCEPT, accepts[random.nextInt(2)], times);
    injector.fail(SystemFaultInjector.SystemCall.SOCKET, SystemFaultInjector.Errno.ENFILE, times);
    injector.fail(SystemFaultInjector.SystemCall.CONNECT, connects[random.nextInt(2)], times);
  }

  /** Opens more idle connections to one balancer than it has descriptors for. */
  private void openIdleConnections() {
    PlatformBalancer balancer = randomBalancer();
    note("idle connections to " + balancer.name());
    for (int i = 0; i < 500; i++) {
      Socket socket = new Socket();
      try {
        socket.connect(balancer.listen(), 50);
        idleConnections.add(socket);
      } catch (IOException e) {
        return; // The balancer is restarting or accepts no more connections.
      }
    }
  }

  /** An action of a fault, which may throw. */
  private interface Action {
    void run() throws Exception;
  }

  private void schedule(long millis, Action action) {
    pending.add(
        CompletableFuture.runAsync(
            () -> {
              try {
                action.run();
              } catch (Exception e) {
                addViolation("test bed: " + e);
              }
            },
            CompletableFuture.delayedExecutor(millis, TimeUnit.MILLISECONDS)));
  }

  private void sleepUntil(long millis) throws InterruptedException {
    long left = millis - (System.nanoTime() - startNanos) / 1_000_000;
    if (left > 0) {
      Thread.sleep(left);
    }
  }

  // ---- the checks ----

  private synchronized void addViolation(String text) {
    violations.add(text);
  }

  private synchronized List<KeepAliveLoad> allLoads() {
    List<KeepAliveLoad> all = new ArrayList<>(endedLoads);
    all.addAll(loads.values());
    return all;
  }

  /** Ends the loads, waits for outstanding requests and checks the rules. */
  private void check() throws InterruptedException, ExecutionException {
    allLoads().forEach(KeepAliveLoad::stop);
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(SETTLE_MILLIS);
    while (!allLoads().stream().allMatch(KeepAliveLoad::settled) && System.nanoTime() < until) {
      Thread.sleep(50);
    }
    for (PlatformBalancer balancer : fleet.balancers()) {
      if (!balancer.alive()) {
        addViolation(balancer.name() + " crashed");
      }
    }
    List<RoutingHistory.LateRequest> late = fleet.lateRequests();
    if (!late.isEmpty()) {
      addViolation("drain: " + late.size() + ", " + late.get(0));
    }
    List<KeepAliveLoad.LostRequest> lost = new ArrayList<>();
    allLoads().forEach(load -> lost.addAll(load.lost()));
    if (!lost.isEmpty()) {
      addViolation(
          "lost: " + lost.size() + ", " + lost.subList(0, Math.min(MAX_LISTED, lost.size())));
    }
    long duplicates = fleet.ledger().duplicateRunCount(path -> path.contains("publish"));
    if (duplicates > 0) {
      addViolation("duplicates of unsafe requests: " + duplicates);
    }
  }

  private Result result() {
    long[] sums = new long[5];
    for (KeepAliveLoad load : allLoads()) {
      KeepAliveLoad.Counts counts = load.counts();
      sums[0] += counts.sent();
      sums[1] += counts.served();
      sums[2] += counts.refused();
      sums[3] += counts.failed();
      sums[4] += counts.unreached();
    }
    KeepAliveLoad.Counts counts =
        new KeepAliveLoad.Counts(sums[0], sums[1], sums[2], sums[3], sums[4]);
    return new Result(
        seed, List.copyOf(faults), List.copyOf(violations), counts, slowestStartMillis);
  }

  private void close() throws IOException {
    for (Socket socket : idleConnections) {
      socket.close();
    }
    fleet.close();
    for (SystemFaultInjector injector : injectors.values()) {
      injector.close();
    }
  }

  /** The logs of the balancer processes, by name, while the run lasts. */
  Map<String, String> logs() throws IOException {
    Map<String, String> logs = new LinkedHashMap<>();
    for (PlatformBalancer balancer : fleet.balancers()) {
      logs.put(balancer.name(), Files.readString(balancer.log()));
    }
    return logs;
  }
}
