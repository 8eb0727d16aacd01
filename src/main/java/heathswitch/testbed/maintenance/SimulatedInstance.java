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

/** One instance in virtual time: the real participant and the real state, with calls in flight. */
final class SimulatedInstance implements InstanceSession.LocalView {
  private static final int ENDING_STEPS = 6;
  private static final long RETURN_NANOS = 300_000_000L;

  /** A call that was decided, and whether its first byte has been written. */
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
  private final boolean stops;

  /** What its program can take: a later one with a new process, if it is upgraded. */
  FormatSupport release;

  /** How fast its clock runs, and where it began; both are its own. */
  private final double rate;

  private final long offset;
  InstanceSession participant;
  MaintenanceState settled;

  /** Entries of the log that it has taken. */
  int taken;

  boolean alive = true;
  boolean paused;

  /** Neither what it says nor what it should take comes through. */
  boolean cut;

  /** Its own log takes nothing, whatever others settle. */
  boolean stuck;

  /** Whether it knows that: its disk has failed, where else it hears nothing. */
  boolean deaf;

  /** By its own clock, when it took the last entry. */
  private long tookNanos;

  /** Steps since its lease has ended. */
  private int ended;

  final List<Call> calls = new ArrayList<>();
  private final Map<String, Long> backNanos = new HashMap<>();

  SimulatedInstance(
      MaintenanceSimulation simulation,
      String name,
      MaintenanceRules rules,
      boolean stops,
      double rate,
      long offset,
      FormatSupport release) {
    this.simulation = simulation;
    this.name = name;
    this.rules = rules;
    this.stops = stops;
    this.rate = rate;
    this.offset = offset;
    this.release = release;
    settled = new MaintenanceState();
    participant = new InstanceSession(name, stops, 100, rules, release);
  }

  long clock() {
    return offset + (long) (simulation.now() * rate);
  }

  boolean runs() {
    return alive && !paused;
  }

  void kill() {
    stuck = false;
    deaf = false;
    alive = false;
    paused = false;
    calls.clear();
  }

  /** A new process, which knows what its disk has; with none it takes the whole log anew. */
  void start(boolean disk) {
    alive = true;
    participant = new InstanceSession(name, stops, 100, rules, release);
    backNanos.clear();
    if (disk) {
      settled = MaintenanceState.fromSnapshot(settled.toSnapshot());
    } else {
      settled = new MaintenanceState();
      taken = 0;
    }
  }

  void take(long index, long stampMillis, Command command) {
    settled.apply(index, stampMillis, command);
    taken++;
    tookNanos = clock();
    for (MaintenanceState.AwayMachine each : settled.awayMachines()) {
      if (each.phase() == Phase.RETURNING) {
        backNanos.putIfAbsent(each.machine(), clock());
      } else {
        backNanos.remove(each.machine());
      }
    }
  }

  boolean holds(String machine) {
    for (MaintenanceState.AwayMachine each : settled.awayMachines()) {
      if (each.machine().equals(machine) && each.phase().held()) {
        return true;
      }
    }
    return false;
  }

  /** A request comes and is given to a machine, if it may be. */
  void decide(String machine) {
    if (participant.maySend(clock()) && !holds(machine)) {
      calls.add(new Call(machine));
    }
  }

  /** The oldest call that was decided is written, looked at once more right before. */
  void write() {
    for (Call call : calls) {
      if (!call.written) {
        if (participant.maySend(clock())) {
          call.written = true;
          simulation.began(this, call.machine);
        } else {
          calls.remove(call); // Ends as never sent.
        }
        return;
      }
    }
  }

  void step() {
    boolean over = stops && !participant.maySend(clock());
    ended = over ? ended + 1 : 0;
    if (ended >= ENDING_STEPS) {
      calls.clear(); // What is owed at the end of the lease is given up, if a moment later.
    }
    for (Command command : participant.step(clock(), this)) {
      simulation.said(this, command);
    }
  }

  // ---- what the participant sees ----

  @Override
  public long latestIncarnation() {
    return settled.incarnation(name);
  }

  @Override
  public boolean hasJoined(long incarnation) {
    return settled.hasJoined(name, incarnation);
  }

  @Override
  public long appliedIndex() {
    return settled.appliedIndex();
  }

  @Override
  public CapacityReport capacityReport() {
    double worth = MaintenanceSimulation.MACHINES.size() - simulation.ill();
    List<String> warm = new ArrayList<>();
    for (MaintenanceState.AwayMachine each : settled.awayMachines()) {
      if (!MaintenanceSimulation.MACHINES.contains(each.machine())) {
        continue; // A balancer.
      }
      boolean returned =
          each.phase() == Phase.RETURNING
              && clock() - backNanos.getOrDefault(each.machine(), clock()) >= RETURN_NANOS;
      worth -= returned ? 0 : 1;
      if (returned) {
        warm.add(each.machine());
      }
    }
    Map<ServerGroup, CapacityReport.Capacity> groups =
        new TreeMap<>((a, b) -> a.kind().compareTo(b.kind()));
    groups.put(
        MaintenanceSimulation.GROUP,
        new CapacityReport.Capacity(MaintenanceSimulation.MACHINES.size(), worth));
    return new CapacityReport(settled.appliedIndex(), groups, new java.util.HashSet<>(warm));
  }

  @Override
  public boolean idle() {
    return calls.isEmpty();
  }

  @Override
  public List<MaintenanceState.AwayMachine> drainedMachines() {
    List<MaintenanceState.AwayMachine> empty = new ArrayList<>();
    for (MaintenanceState.AwayMachine each : settled.awayMachines()) {
      if (MaintenanceSimulation.MACHINES.contains(each.machine())
          && each.phase() == Phase.EMPTYING
          && calls.stream().noneMatch(call -> call.machine.equals(each.machine()))) {
        empty.add(each);
      }
    }
    return empty;
  }

  @Override
  public long leaseMillis() {
    return settled.rules().leaseMillis();
  }

  @Override
  public boolean mustLeave() {
    return settled.mustLeave(name);
  }

  @Override
  public boolean clientsGone() {
    return calls.isEmpty();
  }

  @Override
  public boolean expiryDue() {
    return simulation.leads(this)
        && settled.nowMillis() + (clock() - tookNanos) / 1_000_000 >= settled.nextExpiryMillis();
  }

  @Override
  public boolean logStopped() {
    return deaf;
  }

  @Override
  public long newIncarnation() {
    return simulation.draw();
  }
}
