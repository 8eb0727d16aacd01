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
final class World {
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

  /** What holds in every state; its name is what a finding says. */
  enum Property {
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

  /** A property that did not hold, and after which events. */
  record Finding(Property property, String what, boolean stops, int limited, List<Event> events) {
    @Override
    public String toString() {
      StringBuilder text =
          new StringBuilder(property + ": " + what + "; stops " + stops + ", limits " + limited);
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
  private static final class Said {
    final Sim by;
    final InstanceSession process;
    final Command command;
    final int form;
    long readTerm = -1;
    long readMillis;
    boolean repeated;

    Said(Sim by, Command command, int form) {
      this.form = form;
      this.by = by;
      this.process = by == null ? null : by.participant;
      this.command = command;
    }
  }

  private record Entry(long term, long readTerm, long readMillis, Command command, int form) {}

  private final List<Sim> sims = new ArrayList<>();
  private final List<Said> pending = new ArrayList<>();
  private final List<Entry> log = new ArrayList<>();

  /** What anybody may have been told: all of the log, taken at once. */
  private final MaintenanceState all = new MaintenanceState();

  /** What was computed from the log up to each entry. */
  private final List<Object> computed = new ArrayList<>();

  private final LogClock allClock = new LogClock();
  private final List<LogClock> clocks = new ArrayList<>();
  private final List<Event> events = new ArrayList<>();
  private final boolean stops;
  private Finding finding;
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
  World(boolean stops, int limited) {
    this.stops = stops;
    this.limited = limited;
    MaintenanceRules rules = rules();
    int older = limited < LIMITS.size() ? -1 : INSTANCES - 1;
    double[] rates = {1.0, 1.02, 0.98};
    for (int i = 0; i < INSTANCES; i++) {
      FormatSupport release =
          new FormatSupport(i == older ? FormatSupport.FIRST : FormatSupport.LATEST, INSTANCES);
      sims.add(
          new Sim(this, "i" + i, rules, stops, rates[i], i * 7_000_000_000L - 9_000_000L, release));
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

  Finding finding() {
    return finding;
  }

  MaintenanceState settled() {
    return all;
  }

  private void found(Property property, String what) {
    if (finding == null) {
      finding = new Finding(property, what, stops, limited, List.copyOf(events));
    }
  }

  // ---- told by the instances ----

  void began(Sim by, String machine) {
    for (MaintenanceState.AwayMachine each : all.awayMachines()) {
      if (each.machine().equals(machine) && each.phase() == Phase.OUT) {
        found(Property.OUT_MEANS_OUT, by.name + " began a call at " + machine);
      }
    }
  }

  void said(Sim by, Command command) {
    if (!by.cut && pending.size() < MOST_PENDING) {
      pending.add(new Said(by, command, by.settled.formatVersion()));
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
    for (int i = 0; i < sims.size(); i++) {
      Sim sim = sims.get(i);
      if (sim.runs()) {
        if (sim.taken < log.size() && !sim.cut && !sim.stuck) {
          list.add(new Event(Kind.TAKE, i));
        }
        list.add(new Event(Kind.STEP, i));
        for (int m = 0; m < 2; m++) {
          list.add(new Event(Kind.DECIDE, i * 4 + m));
        }
        if (!sim.calls.isEmpty()) {
          list.add(new Event(Kind.WRITE, i));
          list.add(new Event(Kind.END, i));
        }
        list.add(new Event(Kind.PAUSE, i));
        list.add(new Event(Kind.STICK, i));
        list.add(new Event(Kind.LEAD, i));
      }
      if (sim.alive && sim.paused) {
        list.add(new Event(Kind.WAKE, i));
      }
      list.add(new Event(sim.cut ? Kind.HEAL : Kind.CUT, i));
      if (sim.alive) {
        list.add(new Event(Kind.KILL, i));
      } else {
        list.add(new Event(Kind.START, i));
        list.add(new Event(Kind.LOSE, i));
        list.add(new Event(Kind.FENCE, i));
        if (sim.release.latestFormat() < FormatSupport.LATEST) {
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
  World play(Event event) {
    if (!can(event)) {
      return this;
    }
    events.add(event);
    int at = event.at();
    switch (event.kind()) {
      case PASS -> now += at * MILLI;
      case TAKE -> take(sims.get(at));
      case STEP -> sims.get(at).step();
      case READ -> read();
      case APPEND -> append(false);
      case DROP -> drop();
      case DEFER -> pending.add(pending.remove(0));
      case REPEAT -> append(true);
      case DECIDE -> sims.get(at / 4).decide(MACHINES.get(at % 4));
      case WRITE -> sims.get(at).write();
      case END -> sims.get(at).calls.removeIf(call -> call.written);
      case PAUSE -> sims.get(at).paused = true;
      case WAKE -> sims.get(at).paused = false;
      case KILL -> {
        sims.get(at).kill();
        leader = leader == at ? -1 : leader; // It comes back as one that follows.
      }
      case START -> start(at);
      case UPGRADE -> {
        sims.get(at).release = new FormatSupport(FormatSupport.LATEST, INSTANCES);
        start(at);
      }
      case ILL -> ill = !ill;
      case STICK -> { // Its disk is full, until its next start, or it hears nothing.
        sims.get(at).stuck = true;
        sims.get(at).deaf = (now >>> 20 & 1) == 0;
      }
      case LOSE -> {
        sims.get(at).start(false);
        clocks.set(at, new LogClock());
      }
      case CUT -> sims.get(at).cut = true;
      case HEAL -> sims.get(at).cut = false;
      case LEAD -> lead(at);
      case ASK -> ask(at);
      case DONE -> say(new Command.Done(at, null));
      case CANCEL -> say(new Command.Cancel(at));
      case FENCE -> say(new Command.Fence(sims.get(at).name, false));
    }
    check();
    return this;
  }

  /** A new process with its disk. */
  private void start(int at) {
    sims.get(at).start(true);
    LogClock clock = new LogClock();
    clock.restore(clocks.get(at).appliedMillis());
    clocks.set(at, clock);
  }

  /** Whether it can happen in this state. */
  private boolean can(Event event) {
    return switch (event.kind()) {
      case START, LOSE, UPGRADE -> !sims.get(event.at()).alive;
      case STEP, WRITE, END, PAUSE, LEAD, STICK -> sims.get(event.at()).runs();
      case TAKE -> {
        Sim sim = sims.get(event.at());
        yield sim.runs() && !sim.cut && !sim.stuck && sim.taken < log.size();
      }
      case DECIDE -> sims.get(event.at() / 4).runs();
      case READ, APPEND, DROP, REPEAT, DEFER -> !pending.isEmpty();
      default -> true;
    };
  }

  private void take(Sim sim) {
    Entry entry = log.get(sim.taken);
    long stamp =
        clocks.get(sims.indexOf(sim)).apply(entry.term(), entry.readTerm(), entry.readMillis());
    if (entry.form() > sim.release.latestFormat()) {
      found(Property.FORMS, sim.name + " is given an entry of form " + entry.form());
    }
    sim.take(sim.taken + 1, stamp, entry.command());
    if (!sim.settled.toSnapshot().equals(computed.get(sim.taken - 1))) {
      found(
          Property.SAME,
          sim.name
              + " differs after entry "
              + sim.taken
              + ": "
              + sim.settled.toSnapshot()
              + " and "
              + computed.get(sim.taken - 1));
    }
  }

  /** Whoever leads has taken all entries of earlier terms before it reads its clock. */
  private void lead(int at) {
    Sim sim = sims.get(at);
    if (!sim.cut && !sim.stuck) {
      leader = at;
      term++;
      while (sim.taken < log.size()) {
        take(sim);
      }
    }
  }

  private boolean led() {
    return leader >= 0 && sims.get(leader).runs() && !sims.get(leader).stuck;
  }

  boolean leads(Sim sim) {
    return led() && sims.get(leader) == sim;
  }

  private void read() {
    Said said = pending.get(0);
    if (led()) {
      said.readTerm = term;
      said.readMillis = clocks.get(leader).read(term, sims.get(leader).clock());
    }
  }

  private void append(boolean again) {
    Said said = pending.get(0);
    if (!led() || sims.get(leader).cut) {
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

  private void answer(Said said, CommandResult reply) {
    Sim by = said.by;
    if (by != null && by.alive && by.participant == said.process) {
      // One that is stopped hears it when it wakes, and by its own clock then; this is no sooner.
      by.participant.onResult(said.command, by.cut ? null : reply, by.clock(), by);
    }
  }

  private void say(Command command) {
    pending.add(0, new Said(null, command, all.formatVersion()));
    append(false);
    pending.removeIf(said -> said.by == null);
  }

  private void ask(int number) {
    List<Machine> machines = new ArrayList<>();
    if (number == BALANCERS) {
      machines.add(Machine.balancer(sims.get(2).name));
      machines.add(Machine.balancer(sims.get(1).name));
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
        found(Property.ONE_ORDER, each.machine() + " is with two orders");
      }
      String balancer = Machine.instance(each.machine());
      balancers += balancer != null ? 1 : 0;
      if (each.phase().held() && balancer == null) {
        out++;
        long cell = MACHINES.indexOf(each.machine()) / 2;
        if (cells.merge(cell, 1, Integer::sum) > rules.maxOutInCell()) {
          found(Property.FLOORS, "too many machines of one cell are out");
        }
        if (orders.merge(each.order(), 1, Integer::sum) > all.request(each.order()).atOnce()) {
          found(Property.AT_ONCE, "order " + each.order() + " has too many machines out");
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
      found(Property.FLOORS, balancers + " balancers are away");
    }
    double least = 0;
    for (CapacityFloor floor : rules.floors()) {
      least = floor.minShare() * MACHINES.size();
    }
    if (out > rules.maxOut() || MACHINES.size() - out < least) {
      found(Property.FLOORS, out + " machines are out");
    }
    for (Sim sim : sims) {
      if (stops
          && sim.runs()
          && sim.participant.joined()
          && sim.participant.maySend(sim.clock())
          && !all.hasJoined(sim.name, sim.participant.incarnation())) {
        found(Property.LEASE, sim.name + " may send and is fenced");
      }
    }
  }

  /** A balancer that is out comes back when somebody says so, whatever process it has. */
  private void stays(String balancer, Phase phase) {
    for (Sim sim : sims) {
      if (sim.name.equals(balancer)) {
        if (phase == Phase.OUT) {
          wentOut.add(balancer);
          if (all.hasJoined(balancer, all.incarnation(balancer))) {
            found(Property.OUT_MEANS_OUT, balancer + " is out and has joined");
          }
        } else if (phase == Phase.RETURNING
            && wentOut.remove(balancer)
            && events.get(events.size() - 1).kind() != Kind.DONE) {
          found(Property.OUT_MEANS_OUT, balancer + " came back by itself");
        }
      }
    }
  }

  /** All is well again, and people say of whatever is out that it is done: nothing may be left. */
  World calm() {
    int dead = -1;
    ill = false;
    for (int i = 0; i < sims.size(); i++) {
      Sim sim = sims.get(i);
      sim.cut = false;
      sim.paused = false;
      if (sim.stuck && !stops) {
        play(new Event(Kind.KILL, i)); // By whoever is told that its log stands still.
      }
      if ((sim.stuck || !sim.alive) && dead < 0 && asked <= BALANCERS) {
        dead = i; // One stays dead, or without a disk: the others go on without it.
      } else if (sim.stuck) {
        play(new Event(Kind.KILL, i));
        play(new Event(Kind.START, i));
      } else if (!sim.alive) {
        play(new Event(Kind.START, i));
      }
    }
    play(new Event(Kind.LEAD, dead == 0 ? 1 : 0));
    if (dead >= 0 && !stops) {
      play(new Event(Kind.FENCE, dead));
    }
    for (int round = 0; round < 2000 && finding == null; round++) {
      play(new Event(Kind.PASS, 30));
      if (dead >= 0 && !stops && round == 20) {
        play(new Event(Kind.FENCE, dead)); // What it said before it died has come only now.
      }
      for (int i = 0; i < sims.size(); i++) {
        play(new Event(Kind.STEP, i));
        play(new Event(Kind.WRITE, i));
        play(new Event(Kind.END, i));
      }
      for (int k = pending.size(); k > 0; k--) {
        play(new Event(Kind.APPEND, 0));
      }
      for (int i = 0; i < sims.size(); i++) {
        while (i != dead && sims.get(i).taken < log.size()) {
          play(new Event(Kind.TAKE, i));
        }
      }
      for (int i = 0; i < sims.size(); i++) {
        MaintenanceState.AwayMachine own = null;
        for (MaintenanceState.AwayMachine each : all.awayMachines()) {
          own = sims.get(i).name.equals(Machine.instance(each.machine())) ? each : own;
        }
        if (own != null && own.phase() == Phase.OUT && i != dead) {
          play(new Event(Kind.KILL, i)); // The upgrade that it was taken out for.
          play(new Event(Kind.START, i));
          play(new Event(Kind.LEAD, (i + 1) % sims.size()));
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
      for (int i = 0; i < sims.size(); i++) {
        Sim sim = sims.get(i);
        left |= i != dead && !sim.participant.maySend(sim.clock());
      }
      if (!left && round > 5) {
        return this;
      }
    }
    StringBuilder left = new StringBuilder();
    all.orderIds()
        .forEach(order -> left.append(order).append(all.machineStatuses(order, 9)).append(' '));
    found(Property.NOT_STUCK, left + " with " + all.instanceStatuses());
    return this;
  }

  /** Plays so many events drawn by a seed, then calm; what did not hold, or null. */
  static Finding random(long seed, int steps) {
    SplittableRandom random = new SplittableRandom(seed);
    boolean stops = random.nextInt(4) > 0;
    int releases = random.nextInt(4) > 0 ? 0 : LIMITS.size();
    World world = new World(stops, releases + random.nextInt(LIMITS.size()));
    for (int i = 0; i < steps && world.finding == null; i++) {
      List<Event> possible = world.possible();
      Event event = possible.get(random.nextInt(possible.size()));
      if (rare(event.kind()) && random.nextInt(8) > 0) {
        continue;
      }
      world.play(event);
      if (random.nextInt(3) > 0) {
        world.busy(random);
      }
    }
    return world.finding == null ? world.calm().finding : world.finding;
  }

  private static boolean rare(Kind kind) {
    return switch (kind) {
      case KILL, LOSE, FENCE, CUT, PAUSE, LEAD, CANCEL, DROP, DONE, UPGRADE, ILL, STICK -> true;
      default -> false;
    };
  }

  /** Something of what goes on all the time, so that faults meet an instance at work. */
  private void busy(SplittableRandom random) {
    int i = random.nextInt(sims.size());
    Sim sim = sims.get(i);
    if (sim.runs()) {
      play(new Event(Kind.STEP, i));
      if (!pending.isEmpty()) {
        play(new Event(Kind.APPEND, 0));
      }
      if (!sim.cut && sim.taken < log.size()) {
        play(new Event(Kind.TAKE, i));
      }
    }
    if (random.nextInt(3) == 0) {
      play(new Event(Kind.PASS, 10));
    }
  }
}
