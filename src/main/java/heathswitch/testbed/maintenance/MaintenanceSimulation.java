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
 * Three instances, four machines and one log in virtual time. Whatever is said may be lost, held
 * up, overtaken or taken twice; instances stop, die, come back with or without their disk; whoever
 * leads changes. The log itself is one list: that it is, is the library's to keep.
 */
final class MaintenanceSimulation {
  static final ServerGroup GROUP = new ServerGroup("store", "a");
  static final List<String> MACHINES = List.of("m1", "m2", "m3", "m4");

  /** One limit at a time, or each would hide that another does not hold. */
  private static final List<MaintenanceRules> LIMITS =
      List.of(
          new MaintenanceRules(1, 1000, 100, 9, 9, List.of(new CapacityFloor("store", "*", 0.5))),
          new MaintenanceRules(1, 1000, 100, 2, 9, List.of()),
          new MaintenanceRules(1, 1000, 100, 9, 1, List.of()),
          new MaintenanceRules(1, 1000, 100, 9, 9, List.of()));

  /** Each kind of limits with instances of one release, and with one of an earlier release. */
  static final int LIMITED = LIMITS.size() * 2;

  /** The number of the order that takes balancers out. */
  private static final int BALANCERS = 3;

  private static final int INSTANCES = 3;
  private static final long MILLI = 1_000_000L;
  private static final int MOST_PENDING = 64;
  private static final int MOST_SHOWN = 80;

  /** What holds in every state; its name is what a violation says. */
  enum Invariant {
    /** No call begins at a machine from when it is out until somebody says that it is done. */
    OUT_MEANS_OUT,
    /** Capacity, machines out at once and in one cell are within the rules. */
    FLOORS,
    /** Instances that have taken the same entries have computed the same. */
    SAME,
    /** One whose lease has ended for the others sends nothing. */
    LEASE,
    /** No order holds more machines at once than were asked for. */
    AT_ONCE,
    /** No machine is with two orders. */
    ONE_ORDER,
    /** No instance is given entries that its release does not know. */
    FORMS,
    /** With all well again every order comes to its end, and every instance may send. */
    NOT_STUCK
  }

  /** A invariant that did not hold, and after which events. */
  record Violation(
      Invariant invariant, String what, boolean stops, int limited, List<Event> events) {
    @Override
    public String toString() {
      StringBuilder text =
          new StringBuilder(invariant + ": " + what + "; stops " + stops + ", limits " + limited);
      events.stream()
          .limit(MOST_SHOWN)
          .forEach(
              event -> text.append("\n  ").append(event.kind()).append(' ').append(event.at()));
      return text.toString();
    }
  }

  /** Kinds of events. */
  enum Kind {
    PASS,
    TAKE,
    STEP,
    READ,
    APPEND,
    DROP,
    DEFER,
    REPEAT,
    DECIDE,
    WRITE,
    END,
    PAUSE,
    WAKE,
    KILL,
    START,
    LOSE,
    CUT,
    HEAL,
    LEAD,
    ASK,
    DONE,
    CANCEL,
    FENCE,
    UPGRADE,
    ILL,
    STICK
  }

  /** One event; what the number means is its kind's. */
  record Event(Kind kind, int at) {}

  /** Something that was said and has not been answered. */
  private static final class PendingCommand {
    final SimulatedInstance by;
    final InstanceSession process;
    final Command command;
    final int form;
    long readTerm = -1;
    long readMillis;
    boolean repeated;

    PendingCommand(SimulatedInstance by, Command command, int form) {
      this.form = form;
      this.by = by;
      this.process = by == null ? null : by.participant;
      this.command = command;
    }
  }

  private record Entry(long term, long readTerm, long readMillis, Command command, int form) {}

  private final List<SimulatedInstance> instances = new ArrayList<>();
  private final List<PendingCommand> pending = new ArrayList<>();
  private final List<Entry> log = new ArrayList<>();

  /** What anybody may have been told: all of the log, taken at once. */
  private final MaintenanceState all = new MaintenanceState();

  /** What was computed from the log up to each entry. */
  private final List<Object> computed = new ArrayList<>();

  private final LogClock allClock = new LogClock();
  private final List<LogClock> clocks = new ArrayList<>();
  private final List<Event> events = new ArrayList<>();
  private final boolean stops;
  private Violation violation;
  private long now;
  private long term = 1;
  private int leader;
  private long draws;
  private int asked;

  /** The balancers that are out. */
  private final Set<String> wentOut = new HashSet<>();

  private final int limited;

  /** Every instance sees one machine as ill. */
  private boolean ill;

  /** One of so many kinds of limits. */
  MaintenanceSimulation(boolean stops, int limited) {
    this.stops = stops;
    this.limited = limited;
    MaintenanceRules rules = rules();
    int older = limited < LIMITS.size() ? -1 : INSTANCES - 1;
    double[] rates = {1.0, 1.02, 0.98};
    for (int i = 0; i < INSTANCES; i++) {
      FormatSupport release =
          new FormatSupport(i == older ? FormatSupport.FIRST : FormatSupport.LATEST, INSTANCES);
      instances.add(
          new SimulatedInstance(
              this, "i" + i, rules, stops, rates[i], i * 7_000_000_000L - 9_000_000L, release));
      clocks.add(new LogClock());
    }
  }

  private MaintenanceRules rules() {
    return LIMITS.get(limited % LIMITS.size());
  }

  long now() {
    return now;
  }

  /** Machines that are seen as ill. */
  int ill() {
    return ill ? 1 : 0;
  }

  long draw() {
    return ++draws;
  }

  Violation violation() {
    return violation;
  }

  MaintenanceState settled() {
    return all;
  }

  private void violated(Invariant invariant, String what) {
    if (violation == null) {
      violation = new Violation(invariant, what, stops, limited, List.copyOf(events));
    }
  }

  // ---- told by the instances ----

  void began(SimulatedInstance by, String machine) {
    for (MaintenanceState.AwayMachine each : all.awayMachines()) {
      if (each.machine().equals(machine) && each.phase() == Phase.OUT) {
        violated(Invariant.OUT_MEANS_OUT, by.name + " began a call at " + machine);
      }
    }
  }

  void said(SimulatedInstance by, Command command) {
    if (!by.cut && pending.size() < MOST_PENDING) {
      pending.add(new PendingCommand(by, command, by.settled.formatVersion()));
    } else {
      by.participant.onResult(command, null, by.clock(), by);
    }
  }

  // ---- events ----

  /** What may happen now. */
  List<Event> possible() {
    List<Event> list = new ArrayList<>();
    list.add(new Event(Kind.PASS, 10));
    list.add(new Event(Kind.PASS, 120));
    list.add(new Event(Kind.PASS, 700));
    for (int i = 0; i < instances.size(); i++) {
      SimulatedInstance instance = instances.get(i);
      if (instance.runs()) {
        if (instance.taken < log.size() && !instance.cut && !instance.stuck) {
          list.add(new Event(Kind.TAKE, i));
        }
        list.add(new Event(Kind.STEP, i));
        for (int m = 0; m < 2; m++) {
          list.add(new Event(Kind.DECIDE, i * 4 + m));
        }
        if (!instance.calls.isEmpty()) {
          list.add(new Event(Kind.WRITE, i));
          list.add(new Event(Kind.END, i));
        }
        list.add(new Event(Kind.PAUSE, i));
        list.add(new Event(Kind.STICK, i));
        list.add(new Event(Kind.LEAD, i));
      }
      if (instance.alive && instance.paused) {
        list.add(new Event(Kind.WAKE, i));
      }
      list.add(new Event(instance.cut ? Kind.HEAL : Kind.CUT, i));
      if (instance.alive) {
        list.add(new Event(Kind.KILL, i));
      } else {
        list.add(new Event(Kind.START, i));
        list.add(new Event(Kind.LOSE, i));
        list.add(new Event(Kind.FENCE, i));
        if (instance.release.latestFormat() < FormatSupport.LATEST) {
          list.add(new Event(Kind.UPGRADE, i));
        }
      }
    }
    list.add(new Event(Kind.ILL, 0));
    if (!pending.isEmpty()) {
      list.add(new Event(Kind.READ, 0));
      list.add(new Event(Kind.APPEND, 0));
      list.add(new Event(Kind.DROP, 0));
      list.add(new Event(Kind.REPEAT, 0));
    }
    if (pending.size() > 1) {
      list.add(new Event(Kind.DEFER, 0));
    }
    if (asked < 6) {
      list.add(new Event(Kind.ASK, asked));
    }
    for (long order : all.orderIds()) {
      list.add(new Event(Kind.DONE, (int) order));
      list.add(new Event(Kind.CANCEL, (int) order));
    }
    return list;
  }

  /** Lets one event happen; one that cannot is passed over. */
  MaintenanceSimulation play(Event event) {
    if (!can(event)) {
      return this;
    }
    events.add(event);
    int at = event.at();
    switch (event.kind()) {
      case PASS -> now += at * MILLI;
      case TAKE -> take(instances.get(at));
      case STEP -> instances.get(at).step();
      case READ -> read();
      case APPEND -> append(false);
      case DROP -> drop();
      case DEFER -> pending.add(pending.remove(0));
      case REPEAT -> append(true);
      case DECIDE -> instances.get(at / 4).decide(MACHINES.get(at % 4));
      case WRITE -> instances.get(at).write();
      case END -> instances.get(at).calls.removeIf(call -> call.written);
      case PAUSE -> instances.get(at).paused = true;
      case WAKE -> instances.get(at).paused = false;
      case KILL -> {
        instances.get(at).kill();
        leader = leader == at ? -1 : leader; // It comes back as one that follows.
      }
      case START -> start(at);
      case UPGRADE -> {
        instances.get(at).release = new FormatSupport(FormatSupport.LATEST, INSTANCES);
        start(at);
      }
      case ILL -> ill = !ill;
      case STICK -> { // Its disk is full, until its next start, or it hears nothing.
        instances.get(at).stuck = true;
        instances.get(at).deaf = (now >>> 20 & 1) == 0;
      }
      case LOSE -> {
        instances.get(at).start(false);
        clocks.set(at, new LogClock());
      }
      case CUT -> instances.get(at).cut = true;
      case HEAL -> instances.get(at).cut = false;
      case LEAD -> lead(at);
      case ASK -> ask(at);
      case DONE -> say(new Command.Done(at, null));
      case CANCEL -> say(new Command.Cancel(at));
      case FENCE -> say(new Command.Fence(instances.get(at).name, false));
    }
    check();
    return this;
  }

  /** A new process with its disk. */
  private void start(int at) {
    instances.get(at).start(true);
    LogClock clock = new LogClock();
    clock.restore(clocks.get(at).appliedMillis());
    clocks.set(at, clock);
  }

  /** Whether it can happen in this state. */
  private boolean can(Event event) {
    return switch (event.kind()) {
      case START, LOSE, UPGRADE -> !instances.get(event.at()).alive;
      case STEP, WRITE, END, PAUSE, LEAD, STICK -> instances.get(event.at()).runs();
      case TAKE -> {
        SimulatedInstance instance = instances.get(event.at());
        yield instance.runs() && !instance.cut && !instance.stuck && instance.taken < log.size();
      }
      case DECIDE -> instances.get(event.at() / 4).runs();
      case READ, APPEND, DROP, REPEAT, DEFER -> !pending.isEmpty();
      default -> true;
    };
  }

  private void take(SimulatedInstance instance) {
    Entry entry = log.get(instance.taken);
    long stamp =
        clocks
            .get(instances.indexOf(instance))
            .apply(entry.term(), entry.readTerm(), entry.readMillis());
    if (entry.form() > instance.release.latestFormat()) {
      violated(Invariant.FORMS, instance.name + " is given an entry of form " + entry.form());
    }
    instance.take(instance.taken + 1, stamp, entry.command());
    if (!instance.settled.toSnapshot().equals(computed.get(instance.taken - 1))) {
      violated(
          Invariant.SAME,
          instance.name
              + " differs after entry "
              + instance.taken
              + ": "
              + instance.settled.toSnapshot()
              + " and "
              + computed.get(instance.taken - 1));
    }
  }

  /** Whoever leads has taken all entries of earlier terms before it reads its clock. */
  private void lead(int at) {
    SimulatedInstance instance = instances.get(at);
    if (!instance.cut && !instance.stuck) {
      leader = at;
      term++;
      while (instance.taken < log.size()) {
        take(instance);
      }
    }
  }

  private boolean led() {
    return leader >= 0 && instances.get(leader).runs() && !instances.get(leader).stuck;
  }

  boolean leads(SimulatedInstance instance) {
    return led() && instances.get(leader) == instance;
  }

  private void read() {
    PendingCommand said = pending.get(0);
    if (led()) {
      said.readTerm = term;
      said.readMillis = clocks.get(leader).read(term, instances.get(leader).clock());
    }
  }

  private void append(boolean again) {
    PendingCommand said = pending.get(0);
    if (!led() || instances.get(leader).cut) {
      return;
    }
    if (said.readTerm < 0) {
      read();
    }
    Entry entry = new Entry(term, said.readTerm, said.readMillis, said.command, said.form);
    log.add(entry);
    long stamp = allClock.apply(entry.term(), entry.readTerm(), entry.readMillis());
    CommandResult reply = all.apply(log.size(), stamp, said.command);
    computed.add(all.toSnapshot());
    if (again && !said.repeated) {
      said.repeated = true;
      said.readTerm = -1;
    } else {
      pending.remove(0);
    }
    answer(said, reply);
  }

  private void drop() {
    answer(pending.remove(0), null);
  }

  private void answer(PendingCommand said, CommandResult reply) {
    SimulatedInstance by = said.by;
    if (by != null && by.alive && by.participant == said.process) {
      // One that is stopped hears it when it wakes, and by its own clock then; this is no sooner.
      by.participant.onResult(said.command, by.cut ? null : reply, by.clock(), by);
    }
  }

  private void say(Command command) {
    pending.add(0, new PendingCommand(null, command, all.formatVersion()));
    append(false);
    pending.removeIf(said -> said.by == null);
  }

  private void ask(int number) {
    List<Machine> machines = new ArrayList<>();
    if (number == BALANCERS) {
      machines.add(Machine.balancer(instances.get(2).name));
      machines.add(Machine.balancer(instances.get(1).name));
    }
    for (int i = 0; i <= number % 3 && number != BALANCERS; i++) {
      int m = (number + i) % MACHINES.size();
      machines.add(new Machine(MACHINES.get(m), "store", "a", m / 2, 1, "at-" + m));
    }
    int before = all.orderIds().size();
    say(
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
    asked += all.orderIds().size() > before ? 1 : 0;
  }

  // ---- properties ----

  private void check() {
    Set<String> held = new HashSet<>();
    Map<Long, Integer> cells = new HashMap<>();
    Map<Long, Integer> orders = new HashMap<>();
    MaintenanceRules rules = rules();
    int out = 0;
    int balancers = 0;
    for (MaintenanceState.AwayMachine each : all.awayMachines()) {
      if (!held.add(each.machine())) {
        violated(Invariant.ONE_ORDER, each.machine() + " is with two orders");
      }
      String balancer = Machine.instance(each.machine());
      balancers += balancer != null ? 1 : 0;
      if (each.phase().held() && balancer == null) {
        out++;
        long cell = MACHINES.indexOf(each.machine()) / 2;
        if (cells.merge(cell, 1, Integer::sum) > rules.maxOutInCell()) {
          violated(Invariant.FLOORS, "too many machines of one cell are out");
        }
        if (orders.merge(each.order(), 1, Integer::sum) > all.request(each.order()).atOnce()) {
          violated(Invariant.AT_ONCE, "order " + each.order() + " has too many machines out");
        }
      }
    }
    for (MaintenanceState.AwayMachine each : all.awayMachines()) {
      String balancer = Machine.instance(each.machine());
      if (balancer != null) {
        stays(balancer, each.phase());
      }
    }
    if (balancers > 1) {
      violated(Invariant.FLOORS, balancers + " balancers are away");
    }
    double least = 0;
    for (CapacityFloor floor : rules.floors()) {
      least = floor.minShare() * MACHINES.size();
    }
    if (out > rules.maxOut() || MACHINES.size() - out < least) {
      violated(Invariant.FLOORS, out + " machines are out");
    }
    for (SimulatedInstance instance : instances) {
      if (stops
          && instance.runs()
          && instance.participant.joined()
          && instance.participant.maySend(instance.clock())
          && !all.hasJoined(instance.name, instance.participant.incarnation())) {
        violated(Invariant.LEASE, instance.name + " may send and is fenced");
      }
    }
  }

  /** A balancer that is out comes back when somebody says so, whatever process it has. */
  private void stays(String balancer, Phase phase) {
    for (SimulatedInstance instance : instances) {
      if (instance.name.equals(balancer)) {
        if (phase == Phase.OUT) {
          wentOut.add(balancer);
          if (all.hasJoined(balancer, all.incarnation(balancer))) {
            violated(Invariant.OUT_MEANS_OUT, balancer + " is out and has joined");
          }
        } else if (phase == Phase.RETURNING
            && wentOut.remove(balancer)
            && events.get(events.size() - 1).kind() != Kind.DONE) {
          violated(Invariant.OUT_MEANS_OUT, balancer + " came back by itself");
        }
      }
    }
  }

  /** All is well again, and people say of whatever is out that it is done: nothing may be left. */
  MaintenanceSimulation calm() {
    int dead = -1;
    ill = false;
    for (int i = 0; i < instances.size(); i++) {
      SimulatedInstance instance = instances.get(i);
      instance.cut = false;
      instance.paused = false;
      if (instance.stuck && !stops) {
        play(new Event(Kind.KILL, i)); // By whoever is told that its log stands still.
      }
      if ((instance.stuck || !instance.alive) && dead < 0 && asked <= BALANCERS) {
        dead = i; // One stays dead, or without a disk: the others go on without it.
      } else if (instance.stuck) {
        play(new Event(Kind.KILL, i));
        play(new Event(Kind.START, i));
      } else if (!instance.alive) {
        play(new Event(Kind.START, i));
      }
    }
    play(new Event(Kind.LEAD, dead == 0 ? 1 : 0));
    if (dead >= 0 && !stops) {
      play(new Event(Kind.FENCE, dead));
    }
    for (int round = 0; round < 2000 && violation == null; round++) {
      play(new Event(Kind.PASS, 30));
      if (dead >= 0 && !stops && round == 20) {
        play(new Event(Kind.FENCE, dead)); // What it said before it died has come only now.
      }
      for (int i = 0; i < instances.size(); i++) {
        play(new Event(Kind.STEP, i));
        play(new Event(Kind.WRITE, i));
        play(new Event(Kind.END, i));
      }
      for (int k = pending.size(); k > 0; k--) {
        play(new Event(Kind.APPEND, 0));
      }
      for (int i = 0; i < instances.size(); i++) {
        while (i != dead && instances.get(i).taken < log.size()) {
          play(new Event(Kind.TAKE, i));
        }
      }
      for (int i = 0; i < instances.size(); i++) {
        MaintenanceState.AwayMachine own = null;
        for (MaintenanceState.AwayMachine each : all.awayMachines()) {
          own = instances.get(i).name.equals(Machine.instance(each.machine())) ? each : own;
        }
        if (own != null && own.phase() == Phase.OUT && i != dead) {
          play(new Event(Kind.KILL, i)); // The upgrade that it was taken out for.
          play(new Event(Kind.START, i));
          play(new Event(Kind.LEAD, (i + 1) % instances.size()));
          play(new Event(Kind.DONE, (int) own.order()));
        }
      }
      boolean left = false;
      for (long order : all.orderIds()) {
        boolean servers = Machine.instance(all.machineStatuses(order, 1).get(0).machine()) == null;
        if (servers && all.phaseCounts(order).containsKey(Phase.OUT)) {
          play(new Event(Kind.DONE, (int) order));
        }
        Set<Phase> phases = new HashSet<>(all.phaseCounts(order).keySet());
        phases.remove(Phase.DONE);
        phases.remove(Phase.ABANDONED);
        left |= !phases.isEmpty();
      }
      for (int i = 0; i < instances.size(); i++) {
        SimulatedInstance instance = instances.get(i);
        left |= i != dead && !instance.participant.maySend(instance.clock());
      }
      if (!left && round > 5) {
        return this;
      }
    }
    StringBuilder left = new StringBuilder();
    all.orderIds()
        .forEach(order -> left.append(order).append(all.machineStatuses(order, 9)).append(' '));
    violated(Invariant.NOT_STUCK, left + " with " + all.instanceStatuses());
    return this;
  }

  /** Plays so many events drawn by a seed, then calm; what did not hold, or null. */
  static Violation random(long seed, int steps) {
    SplittableRandom random = new SplittableRandom(seed);
    boolean stops = random.nextInt(4) > 0;
    int releases = random.nextInt(4) > 0 ? 0 : LIMITS.size();
    MaintenanceSimulation simulation =
        new MaintenanceSimulation(stops, releases + random.nextInt(LIMITS.size()));
    for (int i = 0; i < steps && simulation.violation == null; i++) {
      List<Event> possible = simulation.possible();
      Event event = possible.get(random.nextInt(possible.size()));
      if (rare(event.kind()) && random.nextInt(8) > 0) {
        continue;
      }
      simulation.play(event);
      if (random.nextInt(3) > 0) {
        simulation.busy(random);
      }
    }
    return simulation.violation == null ? simulation.calm().violation : simulation.violation;
  }

  private static boolean rare(Kind kind) {
    return switch (kind) {
      case KILL, LOSE, FENCE, CUT, PAUSE, LEAD, CANCEL, DROP, DONE, UPGRADE, ILL, STICK -> true;
      default -> false;
    };
  }

  /** Something of what goes on all the time, so that faults meet an instance at work. */
  private void busy(SplittableRandom random) {
    int i = random.nextInt(instances.size());
    SimulatedInstance instance = instances.get(i);
    if (instance.runs()) {
      play(new Event(Kind.STEP, i));
      if (!pending.isEmpty()) {
        play(new Event(Kind.APPEND, 0));
      }
      if (!instance.cut && instance.taken < log.size()) {
        play(new Event(Kind.TAKE, i));
      }
    }
    if (random.nextInt(3) == 0) {
      play(new Event(Kind.PASS, 10));
    }
  }
}
