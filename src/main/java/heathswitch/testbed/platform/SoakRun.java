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
 * One run of processes under faults that a seed draws: discovery that is down, busy or forgetful,
 * servers that drain, join, die, hang or fail, signals in series, clocks that are stepped, calls of
 * the system that fail, idle clients that crowd in. SIGKILL comes at the earliest moment that the
 * platform allows, and clients use what is open until then. Afterwards the rules are checked.
 */
public final class SoakRun {
  /**
   * What was found.
   *
   * @param faults the schedule as it was played
   * @param breaks what broke a rule; empty if all held
   */
  public record Result(
      long seed,
      List<String> faults,
      List<String> violations,
      KeepAliveLoad.Counts counts,
      long slowestStartMillis) {}

  /** SIGKILL comes so long after the longest deadline, of these at most, at the earliest. */
  private static final long KILL_MILLIS = 700;

  private static final long MOST_DEADLINE_MILLIS = 3000;
  private static final long RUN_MILLIS = 20_000;
  private static final long LAST_FAULT_MILLIS = 13_000;

  /** Faults in which a change of the list is not heard. */
  private static final List<SoakFault> LIST_BLOCKING_FAULTS =
      List.of(
          SoakFault.DISCOVERY_DOWN,
          SoakFault.DISCOVERY_REJECTS_CALLS,
          SoakFault.DISCOVERY_BUSY,
          SoakFault.WATCHES_SILENT,
          SoakFault.DISCOVERY_REFUSES_ONE_BALANCER);

  private static final long SETTLE_MILLIS = 15_000;
  private static final int MOST_NAMED = 5;

  private final long seed;
  private final SplittableRandom random;
  private final SoakScenario settings;
  private final PlatformFleet fleet;
  private final Map<PlatformBalancer, SystemFaultInjector> injectors = new HashMap<>();
  private final Map<PlatformBalancer, KeepAliveLoad> loads = new HashMap<>();
  private final List<KeepAliveLoad> ended = new ArrayList<>();

  /** Those that have been told to end and are not back yet. */
  private final Set<PlatformBalancer> ending = ConcurrentHashMap.newKeySet();

  private final List<CompletableFuture<Void>> running = new ArrayList<>();
  private final List<Socket> openIdleConnections = new ArrayList<>();
  private final List<String> faults = new ArrayList<>();
  private final List<String> violations = new ArrayList<>();
  private long beganNanos;
  private long slowestStartMillis;

  private SoakRun(long seed) {
    this.seed = seed;
    random = new SplittableRandom(seed);
    settings = SoakScenario.draw(random);
    fleet = new PlatformFleet(seed, settings.settings(), settings.shape());
    faults.add(settings.toString());
  }

  /** Plays one seed. */
  public static Result run(long seed) throws Exception {
    SoakRun soak = new SoakRun(seed);
    try {
      return soak.run();
    } finally {
      soak.close();
    }
  }

  private Result run() throws Exception {
    for (int i = 0; i < settings.servers(); i++) {
      fleet.addServer(false);
    }
    fleet.discovery().setLoad(random.nextInt(20, 400), 0);
    for (int i = 0; i < settings.balancers(); i++) {
      SystemFaultInjector injector = new SystemFaultInjector();
      PlatformBalancer balancer = fleet.addBalancer();
      balancer.environment(injector.environment());
      injectors.put(balancer, injector);
      fleet.start(balancer);
      loads.put(balancer, fleet.startKeepAliveLoad(balancer, settings.perSecond()));
    }
    beganNanos = System.nanoTime();
    runFaults();
    sleepUntil(RUN_MILLIS);
    for (CompletableFuture<Void> each : running) {
      each.get(60, TimeUnit.SECONDS);
    }
    finish();
    return result();
  }

  // ---- the schedule ----

  private record Planned(long millis, SoakFault fault) {}

  /** Drawn faults at drawn times, and in the midst of them a list that changes unheard. */
  private void runFaults() throws Exception {
    List<Planned> plan = new ArrayList<>();
    for (int i = random.nextInt(4, 10); i > 0; i--) {
      SoakFault fault = any(settings.faults());
      plan.add(new Planned(random.nextLong(500, LAST_FAULT_MILLIS), fault));
    }
    long deaf = random.nextLong(1500, 5000);
    plan.add(
        new Planned(
            deaf, any(LIST_BLOCKING_FAULTS.stream().filter(settings.faults()::contains).toList())));
    plan.add(new Planned(deaf + random.nextLong(-300, 1500), SoakFault.BALANCERS_RECONFIGURED));
    plan.add(new Planned(deaf + random.nextLong(100, 2500), SoakFault.SERVER_DRAINS));
    plan.sort(Comparator.comparingLong(Planned::millis));
    for (Planned next : plan) {
      sleepUntil(next.millis());
      begin(next.fault());
    }
  }

  private void note(String text) {
    faults.add(String.format("%.2f %s", (System.nanoTime() - beganNanos) / 1e9, text));
  }

  private SoakFault any(List<SoakFault> among) {
    return among.get(random.nextInt(among.size()));
  }

  private PlatformBalancer randomBalancer() {
    return fleet.balancers().get(random.nextInt(settings.balancers()));
  }

  private String randomServer() {
    List<String> ids = fleet.inService();
    return ids.get(random.nextInt(ids.size()));
  }

  /** Begins a fault; what takes its time goes on by itself. */
  private void begin(SoakFault fault) throws Exception {
    DiscoveryStub discovery = fleet.discovery();
    long span = random.nextLong(1500, 13_000);
    switch (fault) {
      case DISCOVERY_DOWN -> {
        note("discovery down for " + span);
        discovery.setDown(true);
        later(span, () -> discovery.setDown(false));
      }
      case DISCOVERY_REJECTS_CALLS -> {
        note("discovery turns calls away for " + span);
        discovery.setRejecting(true);
        discovery.resetWatches();
        later(span, () -> discovery.setRejecting(false));
      }
      case DISCOVERY_BUSY -> {
        note("discovery has work of others for " + span);
        discovery.addBacklog(span);
        discovery.resetWatches();
      }
      case WATCHES_RESET -> {
        note("watches reset");
        discovery.resetWatches();
      }
      case WATCHES_SILENT -> {
        note("watches silent");
        discovery.silenceWatches();
      }
      case SERVER_DRAINS -> drain();
      case SERVER_JOINS -> note("joins " + fleet.addServer(true));
      case SERVER_DIES -> die();
      case SERVER_HANGS -> {
        String id = randomServer();
        note("hangs " + id + " for " + span);
        fleet.server(id).faults().silent(true);
        later(span, () -> fleet.server(id).faults().silent(false));
      }
      case SERVER_RESETS -> {
        String id = randomServer();
        note("resets " + id + " for " + span);
        fleet.server(id).faults().resets(0.3);
        later(span, () -> fleet.server(id).faults().resets(0));
      }
      case DISCOVERY_REFUSES_ONE_BALANCER -> cutOff(span);
      case BALANCERS_RECONFIGURED -> reconfigure();
      case BALANCERS_RECONFIGURED_WITH_READ_FAULTS -> {
        injectReadFaults();
        reconfigure();
      }
      case BALANCER_RESTARTED -> restart(randomBalancer());
      case BALANCER_PAUSED -> {
        PlatformBalancer balancer = randomBalancer();
        note("held up " + balancer.name());
        balancer.signal("STOP");
        later(random.nextLong(50, 150), () -> balancer.signal("CONT"));
      }
      case CLOCK_STEPPED -> {
        PlatformBalancer balancer = randomBalancer();
        long[] steps = {-3_600_000, -7000, 7000, 3_600_000};
        long step = steps[random.nextInt(steps.length)];
        note("clock of " + balancer.name() + " off by " + step);
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
    note("drains " + id);
    if (settings.drainingServersReject()) {
      fleet.drainAndReject(id);
    } else {
      fleet.drain(id);
    }
  }

  private void cutOff(long span) {
    PlatformBalancer balancer = randomBalancer();
    note("discovery refuses " + balancer.name() + " for " + span);
    fleet.discovery().setRefusing(balancer.name(), true);
    later(span, () -> fleet.discovery().setRefusing(balancer.name(), false));
  }

  /** The next file of each is read late, or cannot be read at first. */
  private void injectReadFaults() {
    boolean late = random.nextBoolean();
    int times = random.nextInt(1, 4);
    long millis = random.nextLong(50, 500);
    note("files of configurations " + (late ? "late by " + millis : "unreadable, " + times));
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

  private void die() throws Exception {
    if (fleet.inService().size() < 3) {
      return;
    }
    String id = randomServer();
    note("dies " + id);
    fleet.remove(id);
  }

  /** New configurations to all or one, in a series. */
  private void reconfigure() throws Exception {
    List<PlatformBalancer> told =
        random.nextBoolean() ? fleet.balancers() : List.of(randomBalancer());
    int times = random.nextInt(1, 5);
    note("new configurations, " + times + " to " + told.size());
    for (int i = 0; i < times; i++) {
      for (PlatformBalancer balancer : told) {
        if (balancer.alive() && !ending.contains(balancer)) {
          fleet.reconfigure(balancer);
        }
      }
      Thread.sleep(random.nextLong(20, 500));
    }
  }

  /** SIGTERM, with other signals around it, SIGKILL at the earliest moment, and a new process. */
  private void restart(PlatformBalancer balancer) throws Exception {
    if (!ending.add(balancer)) {
      return;
    }
    KeepAliveLoad load = loads.get(balancer);
    boolean hangUpBefore = random.nextBoolean();
    boolean again = random.nextBoolean();
    boolean hangUpAfter = random.nextBoolean();
    note("restarted " + balancer.name() + (again ? ", TERM twice" : ""));
    long kill = Math.min(fleet.settings().deadlineMillis(), MOST_DEADLINE_MILLIS) + KILL_MILLIS;
    running.add(
        CompletableFuture.runAsync(
            () -> {
              try {
                if (hangUpBefore) {
                  balancer.signal("HUP");
                }
                load.stopping();
                long signalled = System.nanoTime();
                balancer.signal("TERM");
                if (hangUpAfter) {
                  balancer.signal("HUP");
                }
                if (again) {
                  balancer.signal("TERM");
                }
                long left = kill - (System.nanoTime() - signalled) / 1_000_000;
                int code = balancer.awaitEnd(Math.max(0, left));
                if (code < 0) {
                  load.killed();
                  balancer.kill();
                } else if (code != 0) {
                  addViolation(balancer.name() + " ended with " + code);
                }
                load.stop();
                long took = fleet.start(balancer);
                synchronized (this) {
                  slowestStartMillis = Math.max(slowestStartMillis, took);
                  ended.add(load);
                  loads.put(balancer, fleet.startKeepAliveLoad(balancer, settings.perSecond()));
                }
                ending.remove(balancer);
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
    note("calls fail at " + balancer.name() + ", " + times);
    SystemFaultInjector injector = injectors.get(balancer);
    injector.fail(SystemFaultInjector.SystemCall.ACCEPT, accepts[random.nextInt(2)], times);
    injector.fail(SystemFaultInjector.SystemCall.SOCKET, SystemFaultInjector.Errno.ENFILE, times);
    injector.fail(SystemFaultInjector.SystemCall.CONNECT, connects[random.nextInt(2)], times);
  }

  /** Clients that connect and say nothing, more than there are descriptors. */
  private void openIdleConnections() {
    PlatformBalancer balancer = randomBalancer();
    note("crowd at " + balancer.name());
    for (int i = 0; i < 500; i++) {
      Socket socket = new Socket();
      try {
        socket.connect(balancer.listen(), 50);
        openIdleConnections.add(socket);
      } catch (IOException e) {
        return; // It is being restarted, or takes no more.
      }
    }
  }

  private interface Action {
    void run() throws Exception;
  }

  private void later(long millis, Action action) {
    running.add(
        CompletableFuture.runAsync(
            () -> {
              try {
                action.run();
              } catch (Exception e) {
                addViolation("the rig: " + e);
              }
            },
            CompletableFuture.delayedExecutor(millis, TimeUnit.MILLISECONDS)));
  }

  private void sleepUntil(long millis) throws InterruptedException {
    long left = millis - (System.nanoTime() - beganNanos) / 1_000_000;
    if (left > 0) {
      Thread.sleep(left);
    }
  }

  // ---- the rules ----

  private synchronized void addViolation(String what) {
    violations.add(what);
  }

  private synchronized List<KeepAliveLoad> allLoads() {
    List<KeepAliveLoad> all = new ArrayList<>(ended);
    all.addAll(loads.values());
    return all;
  }

  private void finish() throws InterruptedException, ExecutionException {
    allLoads().forEach(KeepAliveLoad::stop);
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(SETTLE_MILLIS);
    while (!allLoads().stream().allMatch(KeepAliveLoad::settled) && System.nanoTime() < until) {
      Thread.sleep(50);
    }
    for (PlatformBalancer balancer : fleet.balancers()) {
      if (!balancer.alive()) {
        addViolation(balancer.name() + " has crashed");
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
          "lost: " + lost.size() + ", " + lost.subList(0, Math.min(MOST_NAMED, lost.size())));
    }
    long twice = fleet.ledger().doubles(path -> path.contains("publish"));
    if (twice > 0) {
      addViolation("run twice: " + twice);
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
    for (Socket socket : openIdleConnections) {
      socket.close();
    }
    fleet.close();
    for (SystemFaultInjector injector : injectors.values()) {
      injector.close();
    }
  }

  /** The logs of a run's processes, by their names; while it runs. */
  Map<String, String> logs() throws IOException {
    Map<String, String> logs = new LinkedHashMap<>();
    for (PlatformBalancer balancer : fleet.balancers()) {
      logs.put(balancer.name(), Files.readString(balancer.log()));
    }
    return logs;
  }
}
