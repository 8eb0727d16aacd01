package heathswitch.testbed.maintenance;

import heathswitch.policy.maintenance.CapacityReport;
import heathswitch.policy.maintenance.Command;
import heathswitch.policy.maintenance.FormatSupport;
import heathswitch.policy.maintenance.InstanceSession;
import heathswitch.policy.maintenance.MaintenanceRules;
import heathswitch.policy.maintenance.MaintenanceState;
import heathswitch.policy.maintenance.Phase;
import heathswitch.policy.maintenance.ServerGroup;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * One instance in virtual time: a real {@link InstanceSession} and a real {@link MaintenanceState},
 * with calls in flight.
 */
final class SimulatedInstance implements InstanceSession.LocalView {
  private static final int STEPS_UNTIL_CALLS_FAIL = 6;
  private static final long WARM_UP_NANOS = 300_000_000L;

  /** A call that was dispatched to a machine, and whether its first byte has been written. */
  static final class Call {
    final String machine;
    boolean written;

    Call(String machine) {
      this.machine = machine;
    }
  }

  final String name;
  private final MaintenanceSimulation simulation;
  private final MaintenanceRules rules;
  private final boolean stopsWhenCutOff;

  /** The formats that its release can read; an upgrade changes them with a new process. */
  FormatSupport release;

  /** Rate and offset of its own clock against the virtual time. */
  private final double rate;

  private final long offset;
  InstanceSession session;
  MaintenanceState state;

  /** Number of log entries that it has applied. */
  int appliedCount;

  boolean alive = true;
  boolean paused;

  /** Whether it is partitioned: neither its commands nor log entries get through. */
  boolean partitioned;

  /** Whether its own log has stopped, so that it applies no more entries. */
  boolean logStopped;

  /**
   * Whether it knows that its log has stopped, as after a disk failure; otherwise it just receives
   * nothing.
   */
  boolean knowsLogStopped;

  /** When it applied the last entry, by its own clock. */
  private long lastAppliedNanos;

  /** Steps since its lease has ended. */
  private int stepsAfterLease;

  final List<Call> calls = new ArrayList<>();
  private final Map<String, Long> returningSinceNanos = new HashMap<>();

  SimulatedInstance(
      MaintenanceSimulation simulation,
      String name,
      MaintenanceRules rules,
      boolean stopsWhenCutOff,
      double rate,
      long offset,
      FormatSupport release) {
    this.simulation = simulation;
    this.name = name;
    this.rules = rules;
    this.stopsWhenCutOff = stopsWhenCutOff;
    this.rate = rate;
    this.offset = offset;
    this.release = release;
    state = new MaintenanceState();
    session = new InstanceSession(name, stopsWhenCutOff, 100, rules, release);
  }

  /** Reads the clock of this instance, in nanoseconds. */
  long clock() {
    return offset + (long) (simulation.now() * rate);
  }

  boolean isRunning() {
    return alive && !paused;
  }

  /** Kills the process; its calls end, and a stopped log works again after the next start. */
  void kill() {
    logStopped = false;
    knowsLogStopped = false;
    alive = false;
    paused = false;
    calls.clear();
  }

  /**
   * Starts a new process with the state on its disk; without the disk it applies the whole log
   * again.
   */
  void start(boolean withDisk) {
    alive = true;
    session = new InstanceSession(name, stopsWhenCutOff, 100, rules, release);
    returningSinceNanos.clear();
    if (withDisk) {
      state = MaintenanceState.fromSnapshot(state.toSnapshot());
    } else {
      state = new MaintenanceState();
      appliedCount = 0;
    }
  }

  void apply(long index, long stampMillis, Command command) {
    state.apply(index, stampMillis, command);
    appliedCount++;
    lastAppliedNanos = clock();
    for (MaintenanceState.AwayMachine each : state.awayMachines()) {
      if (each.phase() == Phase.RETURNING) {
        returningSinceNanos.putIfAbsent(each.machine(), clock());
      } else {
        returningSinceNanos.remove(each.machine());
      }
    }
  }

  boolean isHeld(String machine) {
    for (MaintenanceState.AwayMachine each : state.awayMachines()) {
      if (each.machine().equals(machine) && each.phase().held()) {
        return true;
      }
    }
    return false;
  }

  /** Dispatches a call to a machine if the lease and the orders allow it. */
  void dispatch(String machine) {
    if (session.maySend(clock()) && !isHeld(machine)) {
      calls.add(new Call(machine));
    }
  }

  /** Writes the oldest call that is not written yet, after another check of the lease. */
  void writeNext() {
    for (Call call : calls) {
      if (!call.written) {
        if (session.maySend(clock())) {
          call.written = true;
          simulation.callStarted(this, call.machine);
        } else {
          calls.remove(call); // It ends as never sent.
        }
        return;
      }
    }
  }

  /** Runs a step of the session and submits its commands. */
  void step() {
    boolean leaseEnded = stopsWhenCutOff && !session.maySend(clock());
    stepsAfterLease = leaseEnded ? stepsAfterLease + 1 : 0;
    if (stepsAfterLease >= STEPS_UNTIL_CALLS_FAIL) {
      calls.clear(); // When the lease ends all calls fail, if a moment later.
    }
    for (Command command : session.step(clock(), this)) {
      simulation.submit(this, command);
    }
  }

  // ---- local view of the session ----

  @Override
  public long latestIncarnation() {
    return state.incarnation(name);
  }

  @Override
  public boolean hasJoined(long incarnation) {
    return state.hasJoined(name, incarnation);
  }

  @Override
  public long appliedIndex() {
    return state.appliedIndex();
  }

  @Override
  public CapacityReport capacityReport() {
    double weight = MaintenanceSimulation.MACHINES.size() - simulation.unhealthyCount();
    List<String> warm = new ArrayList<>();
    for (MaintenanceState.AwayMachine each : state.awayMachines()) {
      if (!MaintenanceSimulation.MACHINES.contains(each.machine())) {
        continue; // A balancer.
      }
      boolean returned =
          each.phase() == Phase.RETURNING
              && clock() - returningSinceNanos.getOrDefault(each.machine(), clock())
                  >= WARM_UP_NANOS;
      weight -= returned ? 0 : 1;
      if (returned) {
        warm.add(each.machine());
      }
    }
    Map<ServerGroup, CapacityReport.Capacity> groups =
        new TreeMap<>((a, b) -> a.kind().compareTo(b.kind()));
    groups.put(
        MaintenanceSimulation.GROUP,
        new CapacityReport.Capacity(MaintenanceSimulation.MACHINES.size(), weight));
    return new CapacityReport(state.appliedIndex(), groups, new java.util.HashSet<>(warm));
  }

  @Override
  public boolean idle() {
    return calls.isEmpty();
  }

  @Override
  public List<MaintenanceState.AwayMachine> drainedMachines() {
    List<MaintenanceState.AwayMachine> drained = new ArrayList<>();
    for (MaintenanceState.AwayMachine each : state.awayMachines()) {
      if (MaintenanceSimulation.MACHINES.contains(each.machine())
          && each.phase() == Phase.EMPTYING
          && calls.stream().noneMatch(call -> call.machine.equals(each.machine()))) {
        drained.add(each);
      }
    }
    return drained;
  }

  @Override
  public long leaseMillis() {
    return state.rules().leaseMillis();
  }

  @Override
  public boolean mustLeave() {
    return state.mustLeave(name);
  }

  @Override
  public boolean clientsGone() {
    return calls.isEmpty();
  }

  @Override
  public boolean expiryDue() {
    return simulation.isLeader(this)
        && state.nowMillis() + (clock() - lastAppliedNanos) / 1_000_000 >= state.nextExpiryMillis();
  }

  @Override
  public boolean logStopped() {
    return knowsLogStopped;
  }

  @Override
  public long newIncarnation() {
    return simulation.nextIncarnation();
  }
}
