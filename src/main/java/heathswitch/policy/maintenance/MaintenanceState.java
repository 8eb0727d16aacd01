package heathswitch.policy.maintenance;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Which machines are out, and which go next: the same on every instance that has taken the same
 * entries. Time is what the entries say, a span that never runs faster than any instance's clock.
 */
public final class MaintenanceState {
  /** Orders that have not ended; one more is refused. */
  public static final int MOST_ORDERS = 1024;

  /** Machines of all these together. */
  public static final int MOST_MACHINES = 20_000;

  /** Ended orders that can still be shown. */
  static final int MOST_ENDED = 256;

  public static final int MOST_INSTANCES = 64;

  /** No work takes longer than a year. */
  private static final long MOST_MILLIS = 366L * 24 * 3600 * 1000;

  /** Rounds that an urgent order goes before others; so it is overtaken and overtakes in bounds. */
  static final int URGENT_ROUNDS = 8;

  /** What an instance saw longer ago counts for nothing. */
  static final long REPORT_MILLIS = 10_000;

  /** Said to a join that did not know of the latest one; its {@code order} is what it must know. */
  public static final String LATE = "another process of this instance has joined meanwhile";

  /** One that was heard so long ago counts as there. */
  private static final long HEARD_MILLIS = 3000;

  private static final MaintenanceRules NO_RULES =
      new MaintenanceRules(0, 4000, 1000, 1, 1, List.of());
  private static final Comparator<Order> TURNS =
      Comparator.<Order>comparingLong(o -> o.round - (o.ask.urgent() ? URGENT_ROUNDS : 0))
          .thenComparingLong(o -> o.id);

  private final Map<String, InstanceState> instances = new TreeMap<>();
  private final Map<Long, Order> orders = new TreeMap<>();
  private final Map<Long, Order> ended = new LinkedHashMap<>();

  /** Places that are held or on their way back, by machine. */
  private final Map<String, Order.Place> away = new TreeMap<>();

  private MaintenanceRules rules = NO_RULES;
  private long nowMillis;
  private long index;
  private long nextOrder = 1;
  private long round = 1;

  /** Grows with every step of a machine. */
  private long changes;

  /** The form in force: what every instance that there is can take. It never falls. */
  private int form = FormatSupport.FIRST;

  /** Instances that there are to be, as the last one that joined was told. */
  private int peers;

  /**
   * Takes the next entry of the log.
   *
   * @param entry its number
   * @param stampMillis when whoever led took it, on the log's own clock, or {@link
   *     LogClock#NO_TIME}
   */
  public CommandResult apply(long entry, long stampMillis, Command command) {
    index = entry;
    nowMillis = Math.max(nowMillis, stampMillis);
    CommandResult reply;
    if (stampMillis < 0 && (command instanceof Command.Join || command instanceof Command.Renew)) {
      reply = CommandResult.no("no time that a lease could run from; once more");
    } else if (command instanceof Command.Join join) {
      reply = join(join);
    } else if (command instanceof Command.Renew renew) {
      reply = renew(renew, stampMillis);
    } else if (command instanceof Command.Free free) {
      reply = free(free);
    } else if (command instanceof Command.Leave leave) {
      reply = leave(leave);
    } else if (command instanceof Command.Fence fence) {
      reply = fence(fence);
    } else if (command instanceof Command.Ask ask) {
      reply = ask(ask);
    } else if (command instanceof Command.Done done) {
      reply = done(done);
    } else if (command instanceof Command.Extend extend) {
      reply = extend(extend);
    } else {
      reply = cancel((Command.Cancel) command);
    }
    settle();
    return reply;
  }

  // ---- instances ----

  private CommandResult join(Command.Join join) {
    InstanceState instance = instances.get(join.instance());
    if (instance == null) {
      if (instances.size() >= MOST_INSTANCES) {
        return CommandResult.no("there are " + MOST_INSTANCES + " instances already");
      }
      instance = new InstanceState(join.instance());
      instances.put(join.instance(), instance);
    } else if (instance.incarnation == join.incarnation()) {
      return CommandResult.ok(0); // The same entry a second time.
    } else if (instance.incarnation != join.before()) {
      return new CommandResult(false, instance.incarnation, LATE);
    }
    if (join.release().latestFormat() < form) {
      return CommandResult.no(
          "entries of form "
              + form
              + " are in force, and this release knows none beyond "
              + join.release().latestFormat()
              + "; a later release expected");
    }
    Order.Place own = away.get(Machine.balancer(join.instance()).id());
    if (own != null && own.phase == Phase.OUT) {
      return CommandResult.no("taken out by order " + own.order.id + " until that is done");
    }
    instance.incarnation = join.incarnation();
    instance.stops = join.stops();
    instance.fenced = false;
    instance.renewedMillis = nowMillis;
    instance.report = null;
    instance.knows = join.release().latestFormat();
    peers = join.release().peers() > 0 ? join.release().peers() : peers;
    raise();
    String said = takeRules(join.rules());
    for (Order.Place place : away.values()) {
      if (place.phase == Phase.EMPTYING) {
        // It sends nothing before it has taken this entry, and all grants before it.
        if (join.idle()) {
          place.freed.add(instance.name);
        } else {
          place.freed.remove(instance.name);
        }
      }
    }
    return new CommandResult(true, 0, said);
  }

  /**
   * A later form is in force as soon as all instances that there are to be know it: from then on no
   * earlier release can take part.
   */
  private void raise() {
    if (peers > 0 && instances.size() >= peers) {
      int all = instances.values().stream().mapToInt(each -> each.knows).min().orElse(form);
      form = Math.max(form, all);
    }
  }

  private String takeRules(MaintenanceRules stated) {
    if (stated.version() > rules.version()) {
      rules = stated;
    } else if (stated.version() == rules.version() && !stated.equals(rules)) {
      return "the rules of version " + rules.version() + " differ from those in force";
    } else if (stated.version() < rules.version()) {
      return "rules of version " + rules.version() + " are in force";
    }
    return "";
  }

  /** The instance if this process of it may speak, else null. */
  private InstanceState speaking(String name, long incarnation) {
    InstanceState instance = instances.get(name);
    return instance == null || instance.fenced || instance.incarnation != incarnation
        ? null
        : instance;
  }

  private CommandResult renew(Command.Renew renew, long stampMillis) {
    InstanceState instance = speaking(renew.instance(), renew.incarnation());
    if (instance == null) {
      return CommandResult.no("fenced; to join anew");
    }
    // The entry's own time, not the latest: the lease runs from before it was sent.
    instance.renewedMillis = Math.max(instance.renewedMillis, stampMillis);
    // One that was held up on its way says nothing newer.
    CapacityReport before = instance.report;
    if (renew.report() != null && (before == null || renew.report().index() >= before.index())) {
      instance.report = renew.report();
      instance.reportedMillis = nowMillis;
    }
    return CommandResult.ok(index); // So that it knows when it has taken this entry itself.
  }

  private CommandResult free(Command.Free free) {
    InstanceState instance = speaking(free.instance(), free.incarnation());
    if (instance == null) {
      return CommandResult.no("fenced; to join anew");
    }
    Order order = orders.get(free.order());
    Order.Place place = order == null ? null : order.place(free.machine());
    if (place != null && place.phase == Phase.EMPTYING) {
      place.freed.add(instance.name);
    }
    return CommandResult.ok(free.order());
  }

  /** What it said before and is still on its way counts for nothing: a join least of all. */
  private void goneForGood(InstanceState instance) {
    instance.fenced = true;
    instance.incarnation = -index;
  }

  private CommandResult leave(Command.Leave leave) {
    InstanceState instance = speaking(leave.instance(), leave.incarnation());
    if (instance == null) {
      return CommandResult.no("not there");
    }
    goneForGood(instance);
    return CommandResult.ok(0);
  }

  private CommandResult fence(Command.Fence fence) {
    InstanceState instance = instances.get(fence.instance());
    if (instance == null) {
      return CommandResult.no("no instance " + fence.instance());
    }
    goneForGood(instance);
    if (fence.forget()) {
      instances.remove(instance.name);
      raise();
    }
    return CommandResult.ok(0);
  }

  // ---- orders ----

  private CommandResult ask(Command.Ask ask) {
    for (Order order : orders.values()) {
      if (order.ask.key().equals(ask.key())) {
        return new CommandResult(true, order.id, "asked before");
      }
    }
    String refused = refusal(ask);
    if (refused != null) {
      return CommandResult.no(refused);
    }
    long turn = round;
    for (Order order : orders.values()) {
      if (order.ask.who().equals(ask.who())) {
        turn = Math.max(turn, order.round + 1);
      }
    }
    Order order = new Order(nextOrder++, ask, nowMillis, turn);
    orders.put(order.id, order);
    return CommandResult.ok(order.id);
  }

  /** Why it can never be granted, or null. */
  private String refusal(Command.Ask ask) {
    int machines = ask.machines().size();
    if (machines == 0) {
      return "names no machine";
    }
    if (ask.atOnce() < 1 || ask.forMillis() < 1 || ask.forMillis() > MOST_MILLIS) {
      return "at least one machine at once is expected, for a year at most";
    }
    if (ask.notBeforeMillis() < 0 || ask.notAfterMillis() < 0) {
      return "spans from now are expected, none of them negative";
    }
    if (orders.size() >= MOST_ORDERS) {
      return "there are " + MOST_ORDERS + " orders already";
    }
    long all = machines;
    for (Order order : orders.values()) {
      all += order.places().size();
    }
    if (all > MOST_MACHINES) {
      return "more than " + MOST_MACHINES + " machines in all orders";
    }
    if (ask.after() != 0 && !orders.containsKey(ask.after()) && !ended.containsKey(ask.after())) {
      return "comes after order " + ask.after() + ", which there is not";
    }
    if (rules.maxOut() < 1 || rules.maxOutInCell() < 1) {
      return "no machine may be out by the rules of version " + rules.version();
    }
    Set<ServerGroup> looked = new HashSet<>();
    Set<String> ids = new HashSet<>();
    for (Machine machine : ask.machines()) {
      if (!ids.add(machine.id())) {
        return "names " + machine.id() + " twice";
      }
      if ((machine.instance() == null) != (ask.machines().get(0).instance() == null)) {
        return "names servers and balancers; an order of its own for each expected";
      }
      if (machine.instance() != null && !instances.containsKey(machine.instance())) {
        return "names " + machine.instance() + ", which is no instance";
      }
      for (CapacityFloor floor : rules.floors()) {
        // Groups of like servers are judged once; a heavier one waits, if need be for good.
        if (floor.covers(machine.group()) && looked.add(machine.group())) {
          double listed = listed(floor);
          if (listed > 0 && listed - machine.weight() < floor.minShare() * listed) {
            return machine.id() + " can never go: " + floor + " allows no machine of its weight";
          }
        }
      }
    }
    return null;
  }

  private CommandResult done(Command.Done done) {
    Order order = orders.get(done.order());
    if (order == null) {
      return CommandResult.no("no order " + done.order());
    }
    int back = 0;
    for (Order.Place place : order.places()) {
      if (place.phase == Phase.OUT
          && (done.machine() == null || place.machine.id().equals(done.machine()))) {
        move(place, Phase.RETURNING);
        back++;
      }
    }
    return back > 0
        ? CommandResult.ok(order.id)
        : CommandResult.no("nothing of order " + order.id + " is out");
  }

  private CommandResult extend(Command.Extend extend) {
    Order order = orders.get(extend.order());
    if (order == null || extend.millis() < 1 || extend.millis() > MOST_MILLIS) {
      return CommandResult.no("no order " + extend.order() + " that could be extended so");
    }
    for (Order.Place place : order.places()) {
      if (place.phase == Phase.OUT) {
        place.dueMillis = Math.max(place.dueMillis, nowMillis) + extend.millis();
      }
    }
    return CommandResult.ok(order.id);
  }

  private CommandResult cancel(Command.Cancel cancel) {
    Order order = orders.get(cancel.order());
    if (order == null) {
      return CommandResult.no("no order " + cancel.order());
    }
    boolean out = false;
    for (Order.Place place : order.places()) {
      if (place.phase == Phase.WAITING || place.phase == Phase.EMPTYING) {
        move(place, Phase.ABANDONED);
      }
      out |= place.phase == Phase.OUT;
    }
    // Somebody may have a hand in what is out: that comes back by "done" alone.
    return new CommandResult(true, order.id, out ? "machines are out; done puts them back" : "");
  }

  private void move(Order.Place place, Phase to) {
    place.order.move(place, to, index, nowMillis);
    changes++;
    if (to.ended()) {
      away.remove(place.machine.id(), place); // Not that of another order that has the machine.
    } else {
      away.put(place.machine.id(), place);
    }
  }

  // ---- what follows from an entry ----

  private void settle() {
    for (InstanceState instance : instances.values()) {
      instance.fenced |= nowMillis >= endMillis(instance);
    }
    for (Order.Place place : List.copyOf(away.values())) {
      if (place.phase == Phase.EMPTYING && waitsFor(place).isEmpty()) {
        move(place, Phase.OUT);
        place.dueMillis = nowMillis + place.order.ask.forMillis();
      } else if (place.phase == Phase.RETURNING && warm(place)) {
        move(place, Phase.DONE);
      }
    }
    for (Order order : orders.values()) {
      if (order.waiting() > 0
          && order.ask.notAfterMillis() > 0
          && nowMillis - order.askedMillis > order.ask.notAfterMillis()) {
        for (Order.Place place : order.places()) {
          if (place.phase == Phase.WAITING) {
            move(place, Phase.ABANDONED);
          }
        }
      }
    }
    grant();
    if (form >= FormatSupport.WANTED_BACK) {
      wantBack();
    }
    for (Order order : List.copyOf(orders.values())) {
      if (order.over()) {
        orders.remove(order.id);
        ended.put(order.id, order);
        if (ended.size() > MOST_ENDED) {
          ended.remove(ended.keySet().iterator().next());
        }
      }
    }
  }

  /**
   * Where capacity is under its floor, the machines of that floor that are out are wanted back. It
   * is said and nothing else: only those who work on a machine know when it can be put back.
   */
  private void wantBack() {
    Map<CapacityFloor, Boolean> under = new HashMap<>();
    for (Order.Place place : away.values()) {
      boolean wanted =
          place.phase == Phase.OUT
              && rules.floors().stream()
                  .anyMatch(
                      floor ->
                          floor.covers(place.machine.group())
                              && under.computeIfAbsent(floor, each -> shortOf(each) != null));
      if (wanted != place.wantedMillis > 0) {
        place.wantedMillis = wanted ? Math.max(1, nowMillis) : 0;
        changes++;
      }
    }
  }

  /** What is in service where that is less than the floor, else null; null where nobody says. */
  private Worth shortOf(CapacityFloor floor) {
    Worth worth = worth(floor);
    return worth != null && worth.weight() < floor.minShare() * listed(floor) ? worth : null;
  }

  /** When an instance counts as stopped if it is not heard again; never for one that goes on. */
  private long endMillis(InstanceState instance) {
    return instance.stops
        ? instance.renewedMillis + rules.leaseMillis() + rules.marginMillis()
        : Long.MAX_VALUE;
  }

  /**
   * The time of the log's clock at which a machine that is being emptied need not wait any more for
   * an instance that is not heard; {@link Long#MAX_VALUE} where none waits so. It is the next entry
   * that lets it go, so somebody has to say something then.
   */
  public long nextExpiryMillis() {
    long due = Long.MAX_VALUE;
    for (Order.Place place : away.values()) {
      if (place.phase == Phase.EMPTYING) {
        for (String name : waitsFor(place)) {
          due = Math.min(due, endMillis(instances.get(name)));
        }
      }
    }
    return due;
  }

  /** The instances that may still send to a machine that is being emptied. */
  private List<String> waitsFor(Order.Place place) {
    List<String> names = new ArrayList<>();
    String balancer = place.machine.instance();
    for (InstanceState instance : instances.values()) {
      // A balancer that is taken out says itself that it is: it leaves.
      if (balancer != null) {
        if (!instance.fenced && instance.name.equals(balancer)) {
          names.add(balancer);
        }
      } else if (!instance.fenced && !place.freed.contains(instance.name)) {
        names.add(instance.name);
      }
    }
    return names;
  }

  /**
   * InstanceStatus in full service by all who have looked since it came back, and by one at least.
   */
  private boolean warm(Order.Place place) {
    String balancer = place.machine.instance();
    if (balancer != null) {
      InstanceState back = instances.get(balancer);
      return back == null || fresh(back) && back.report.index() >= place.index;
    }
    boolean seen = false;
    for (InstanceState instance : instances.values()) {
      if (fresh(instance)) {
        if (instance.report.index() < place.index
            || !instance.report.warm().contains(place.machine.id())) {
          return false;
        }
        seen = true;
      }
    }
    return seen;
  }

  /**
   * Grants what may go, in the order of turns. Whoever has to wait for capacity keeps it for
   * itself: nobody behind takes what it waits for, so that it gets it in the end.
   */
  private void grant() {
    List<Order> turns = new ArrayList<>();
    for (Order order : orders.values()) {
      if (order.waiting() > 0) {
        turns.add(order);
      }
    }
    turns.sort(TURNS);
    Set<Object> kept = new HashSet<>();
    boolean noMore = false;
    for (Order order : turns) {
      for (Order.Place place : order.places()) {
        if (place.phase != Phase.WAITING) {
          continue;
        }
        if (ownObstacle(order) != null) {
          break;
        }
        if (kept(place.machine, kept) || noMore && place.machine.instance() == null) {
          continue;
        }
        if (away.containsKey(place.machine.id())) {
          continue; // With another order, or not yet warm again.
        }
        Obstacle obstacle = obstacle(place.machine);
        if (obstacle == null) {
          move(place, Phase.EMPTYING);
          round = Math.max(round, order.round);
        } else {
          kept.add(obstacle.keeps());
          if (obstacle.keeps() == this) {
            noMore = true;
          }
        }
      }
    }
  }

  private static boolean kept(Machine machine, Set<Object> kept) {
    if (kept.isEmpty()) {
      return false;
    }
    if (machine.instance() != null) {
      return kept.contains(machine.group());
    }
    if (kept.contains(machine.cell())) {
      return true;
    }
    for (Object each : kept) {
      if (each instanceof CapacityFloor floor && floor.covers(machine.group())) {
        return true;
      }
    }
    return false;
  }

  /** Why no machine of an order may go, for reasons of its own. */
  private String ownObstacle(Order order) {
    if (order.held() >= order.ask.atOnce()) {
      return "has " + order.held() + " machines out, " + order.ask.atOnce() + " at once at most";
    }
    if (nowMillis - order.askedMillis < order.ask.notBeforeMillis()) {
      return "not before "
          + (order.ask.notBeforeMillis() - nowMillis + order.askedMillis)
          + " ms from now";
    }
    Order before = orders.get(order.ask.after());
    return before != null && !before.doneWith() ? "comes after order " + before.id : null;
  }

  /** Why a machine may not go now, and what is to be kept for it. */
  private record Obstacle(String reason, Object keeps) {}

  /**
   * A balancer goes only while all others are there and have heard of whatever is settled: one less
   * of so many that vote leaves a majority, and clients have somewhere to go.
   */
  private Obstacle balancerObstacle(Machine machine) {
    for (Order.Place place : away.values()) {
      if (place.machine.instance() != null) {
        return new Obstacle(place.machine.instance() + " is away", machine.group());
      }
    }
    for (InstanceState instance : instances.values()) {
      if (!heard(instance) && !instance.name.equals(machine.instance())) {
        return new Obstacle(instance.name + " is not there", machine.group());
      }
    }
    return null;
  }

  /** It renews only what its own log has taken, so it has the log up to about now. */
  private boolean heard(InstanceState instance) {
    return instance != null
        && !instance.fenced
        && nowMillis - instance.renewedMillis <= HEARD_MILLIS;
  }

  /**
   * Why those that vote can't be changed now, or an empty text. One without the log, or that does
   * not run, settles nothing: an entry needs more than half of all that vote.
   *
   * @param voters those that would vote then
   * @param joins the one of them that does not vote yet, or null where one leaves
   * @param sinceMillis on the log's clock; whoever joins must have been heard after it
   */
  public String voteObstacle(Collection<String> voters, String joins, long sinceMillis) {
    InstanceState instance = joins == null ? null : instances.get(joins);
    if (joins != null && (!heard(instance) || instance.renewedMillis <= sinceMillis)) {
      return joins + " is not there with the log yet";
    }
    List<String> there = voters.stream().filter(each -> heard(instances.get(each))).toList();
    return there.size() * 2 > voters.size()
        ? ""
        : "of " + String.join(", ", voters) + " only " + there.size() + " would be there to vote";
  }

  private Obstacle obstacle(Machine machine) {
    if (machine.instance() != null) {
      return balancerObstacle(machine);
    }
    int out = 0;
    int outInCell = 0;
    for (Order.Place place : away.values()) {
      if (place.phase.held() && place.machine.instance() == null) {
        out++;
        outInCell += place.machine.cell() == machine.cell() ? 1 : 0;
      }
    }
    if (out >= rules.maxOut()) {
      return new Obstacle(out + " machines are out, " + rules.maxOut() + " at most", this);
    }
    if (outInCell >= rules.maxOutInCell()) {
      return new Obstacle(
          outInCell
              + " machines of cell "
              + machine.cell()
              + " are out, "
              + rules.maxOutInCell()
              + " at most",
          machine.cell());
    }
    for (CapacityFloor floor : rules.floors()) {
      if (floor.covers(machine.group())) {
        Worth worth = worth(floor);
        double least = floor.minShare() * listed(floor);
        if (worth == null || worth.weight() - machine.weight() < least) {
          return new Obstacle(
              worth == null ? "no balancer says what is in service" : seen(floor, worth, least),
              floor);
        }
      }
    }
    return null;
  }

  private boolean fresh(InstanceState instance) {
    return !instance.fenced
        && instance.report != null
        && nowMillis - instance.reportedMillis <= REPORT_MILLIS;
  }

  /** The weight that the most generous list names. */
  private double listed(CapacityFloor floor) {
    double most = 0;
    for (InstanceState instance : instances.values()) {
      if (fresh(instance)) {
        double sum = 0;
        for (Map.Entry<ServerGroup, CapacityReport.Capacity> group :
            instance.report.groups().entrySet()) {
          sum += floor.covers(group.getKey()) ? group.getValue().listed() : 0;
        }
        most = Math.max(most, sum);
      }
    }
    return most;
  }

  /** What is in service, and who says so. */
  private record Worth(double weight, String seenBy) {}

  /**
   * What is in service by whoever sees least; null where nobody says. What was granted after
   * somebody looked is taken off what was seen.
   */
  private Worth worth(CapacityFloor floor) {
    Worth least = null;
    for (InstanceState instance : instances.values()) {
      if (fresh(instance)) {
        double sum = 0;
        for (Map.Entry<ServerGroup, CapacityReport.Capacity> group :
            instance.report.groups().entrySet()) {
          sum += floor.covers(group.getKey()) ? group.getValue().available() : 0;
        }
        for (Order.Place place : away.values()) {
          boolean unseen = place.phase.held() && place.grantedAfter(instance.report.index());
          sum -= unseen && floor.covers(place.machine.group()) ? place.machine.weight() : 0;
        }
        if (least == null || sum < least.weight()) {
          least = new Worth(sum, instance.name);
        }
      }
    }
    return least;
  }

  // ---- what is asked of it ----

  /** Grows with every step of a machine. */
  public long changeCount() {
    return changes;
  }

  /** The last entry that was taken. */
  public long appliedIndex() {
    return index;
  }

  public long nowMillis() {
    return nowMillis;
  }

  public MaintenanceRules rules() {
    return rules;
  }

  /** The latest form of entries that all instances can take; it never falls. */
  public int formatVersion() {
    return form;
  }

  /**
   * Where the machines stand that are held or on their way back.
   *
   * @param wanted whether it is out and wanted back, as capacity is under its floor
   */
  public record AwayMachine(
      long order, String machine, String address, Phase phase, long index, boolean wanted) {}

  public List<AwayMachine> awayMachines() {
    List<AwayMachine> list = new ArrayList<>(away.size());
    for (Order.Place place : away.values()) {
      list.add(
          new AwayMachine(
              place.order.id,
              place.machine.id(),
              place.machine.address(),
              place.phase,
              place.index,
              place.wantedMillis > 0));
    }
    return list;
  }

  /** Whether this process of an instance has joined and was not fenced since. */
  public boolean hasJoined(String instance, long incarnation) {
    return speaking(instance, incarnation) != null;
  }

  /** The latest process of an instance, 0 for none. */
  public long incarnation(String instance) {
    InstanceState known = instances.get(instance);
    return known == null ? 0 : known.incarnation;
  }

  /** Whether an order has an instance leave, or stay away: its process sends nothing meanwhile. */
  public boolean mustLeave(String instance) {
    Order.Place place = away.get(Machine.balancer(instance).id());
    return place != null && place.phase.held();
  }

  /** The orders that can be shown, the latest last. */
  public List<Long> orderIds() {
    List<Long> ids = new ArrayList<>(ended.keySet());
    ids.addAll(orders.keySet());
    return ids;
  }

  private Order find(long id) {
    Order order = orders.get(id);
    return order == null ? ended.get(id) : order;
  }

  /** How many machines of an order stand where; null where there is no such order. */
  public Map<Phase, Integer> phaseCounts(long id) {
    Order order = find(id);
    if (order == null) {
      return null;
    }
    Map<Phase, Integer> phases = new TreeMap<>();
    for (Order.Place place : order.places()) {
      phases.merge(place.phase, 1, Integer::sum);
    }
    return phases;
  }

  /** How many machines of an order are wanted back. */
  public int wantedBackCount(long id) {
    Order order = find(id);
    int wanted = 0;
    for (Order.Place place : order == null ? List.<Order.Place>of() : order.places()) {
      wanted += place.wantedMillis > 0 ? 1 : 0;
    }
    return wanted;
  }

  /** What is wanted, or null. */
  public Command.Ask request(long id) {
    Order order = find(id);
    return order == null ? null : order.ask;
  }

  /** One machine of an order as it is shown. */
  public record MachineStatus(
      String machine,
      Phase phase,
      long sinceMillis,
      boolean overdue,
      boolean wanted,
      String waitsFor) {}

  /** So many machines of an order at most, those first that wait or are away. */
  public List<MachineStatus> machineStatuses(long id, int most) {
    List<MachineStatus> list = new ArrayList<>();
    Order order = find(id);
    Collection<Order.Place> places = order == null ? List.of() : order.places();
    for (int pass = 0; pass < 2; pass++) {
      for (Order.Place place : places) {
        if (list.size() < most && place.phase.ended() == (pass == 1)) {
          list.add(
              new MachineStatus(
                  place.machine.id(),
                  place.phase,
                  nowMillis - (place.index == 0 ? order.askedMillis : place.sinceMillis),
                  place.overdue(nowMillis),
                  place.wantedMillis > 0,
                  why(place)));
        }
      }
    }
    return list;
  }

  /** Why a machine is not further on; empty where nothing holds it up. */
  private String why(Order.Place place) {
    switch (place.phase) {
      case EMPTYING -> {
        return "calls in flight, or news, of " + heard(waitsFor(place));
      }
      case RETURNING -> {
        return "not yet warm for every balancer";
      }
      case WAITING -> {
        String own = ownObstacle(place.order);
        Order.Place other = away.get(place.machine.id());
        if (own != null || other != null) {
          return own != null ? own : "away with order " + other.order.id;
        }
        Obstacle obstacle = obstacle(place.machine);
        return obstacle == null ? "an earlier turn" : obstacle.reason();
      }
      default -> {
        String wanted = place.wantedMillis > 0 ? wantedBack(place.machine) : "";
        return place.overdue(nowMillis)
            ? "overdue: done, extend, or see to it" + (wanted.isEmpty() ? "" : "; " + wanted)
            : wanted;
      }
    }
  }

  private String wantedBack(Machine machine) {
    for (CapacityFloor floor : rules.floors()) {
      Worth worth = floor.covers(machine.group()) ? shortOf(floor) : null;
      if (worth != null) {
        return "wanted back: " + seen(floor, worth, floor.minShare() * listed(floor));
      }
    }
    return "wanted back";
  }

  private static String seen(CapacityFloor floor, Worth worth, double least) {
    return String.format(
        Locale.ROOT,
        "%s: %s sees %.2f in service, %.2f must be left",
        floor,
        worth.seenBy(),
        worth.weight(),
        least);
  }

  private String heard(List<String> names) {
    List<String> words = new ArrayList<>();
    for (String name : names) {
      long ago = nowMillis - instances.get(name).renewedMillis;
      words.add(name + " (heard " + ago + " ms ago)");
    }
    return String.join(", ", words);
  }

  /** An instance as it is shown. */
  public record InstanceStatus(
      String name, boolean stops, boolean fenced, long heardMillisAgo, int latestFormat) {}

  public List<InstanceStatus> instanceStatuses() {
    List<InstanceStatus> list = new ArrayList<>();
    for (InstanceState each : instances.values()) {
      list.add(
          new InstanceStatus(
              each.name, each.stops, each.fenced, nowMillis - each.renewedMillis, each.knows));
    }
    return list;
  }

  // ---- kept and taken up again ----

  /** All of it as a tree, see {@link CommandCodec}. */
  public Map<String, Object> toSnapshot() {
    Map<String, Object> tree = new LinkedHashMap<>();
    tree.put("index", index);
    tree.put("now_ms", nowMillis);
    tree.put("next_order", nextOrder);
    tree.put("round", round);
    tree.put("form", form);
    tree.put("peers", peers);
    tree.put("rules", CommandCodec.encode(rules));
    List<Object> rows = new ArrayList<>();
    for (InstanceState each : instances.values()) {
      Map<String, Object> row = new LinkedHashMap<>();
      row.put("name", each.name);
      row.put("incarnation", each.incarnation);
      row.put("stops", each.stops);
      row.put("knows", each.knows);
      row.put("fenced", each.fenced);
      row.put("renewed_ms", each.renewedMillis);
      row.put("reported_ms", each.reportedMillis);
      if (each.report != null) {
        row.put("report", CommandCodec.encode(each.report));
      }
      rows.add(row);
    }
    tree.put("instances", rows);
    tree.put("orders", save(orders.values()));
    tree.put("ended", save(ended.values()));
    return tree;
  }

  private static List<Object> save(Collection<Order> orders) {
    List<Object> rows = new ArrayList<>();
    for (Order order : orders) {
      Map<String, Object> row = new LinkedHashMap<>();
      row.put("id", order.id);
      row.put("asked_ms", order.askedMillis);
      row.put("round", order.round);
      row.put("ask", CommandCodec.encode(order.ask));
      List<Object> places = new ArrayList<>();
      for (Order.Place place : order.places()) {
        places.add(
            List.of(
                place.phase.name(),
                place.index,
                place.sinceMillis,
                place.grantedIndex,
                place.dueMillis,
                new ArrayList<>(place.freed),
                place.wantedMillis));
      }
      row.put("places", places);
      rows.add(row);
    }
    return rows;
  }

  /** What was saved. */
  public static MaintenanceState fromSnapshot(Map<?, ?> tree) {
    MaintenanceState settled = new MaintenanceState();
    settled.index = CommandCodec.requireLong(tree, "index");
    settled.nowMillis = CommandCodec.requireLong(tree, "now_ms");
    settled.nextOrder = CommandCodec.requireLong(tree, "next_order");
    settled.round = CommandCodec.requireLong(tree, "round");
    settled.form = (int) CommandCodec.longOrDefault(tree, "form", FormatSupport.FIRST);
    settled.peers = (int) CommandCodec.longOrDefault(tree, "peers", 0);
    settled.rules = CommandCodec.decodeRules(CommandCodec.requireMap(tree, "rules"));
    for (Object each : CommandCodec.requireList(tree, "instances")) {
      Map<?, ?> row = (Map<?, ?>) each;
      InstanceState instance = new InstanceState(CommandCodec.requireString(row, "name"));
      instance.incarnation = CommandCodec.requireLong(row, "incarnation");
      instance.stops = CommandCodec.requireBoolean(row, "stops");
      instance.knows = (int) CommandCodec.longOrDefault(row, "knows", FormatSupport.FIRST);
      instance.fenced = CommandCodec.requireBoolean(row, "fenced");
      instance.renewedMillis = CommandCodec.requireLong(row, "renewed_ms");
      instance.reportedMillis = CommandCodec.requireLong(row, "reported_ms");
      instance.report =
          row.containsKey("report")
              ? CommandCodec.decodeReport(CommandCodec.requireMap(row, "report"))
              : null;
      settled.instances.put(instance.name, instance);
    }
    settled.load(CommandCodec.requireList(tree, "orders"), settled.orders);
    settled.load(CommandCodec.requireList(tree, "ended"), settled.ended);
    return settled;
  }

  private void load(List<?> rows, Map<Long, Order> into) {
    for (Object each : rows) {
      Map<?, ?> row = (Map<?, ?>) each;
      Order order =
          new Order(
              CommandCodec.requireLong(row, "id"),
              CommandCodec.decodeAsk(CommandCodec.requireMap(row, "ask")),
              CommandCodec.requireLong(row, "asked_ms"),
              CommandCodec.requireLong(row, "round"));
      int at = 0;
      List<?> places = CommandCodec.requireList(row, "places");
      for (Order.Place place : order.places()) {
        List<?> fields = (List<?>) places.get(at++);
        order.move(
            place,
            Phase.valueOf((String) fields.get(0)),
            ((Number) fields.get(1)).longValue(),
            ((Number) fields.get(2)).longValue());
        place.grantedIndex = ((Number) fields.get(3)).longValue();
        place.dueMillis = ((Number) fields.get(4)).longValue();
        for (Object name : (List<?>) fields.get(5)) {
          place.freed.add((String) name);
        }
        place.wantedMillis = fields.size() > 6 ? ((Number) fields.get(6)).longValue() : 0;
        if (place.phase != Phase.WAITING && !place.phase.ended()) {
          away.put(place.machine.id(), place);
          changes++;
        }
      }
      into.put(order.id, order);
    }
  }
}
