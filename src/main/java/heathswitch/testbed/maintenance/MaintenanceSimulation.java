package heathswitch.testbed.maintenance;

import heathswitch.policy.maintenance.CapacityFloor;
import heathswitch.policy.maintenance.Command;
import heathswitch.policy.maintenance.CommandResult;
import heathswitch.policy.maintenance.FormatSupport;
import heathswitch.policy.maintenance.InstanceSession;
import heathswitch.policy.maintenance.LogClock;
import heathswitch.policy.maintenance.Machine;
import heathswitch.policy.maintenance.MaintenanceRules;
import heathswitch.policy.maintenance.MaintenanceState;
import heathswitch.policy.maintenance.Phase;
import heathswitch.policy.maintenance.ServerGroup;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * A simulation in virtual time of three instances, four machines and one log, with fault injection
 * and a check of {@link Invariant}s after each event. Submitted commands may be lost, delayed,
 * reordered or appended twice; instances pause, die and restart with or without their disk; the
 * leader changes. The log itself is a single list: agreement on it is the responsibility of the
 * Raft library.
 */
final class MaintenanceSimulation {
  static final ServerGroup GROUP = new ServerGroup("store", "a");
  static final List<String> MACHINES = List.of("m1", "m2", "m3", "m4");

  /**
   * Each set of rules restricts one thing only; otherwise one limit would hide that another is
   * broken.
   */
  private static final List<MaintenanceRules> RULES =
      List.of(
          new MaintenanceRules(1, 1000, 100, 9, 9, List.of(new CapacityFloor("store", "*", 0.5))),
          new MaintenanceRules(1, 1000, 100, 2, 9, List.of()),
          new MaintenanceRules(1, 1000, 100, 9, 1, List.of()),
          new MaintenanceRules(1, 1000, 100, 9, 9, List.of()));

  /**
   * Number of configurations: each set of rules with instances of one release, and with one
   * instance of an earlier release.
   */
  static final int CONFIGURATIONS = RULES.size() * 2;

  /** The number of the order that takes balancers out. */
  private static final int BALANCER_ORDER = 3;

  private static final int INSTANCES = 3;
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final int MAX_PENDING = 64;
  private static final int MAX_EVENTS_SHOWN = 80;

  /** What must hold in every state; a {@link Violation} shows its name. */
  enum Invariant {
    /**
     * From when a machine is out until its work is reported as done no call begins at it, and a
     * balancer neither joins nor returns.
     */
    OUT_UNTIL_DONE,
    /**
     * Capacity, the number of machines that are out, and their number in one cell are within the
     * rules.
     */
    CAPACITY_LIMITS,
    /** Instances that have applied the same entries have the same state. */
    SAME_STATE,
    /** An instance that the others have fenced sends nothing. */
    NO_SENDING_WHEN_FENCED,
    /** No order holds more machines at once than it requested. */
    AT_ONCE_LIMIT,
    /** No machine is held by two orders. */
    ONE_ORDER_PER_MACHINE,
    /** No instance has to apply an entry in a format that its release does not know. */
    KNOWN_FORMATS,
    /** Once all faults are over, every order ends and every instance may send. */
    PROGRESS
  }

  /** An invariant that did not hold, with the configuration and the events that led to it. */
  record Violation(
      Invariant invariant,
      String description,
      boolean stopsWhenCutOff,
      int configuration,
      List<Event> events) {
    @Override
    public String toString() {
      StringBuilder text =
          new StringBuilder(
              invariant
                  + ": "
                  + description
                  + "; stopsWhenCutOff "
                  + stopsWhenCutOff
                  + ", configuration "
                  + configuration);
      events.stream()
          .limit(MAX_EVENTS_SHOWN)
          .forEach(
              event ->
                  text.append("\n  ").append(event.kind()).append(' ').append(event.argument()));
      return text.toString();
    }
  }

  /** Kinds of events. */
  enum Kind {
    /** Time advances by a number of milliseconds. */
    ADVANCE_TIME,
    /** An instance applies its next log entry. */
    APPLY,
    /** An instance runs a step of its session. */
    STEP,
    /** The leader reads its clock for the first pending command. */
    READ_CLOCK,
    /** The leader appends the first pending command. */
    APPEND,
    /** The first pending command is lost. */
    DROP,
    /** The first pending command becomes the last. */
    REORDER,
    /** The first pending command is appended and stays pending. */
    DUPLICATE,
    /** An instance, the argument / 4, dispatches a call to a machine, the argument % 4. */
    DISPATCH_CALL,
    /** An instance writes its oldest unwritten call. */
    WRITE_CALL,
    /** The written calls of an instance end. */
    END_CALL,
    PAUSE,
    RESUME,
    KILL,
    RESTART,
    RESTART_WITHOUT_DISK,
    /** An instance is cut off from the log. */
    PARTITION,
    HEAL,
    ELECT,
    REQUEST_ORDER,
    COMPLETE_ORDER,
    CANCEL_ORDER,
    FENCE,
    /** An instance restarts with the latest release. */
    UPGRADE,
    /** All instances see one machine as unhealthy, or as healthy again. */
    TOGGLE_UNHEALTHY,
    /** The log of an instance stops until the instance is killed. */
    STOP_LOG
  }

  /**
   * One event; the meaning of the argument depends on the kind: milliseconds, the index of an
   * instance, an order, or an instance and a machine in one number.
   */
  record Event(Kind kind, int argument) {}

  /** A command that was submitted and has not been answered. */
  private static final class PendingCommand {
    final SimulatedInstance submitter;
    final InstanceSession session;
    final Command command;
    final int formatVersion;
    long readTerm = -1;
    long readMillis;
    boolean duplicated;

    PendingCommand(SimulatedInstance submitter, Command command, int formatVersion) {
      this.formatVersion = formatVersion;
      this.submitter = submitter;
      this.session = submitter == null ? null : submitter.session;
      this.command = command;
    }
  }

  private record Entry(
      long term, long readTerm, long readMillis, Command command, int formatVersion) {}

  private final List<SimulatedInstance> instances = new ArrayList<>();
  private final List<PendingCommand> pendingCommands = new ArrayList<>();
  private final List<Entry> log = new ArrayList<>();

  /** The expected state: the whole log, each entry applied as soon as it is appended. */
  private final MaintenanceState expected = new MaintenanceState();

  /** The expected state after each entry, as a snapshot. */
  private final List<Object> expectedSnapshots = new ArrayList<>();

  private final LogClock expectedClock = new LogClock();
  private final List<LogClock> clocks = new ArrayList<>();
  private final List<Event> events = new ArrayList<>();
  private final boolean stopsWhenCutOff;
  private Violation violation;
  private long now;
  private long term = 1;
  private int leader;
  private long lastIncarnation;
  private int orderRequests;

  /** The balancers that are out. */
  private final Set<String> balancersOut = new HashSet<>();

  /** Index of the rules and of the releases, see {@link #CONFIGURATIONS}. */
  private final int configuration;

  /** Whether every instance sees one machine as unhealthy. */
  private boolean unhealthy;

  /**
   * Creates a simulation in which no instance has joined yet.
   *
   * @param configuration from 0 to {@link #CONFIGURATIONS} - 1
   */
  MaintenanceSimulation(boolean stopsWhenCutOff, int configuration) {
    this.stopsWhenCutOff = stopsWhenCutOff;
    this.configuration = configuration;
    MaintenanceRules rules = rules();
    int olderRelease = configuration < RULES.size() ? -1 : INSTANCES - 1;
    double[] rates = {1.0, 1.02, 0.98};
    for (int i = 0; i < INSTANCES; i++) {
      FormatSupport release =
          new FormatSupport(
              i == olderRelease ? FormatSupport.FIRST : FormatSupport.LATEST, INSTANCES);
      instances.add(
          new SimulatedInstance(
              this,
              "i" + i,
              rules,
              stopsWhenCutOff,
              rates[i],
              i * 7_000_000_000L - 9_000_000L,
              release));
      clocks.add(new LogClock());
    }
  }

  private MaintenanceRules rules() {
    return RULES.get(configuration % RULES.size());
  }

  long now() {
    return now;
  }

  /** Number of machines that are seen as unhealthy. */
  int unhealthyCount() {
    return unhealthy ? 1 : 0;
  }

  /** Returns a new incarnation number. */
  long nextIncarnation() {
    return ++lastIncarnation;
  }

  Violation violation() {
    return violation;
  }

  MaintenanceState expectedState() {
    return expected;
  }

  private void violated(Invariant invariant, String description) {
    if (violation == null) {
      violation =
          new Violation(
              invariant, description, stopsWhenCutOff, configuration, List.copyOf(events));
    }
  }

  // ---- called by the instances ----

  void callStarted(SimulatedInstance caller, String machine) {
    for (MaintenanceState.AwayMachine each : expected.awayMachines()) {
      if (each.machine().equals(machine) && each.phase() == Phase.OUT) {
        violated(Invariant.OUT_UNTIL_DONE, caller.name + " began a call at " + machine);
      }
    }
  }

  void submit(SimulatedInstance submitter, Command command) {
    if (!submitter.partitioned && pendingCommands.size() < MAX_PENDING) {
      pendingCommands.add(new PendingCommand(submitter, command, submitter.state.formatVersion()));
    } else {
      submitter.session.onResult(command, null, submitter.clock(), submitter);
    }
  }

  // ---- events ----

  /** The events that can happen in this state. */
  List<Event> possibleEvents() {
    List<Event> list = new ArrayList<>();
    list.add(new Event(Kind.ADVANCE_TIME, 10));
    list.add(new Event(Kind.ADVANCE_TIME, 120));
    list.add(new Event(Kind.ADVANCE_TIME, 700));
    for (int i = 0; i < instances.size(); i++) {
      SimulatedInstance instance = instances.get(i);
      if (instance.isRunning()) {
        if (instance.appliedCount < log.size() && !instance.partitioned && !instance.logStopped) {
          list.add(new Event(Kind.APPLY, i));
        }
        list.add(new Event(Kind.STEP, i));
        for (int m = 0; m < 2; m++) {
          list.add(new Event(Kind.DISPATCH_CALL, i * 4 + m));
        }
        if (!instance.calls.isEmpty()) {
          list.add(new Event(Kind.WRITE_CALL, i));
          list.add(new Event(Kind.END_CALL, i));
        }
        list.add(new Event(Kind.PAUSE, i));
        list.add(new Event(Kind.STOP_LOG, i));
        list.add(new Event(Kind.ELECT, i));
      }
      if (instance.alive && instance.paused) {
        list.add(new Event(Kind.RESUME, i));
      }
      list.add(new Event(instance.partitioned ? Kind.HEAL : Kind.PARTITION, i));
      if (instance.alive) {
        list.add(new Event(Kind.KILL, i));
      } else {
        list.add(new Event(Kind.RESTART, i));
        list.add(new Event(Kind.RESTART_WITHOUT_DISK, i));
        list.add(new Event(Kind.FENCE, i));
        if (instance.release.latestFormat() < FormatSupport.LATEST) {
          list.add(new Event(Kind.UPGRADE, i));
        }
      }
    }
    list.add(new Event(Kind.TOGGLE_UNHEALTHY, 0));
    if (!pendingCommands.isEmpty()) {
      list.add(new Event(Kind.READ_CLOCK, 0));
      list.add(new Event(Kind.APPEND, 0));
      list.add(new Event(Kind.DROP, 0));
      list.add(new Event(Kind.DUPLICATE, 0));
    }
    if (pendingCommands.size() > 1) {
      list.add(new Event(Kind.REORDER, 0));
    }
    if (orderRequests < 6) {
      list.add(new Event(Kind.REQUEST_ORDER, orderRequests));
    }
    for (long order : expected.orderIds()) {
      list.add(new Event(Kind.COMPLETE_ORDER, (int) order));
      list.add(new Event(Kind.CANCEL_ORDER, (int) order));
    }
    return list;
  }

  /** Executes an event and checks the invariants; an event that cannot happen is skipped. */
  MaintenanceSimulation execute(Event event) {
    if (!isPossible(event)) {
      return this;
    }
    events.add(event);
    int argument = event.argument();
    switch (event.kind()) {
      case ADVANCE_TIME -> now += argument * NANOS_PER_MILLI;
      case APPLY -> applyNext(instances.get(argument));
      case STEP -> instances.get(argument).step();
      case READ_CLOCK -> readClock();
      case APPEND -> append(false);
      case DROP -> drop();
      case REORDER -> pendingCommands.add(pendingCommands.remove(0));
      case DUPLICATE -> append(true);
      case DISPATCH_CALL -> instances.get(argument / 4).dispatch(MACHINES.get(argument % 4));
      case WRITE_CALL -> instances.get(argument).writeNext();
      case END_CALL -> instances.get(argument).calls.removeIf(call -> call.written);
      case PAUSE -> instances.get(argument).paused = true;
      case RESUME -> instances.get(argument).paused = false;
      case KILL -> {
        instances.get(argument).kill();
        leader = leader == argument ? -1 : leader; // It restarts as a follower.
      }
      case RESTART -> start(argument);
      case UPGRADE -> {
        instances.get(argument).release = new FormatSupport(FormatSupport.LATEST, INSTANCES);
        start(argument);
      }
      case TOGGLE_UNHEALTHY -> unhealthy = !unhealthy;
      case STOP_LOG -> {
        // Until it is killed: its disk is full, or it receives nothing and does not know.
        instances.get(argument).logStopped = true;
        instances.get(argument).knowsLogStopped = (now >>> 20 & 1) == 0;
      }
      case RESTART_WITHOUT_DISK -> {
        instances.get(argument).start(false);
        clocks.set(argument, new LogClock());
      }
      case PARTITION -> instances.get(argument).partitioned = true;
      case HEAL -> instances.get(argument).partitioned = false;
      case ELECT -> elect(argument);
      case REQUEST_ORDER -> requestOrder(argument);
      case COMPLETE_ORDER -> submitAsOperator(new Command.Done(argument, null));
      case CANCEL_ORDER -> submitAsOperator(new Command.Cancel(argument));
      case FENCE -> submitAsOperator(new Command.Fence(instances.get(argument).name, false));
    }
    checkInvariants();
    return this;
  }

  /** Starts a new process on the old disk. */
  private void start(int index) {
    instances.get(index).start(true);
    LogClock clock = new LogClock();
    clock.restore(clocks.get(index).appliedMillis());
    clocks.set(index, clock);
  }

  /** Whether an event can happen in this state. */
  private boolean isPossible(Event event) {
    return switch (event.kind()) {
      case RESTART, RESTART_WITHOUT_DISK, UPGRADE -> !instances.get(event.argument()).alive;
      case STEP, WRITE_CALL, END_CALL, PAUSE, ELECT, STOP_LOG ->
          instances.get(event.argument()).isRunning();
      case APPLY -> {
        SimulatedInstance instance = instances.get(event.argument());
        yield instance.isRunning()
            && !instance.partitioned
            && !instance.logStopped
            && instance.appliedCount < log.size();
      }
      case DISPATCH_CALL -> instances.get(event.argument() / 4).isRunning();
      case READ_CLOCK, APPEND, DROP, DUPLICATE, REORDER -> !pendingCommands.isEmpty();
      default -> true;
    };
  }

  /** Applies the next log entry on an instance and compares its state with the expected one. */
  private void applyNext(SimulatedInstance instance) {
    Entry entry = log.get(instance.appliedCount);
    long stampMillis =
        clocks
            .get(instances.indexOf(instance))
            .apply(entry.term(), entry.readTerm(), entry.readMillis());
    if (entry.formatVersion() > instance.release.latestFormat()) {
      violated(
          Invariant.KNOWN_FORMATS,
          instance.name + " has to apply an entry of format " + entry.formatVersion());
    }
    instance.apply(instance.appliedCount + 1, stampMillis, entry.command());
    if (!instance.state.toSnapshot().equals(expectedSnapshots.get(instance.appliedCount - 1))) {
      violated(
          Invariant.SAME_STATE,
          instance.name
              + " has a different state after entry "
              + instance.appliedCount
              + ": "
              + instance.state.toSnapshot()
              + " and "
              + expectedSnapshots.get(instance.appliedCount - 1));
    }
  }

  /**
   * Begins a term: the new leader applies all entries of earlier terms before it reads its clock.
   */
  private void elect(int index) {
    SimulatedInstance instance = instances.get(index);
    if (!instance.partitioned && !instance.logStopped) {
      leader = index;
      term++;
      while (instance.appliedCount < log.size()) {
        applyNext(instance);
      }
    }
  }

  private boolean hasLeader() {
    return leader >= 0 && instances.get(leader).isRunning() && !instances.get(leader).logStopped;
  }

  boolean isLeader(SimulatedInstance instance) {
    return hasLeader() && instances.get(leader) == instance;
  }

  /** Stamps the first pending command with the term and the clock reading of the leader. */
  private void readClock() {
    PendingCommand pendingCommand = pendingCommands.get(0);
    if (hasLeader()) {
      pendingCommand.readTerm = term;
      pendingCommand.readMillis = clocks.get(leader).read(term, instances.get(leader).clock());
    }
  }

  /** Appends the first pending command to the log, and keeps it pending if it is duplicated. */
  private void append(boolean duplicate) {
    PendingCommand pendingCommand = pendingCommands.get(0);
    if (!hasLeader() || instances.get(leader).partitioned) {
      return;
    }
    if (pendingCommand.readTerm < 0) {
      readClock();
    }
    Entry entry =
        new Entry(
            term,
            pendingCommand.readTerm,
            pendingCommand.readMillis,
            pendingCommand.command,
            pendingCommand.formatVersion);
    log.add(entry);
    long stampMillis = expectedClock.apply(entry.term(), entry.readTerm(), entry.readMillis());
    CommandResult result = expected.apply(log.size(), stampMillis, pendingCommand.command);
    expectedSnapshots.add(expected.toSnapshot());
    if (duplicate && !pendingCommand.duplicated) {
      pendingCommand.duplicated = true;
      pendingCommand.readTerm = -1;
    } else {
      pendingCommands.remove(0);
    }
    deliverResult(pendingCommand, result);
  }

  private void drop() {
    deliverResult(pendingCommands.remove(0), null);
  }

  private void deliverResult(PendingCommand pendingCommand, CommandResult result) {
    SimulatedInstance submitter = pendingCommand.submitter;
    if (submitter != null && submitter.alive && submitter.session == pendingCommand.session) {
      // A paused instance would get the result once it resumes, by its own clock then; this is no
      // sooner.
      submitter.session.onResult(
          pendingCommand.command,
          submitter.partitioned ? null : result,
          submitter.clock(),
          submitter);
    }
  }

  private void submitAsOperator(Command command) {
    pendingCommands.add(0, new PendingCommand(null, command, expected.formatVersion()));
    append(false);
    pendingCommands.removeIf(pendingCommand -> pendingCommand.submitter == null);
  }

  private void requestOrder(int number) {
    List<Machine> machines = new ArrayList<>();
    if (number == BALANCER_ORDER) {
      machines.add(Machine.balancer(instances.get(2).name));
      machines.add(Machine.balancer(instances.get(1).name));
    }
    for (int i = 0; i <= number % 3 && number != BALANCER_ORDER; i++) {
      int m = (number + i) % MACHINES.size();
      machines.add(new Machine(MACHINES.get(m), "store", "a", m / 2, 1, "at-" + m));
    }
    int before = expected.orderIds().size();
    submitAsOperator(
        new Command.Ask(
            "k" + number,
            number % 2 == 0 ? "ann" : "bo",
            "",
            number == 4,
            1 + number % 2,
            1000,
            0,
            0,
            0,
            machines));
    orderRequests += expected.orderIds().size() > before ? 1 : 0;
  }

  // ---- invariants ----

  private void checkInvariants() {
    Set<String> held = new HashSet<>();
    Map<Long, Integer> cells = new HashMap<>();
    Map<Long, Integer> orders = new HashMap<>();
    MaintenanceRules rules = rules();
    int out = 0;
    int balancers = 0;
    for (MaintenanceState.AwayMachine each : expected.awayMachines()) {
      if (!held.add(each.machine())) {
        violated(Invariant.ONE_ORDER_PER_MACHINE, each.machine() + " is held by two orders");
      }
      String balancer = Machine.instance(each.machine());
      balancers += balancer != null ? 1 : 0;
      if (each.phase().held() && balancer == null) {
        out++;
        long cell = MACHINES.indexOf(each.machine()) / 2;
        if (cells.merge(cell, 1, Integer::sum) > rules.maxOutInCell()) {
          violated(Invariant.CAPACITY_LIMITS, "too many machines of one cell are out");
        }
        if (orders.merge(each.order(), 1, Integer::sum) > expected.request(each.order()).atOnce()) {
          violated(Invariant.AT_ONCE_LIMIT, "order " + each.order() + " has too many machines out");
        }
      }
    }
    for (MaintenanceState.AwayMachine each : expected.awayMachines()) {
      String balancer = Machine.instance(each.machine());
      if (balancer != null) {
        checkBalancer(balancer, each.phase());
      }
    }
    if (balancers > 1) {
      violated(Invariant.CAPACITY_LIMITS, balancers + " balancers are away");
    }
    double minWeight = 0;
    for (CapacityFloor floor : rules.floors()) {
      minWeight = floor.minShare() * MACHINES.size();
    }
    if (out > rules.maxOut() || MACHINES.size() - out < minWeight) {
      violated(Invariant.CAPACITY_LIMITS, out + " machines are out");
    }
    for (SimulatedInstance instance : instances) {
      if (stopsWhenCutOff
          && instance.isRunning()
          && instance.session.joined()
          && instance.session.maySend(instance.clock())
          && !expected.hasJoined(instance.name, instance.session.incarnation())) {
        violated(
            Invariant.NO_SENDING_WHEN_FENCED, instance.name + " may send although it is fenced");
      }
    }
  }

  /**
   * A balancer that is out returns only when its work is reported as done, even if its process
   * restarts.
   */
  private void checkBalancer(String balancer, Phase phase) {
    for (SimulatedInstance instance : instances) {
      if (instance.name.equals(balancer)) {
        if (phase == Phase.OUT) {
          balancersOut.add(balancer);
          if (expected.hasJoined(balancer, expected.incarnation(balancer))) {
            violated(Invariant.OUT_UNTIL_DONE, balancer + " is out and has joined");
          }
        } else if (phase == Phase.RETURNING
            && balancersOut.remove(balancer)
            && events.get(events.size() - 1).kind() != Kind.COMPLETE_ORDER) {
          violated(Invariant.OUT_UNTIL_DONE, balancer + " returned by itself");
        }
      }
    }
  }

  /**
   * Ends all faults and reports the work on all machines that are out as done; then every order
   * must end.
   */
  MaintenanceSimulation recover() {
    int deadIndex = -1;
    unhealthy = false;
    for (int i = 0; i < instances.size(); i++) {
      SimulatedInstance instance = instances.get(i);
      instance.partitioned = false;
      instance.paused = false;
      if (instance.logStopped && !stopsWhenCutOff) {
        execute(new Event(Kind.KILL, i)); // By an operator who sees that its log has stopped.
      }
      if ((instance.logStopped || !instance.alive)
          && deadIndex < 0
          && orderRequests <= BALANCER_ORDER) {
        // One instance stays dead, or its log stays stopped: the others go on without it.
        deadIndex = i;
      } else if (instance.logStopped) {
        execute(new Event(Kind.KILL, i));
        execute(new Event(Kind.RESTART, i));
      } else if (!instance.alive) {
        execute(new Event(Kind.RESTART, i));
      }
    }
    execute(new Event(Kind.ELECT, deadIndex == 0 ? 1 : 0));
    if (deadIndex >= 0 && !stopsWhenCutOff) {
      execute(new Event(Kind.FENCE, deadIndex));
    }
    for (int round = 0; round < 2000 && violation == null; round++) {
      execute(new Event(Kind.ADVANCE_TIME, 30));
      if (deadIndex >= 0 && !stopsWhenCutOff && round == 20) {
        // A command that it submitted before it died may have been appended only now.
        execute(new Event(Kind.FENCE, deadIndex));
      }
      for (int i = 0; i < instances.size(); i++) {
        execute(new Event(Kind.STEP, i));
        execute(new Event(Kind.WRITE_CALL, i));
        execute(new Event(Kind.END_CALL, i));
      }
      for (int k = pendingCommands.size(); k > 0; k--) {
        execute(new Event(Kind.APPEND, 0));
      }
      for (int i = 0; i < instances.size(); i++) {
        while (i != deadIndex && instances.get(i).appliedCount < log.size()) {
          execute(new Event(Kind.APPLY, i));
        }
      }
      for (int i = 0; i < instances.size(); i++) {
        MaintenanceState.AwayMachine own = null;
        for (MaintenanceState.AwayMachine each : expected.awayMachines()) {
          own = instances.get(i).name.equals(Machine.instance(each.machine())) ? each : own;
        }
        if (own != null && own.phase() == Phase.OUT && i != deadIndex) {
          execute(new Event(Kind.KILL, i)); // The upgrade that it was taken out for.
          execute(new Event(Kind.RESTART, i));
          execute(new Event(Kind.ELECT, (i + 1) % instances.size()));
          execute(new Event(Kind.COMPLETE_ORDER, (int) own.order()));
        }
      }
      boolean unfinished = false;
      for (long order : expected.orderIds()) {
        boolean ofServers =
            Machine.instance(expected.machineStatuses(order, 1).get(0).machine()) == null;
        if (ofServers && expected.phaseCounts(order).containsKey(Phase.OUT)) {
          execute(new Event(Kind.COMPLETE_ORDER, (int) order));
        }
        Set<Phase> phases = new HashSet<>(expected.phaseCounts(order).keySet());
        phases.remove(Phase.DONE);
        phases.remove(Phase.ABANDONED);
        unfinished |= !phases.isEmpty();
      }
      for (int i = 0; i < instances.size(); i++) {
        SimulatedInstance instance = instances.get(i);
        unfinished |= i != deadIndex && !instance.session.maySend(instance.clock());
      }
      if (!unfinished && round > 5) {
        return this;
      }
    }
    StringBuilder details = new StringBuilder();
    expected
        .orderIds()
        .forEach(
            order -> details.append(order).append(expected.machineStatuses(order, 9)).append(' '));
    violated(Invariant.PROGRESS, details + " with " + expected.instanceStatuses());
    return this;
  }

  /**
   * Executes random events drawn from a seed, then ends all faults; returns the first violation, or
   * null.
   */
  static Violation runRandom(long seed, int steps) {
    SplittableRandom random = new SplittableRandom(seed);
    boolean stopsWhenCutOff = random.nextInt(4) > 0;
    int releaseOffset = random.nextInt(4) > 0 ? 0 : RULES.size();
    MaintenanceSimulation simulation =
        new MaintenanceSimulation(stopsWhenCutOff, releaseOffset + random.nextInt(RULES.size()));
    for (int i = 0; i < steps && simulation.violation == null; i++) {
      List<Event> candidates = simulation.possibleEvents();
      Event event = candidates.get(random.nextInt(candidates.size()));
      if (isRare(event.kind()) && random.nextInt(8) > 0) {
        continue;
      }
      simulation.execute(event);
      if (random.nextInt(3) > 0) {
        simulation.addRegularEvents(random);
      }
    }
    return simulation.violation == null ? simulation.recover().violation : simulation.violation;
  }

  private static boolean isRare(Kind kind) {
    return switch (kind) {
      case KILL,
              RESTART_WITHOUT_DISK,
              FENCE,
              PARTITION,
              PAUSE,
              ELECT,
              CANCEL_ORDER,
              DROP,
              COMPLETE_ORDER,
              UPGRADE,
              TOGGLE_UNHEALTHY,
              STOP_LOG ->
          true;
      default -> false;
    };
  }

  /** Adds some of the regular events, so that faults meet an instance at work. */
  private void addRegularEvents(SplittableRandom random) {
    int i = random.nextInt(instances.size());
    SimulatedInstance instance = instances.get(i);
    if (instance.isRunning()) {
      execute(new Event(Kind.STEP, i));
      if (!pendingCommands.isEmpty()) {
        execute(new Event(Kind.APPEND, 0));
      }
      if (!instance.partitioned && instance.appliedCount < log.size()) {
        execute(new Event(Kind.APPLY, i));
      }
    }
    if (random.nextInt(3) == 0) {
      execute(new Event(Kind.ADVANCE_TIME, 10));
    }
  }
}
