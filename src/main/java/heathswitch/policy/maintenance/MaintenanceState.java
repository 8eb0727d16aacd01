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
 * The replicated state machine of maintenance orders: which machines are out and which go out next.
 * Instances that have applied the same log entries hold the same state. Its time is that of the
 * entries, see {@link LogClock}; it never runs faster than the clock of any instance.
 */
public final class MaintenanceState {
  /** Maximum number of orders that have not ended; further ones are rejected. */
  public static final int MAX_ORDERS = 1024;

  /** Maximum number of machines in all orders that have not ended. */
  public static final int MAX_MACHINES = 20_000;

  /** Number of ended orders that are kept to be shown. */
  static final int MAX_ENDED = 256;

  /** Maximum number of instances. */
  public static final int MAX_INSTANCES = 64;

  /** Longest duration of maintenance: a year. */
  private static final long MAX_DURATION_MILLIS = 366L * 24 * 3600 * 1000;

  /**
   * How many rounds an urgent order is moved ahead. Since the number is fixed, urgent orders delay
   * others, and are delayed by them, only within a bound.
   */
  static final int URGENT_ROUNDS = 8;

  /** Capacity reports older than this are ignored. */
  static final long REPORT_TTL_MILLIS = 10_000;

  /**
   * Message of a join that is rejected because it did not name the latest incarnation; the result's
   * {@code value} is that incarnation. Instances of other releases compare this text, so it must
   * not change.
   */
  public static final String JOIN_SUPERSEDED =
      "another process of this instance has joined meanwhile";

  /** An instance that renewed its lease within this time counts as reachable. */
  private static final long REACHABLE_MILLIS = 3000;

  private static final MaintenanceRules INITIAL_RULES =
      new MaintenanceRules(0, 4000, 1000, 1, 1, List.of());
  private static final Comparator<Order> TURN_ORDER =
      Comparator.<Order>comparingLong(o -> o.round - (o.request.urgent() ? URGENT_ROUNDS : 0))
          .thenComparingLong(o -> o.id);

  private final Map<String, InstanceState> instances = new TreeMap<>();
  private final Map<Long, Order> orders = new TreeMap<>();
  private final Map<Long, Order> ended = new LinkedHashMap<>();

  /** Items that are held or returning, by machine id. */
  private final Map<String, Order.Item> away = new TreeMap<>();

  private MaintenanceRules rules = INITIAL_RULES;
  private long nowMillis;
  private long index;
  private long nextOrder = 1;
  private long round = 1;

  /** Incremented whenever a machine changes its phase or whether it is wanted back. */
  private long changes;

  /** The format version in force, which every instance can read. It never decreases. */
  private int formatVersion = FormatSupport.FIRST;

  /** Number of instances in the fleet, as the last one that joined was configured; 0 if unknown. */
  private int peers;

  /**
   * Applies the next log entry.
   *
   * @param entry index of the entry
   * @param stampMillis when the leader received the entry, on the log's own clock, or {@link
   *     LogClock#NO_TIME}
   */
  public CommandResult apply(long entry, long stampMillis, Command command) {
    index = entry;
    nowMillis = Math.max(nowMillis, stampMillis);
    CommandResult result;
    if (stampMillis < 0 && (command instanceof Command.Join || command instanceof Command.Renew)) {
      result = CommandResult.rejected("entry has no time that a lease could start from; try again");
    } else if (command instanceof Command.Join join) {
      result = join(join);
    } else if (command instanceof Command.Renew renew) {
      result = renew(renew, stampMillis);
    } else if (command instanceof Command.Free free) {
      result = free(free);
    } else if (command instanceof Command.Leave leave) {
      result = leave(leave);
    } else if (command instanceof Command.Fence fence) {
      result = fence(fence);
    } else if (command instanceof Command.Ask ask) {
      result = ask(ask);
    } else if (command instanceof Command.Done done) {
      result = done(done);
    } else if (command instanceof Command.Extend extend) {
      result = extend(extend);
    } else {
      result = cancel((Command.Cancel) command);
    }
    updateAll();
    return result;
  }

  // ---- instances ----

  private CommandResult join(Command.Join join) {
    InstanceState instance = instances.get(join.instance());
    if (instance == null) {
      if (instances.size() >= MAX_INSTANCES) {
        return CommandResult.rejected("the maximum of " + MAX_INSTANCES + " instances is reached");
      }
      instance = new InstanceState(join.instance());
      instances.put(join.instance(), instance);
    } else if (instance.incarnation == join.incarnation()) {
      return CommandResult.accepted(0); // The same join a second time.
    } else if (instance.incarnation != join.previousIncarnation()) {
      return new CommandResult(false, instance.incarnation, JOIN_SUPERSEDED);
    }
    if (join.formats().latestFormat() < formatVersion) {
      return CommandResult.rejected(
          "entries of format version "
              + formatVersion
              + " are in force and this release reads them only up to version "
              + join.formats().latestFormat()
              + "; a later release expected");
    }
    Order.Item own = away.get(Machine.balancer(join.instance()).id());
    if (own != null && own.phase == Phase.OUT) {
      return CommandResult.rejected(
          "taken out by order " + own.order.id + "; can join after that is done");
    }
    instance.incarnation = join.incarnation();
    instance.stopsWhenCutOff = join.stopsWhenCutOff();
    instance.fenced = false;
    instance.renewedMillis = nowMillis;
    instance.report = null;
    instance.latestFormat = join.formats().latestFormat();
    peers = join.formats().peers() > 0 ? join.formats().peers() : peers;
    raiseFormatVersion();
    String message = adoptRules(join.rules());
    for (Order.Item item : away.values()) {
      if (item.phase == Phase.EMPTYING) {
        // It sends nothing before it has applied this entry, and with it all earlier grants.
        if (join.idle()) {
          item.freedBy.add(instance.name);
        } else {
          item.freedBy.remove(instance.name);
        }
      }
    }
    return new CommandResult(true, 0, message);
  }

  /**
   * Puts a later format version in force once all instances of the fleet can read it. From then on
   * no earlier release can join.
   */
  private void raiseFormatVersion() {
    if (peers > 0 && instances.size() >= peers) {
      int common =
          instances.values().stream()
              .mapToInt(each -> each.latestFormat)
              .min()
              .orElse(formatVersion);
      formatVersion = Math.max(formatVersion, common);
    }
  }

  private String adoptRules(MaintenanceRules stated) {
    if (stated.version() > rules.version()) {
      rules = stated;
    } else if (stated.version() == rules.version() && !stated.equals(rules)) {
      return "the rules of version " + rules.version() + " differ from those in force";
    } else if (stated.version() < rules.version()) {
      return "rules of version " + rules.version() + " are in force";
    }
    return "";
  }

  /** The instance if it is not fenced and the incarnation is its current one, else null. */
  private InstanceState activeInstance(String name, long incarnation) {
    InstanceState instance = instances.get(name);
    return instance == null || instance.fenced || instance.incarnation != incarnation
        ? null
        : instance;
  }

  private CommandResult renew(Command.Renew renew, long stampMillis) {
    InstanceState instance = activeInstance(renew.instance(), renew.incarnation());
    if (instance == null) {
      return CommandResult.rejected("fenced; must join again");
    }
    // The entry's own time rather than the latest one: the lease starts before the entry was sent.
    instance.renewedMillis = Math.max(instance.renewedMillis, stampMillis);
    // A delayed entry must not replace a newer report.
    CapacityReport previous = instance.report;
    if (renew.report() != null
        && (previous == null || renew.report().index() >= previous.index())) {
      instance.report = renew.report();
      instance.reportedMillis = nowMillis;
    }
    return CommandResult.accepted(index); // The instance waits until its own log has applied this.
  }

  private CommandResult free(Command.Free free) {
    InstanceState instance = activeInstance(free.instance(), free.incarnation());
    if (instance == null) {
      return CommandResult.rejected("fenced; must join again");
    }
    Order order = orders.get(free.order());
    Order.Item item = order == null ? null : order.item(free.machine());
    if (item != null && item.phase == Phase.EMPTYING) {
      item.freedBy.add(instance.name);
    }
    return CommandResult.accepted(free.order());
  }

  /** Fences an instance so that its delayed commands, a delayed join included, have no effect. */
  private void fenceIncarnation(InstanceState instance) {
    instance.fenced = true;
    instance.incarnation = -index;
  }

  private CommandResult leave(Command.Leave leave) {
    InstanceState instance = activeInstance(leave.instance(), leave.incarnation());
    if (instance == null) {
      return CommandResult.rejected("fenced or not joined");
    }
    fenceIncarnation(instance);
    return CommandResult.accepted(0);
  }

  private CommandResult fence(Command.Fence fence) {
    InstanceState instance = instances.get(fence.instance());
    if (instance == null) {
      return CommandResult.rejected("unknown instance " + fence.instance());
    }
    fenceIncarnation(instance);
    if (fence.forget()) {
      instances.remove(instance.name);
      raiseFormatVersion();
    }
    return CommandResult.accepted(0);
  }

  // ---- orders ----

  private CommandResult ask(Command.Ask ask) {
    for (Order order : orders.values()) {
      if (order.request.key().equals(ask.key())) {
        return new CommandResult(true, order.id, "requested before");
      }
    }
    String reason = rejectionReason(ask);
    if (reason != null) {
      return CommandResult.rejected(reason);
    }
    long orderRound = round;
    for (Order order : orders.values()) {
      if (order.request.requester().equals(ask.requester())) {
        orderRound = Math.max(orderRound, order.round + 1);
      }
    }
    Order order = new Order(nextOrder++, ask, nowMillis, orderRound);
    orders.put(order.id, order);
    return CommandResult.accepted(order.id);
  }

  /** Why a request is rejected, such as that it could never be granted; null if it is accepted. */
  private String rejectionReason(Command.Ask ask) {
    int machines = ask.machines().size();
    if (machines == 0) {
      return "the request names no machine";
    }
    if (ask.atOnce() < 1
        || ask.durationMillis() < 1
        || ask.durationMillis() > MAX_DURATION_MILLIS) {
      return "at least one machine at once and a duration of up to a year expected";
    }
    if (ask.notBeforeMillis() < 0 || ask.notAfterMillis() < 0) {
      return "not-before and not-after are times from now and must not be negative";
    }
    if (orders.size() >= MAX_ORDERS) {
      return "the maximum of " + MAX_ORDERS + " open orders is reached";
    }
    long total = machines;
    for (Order order : orders.values()) {
      total += order.items().size();
    }
    if (total > MAX_MACHINES) {
      return "more than " + MAX_MACHINES + " machines in all orders together";
    }
    if (ask.afterOrder() != 0
        && !orders.containsKey(ask.afterOrder())
        && !ended.containsKey(ask.afterOrder())) {
      return "is to come after order " + ask.afterOrder() + ", which does not exist";
    }
    if (rules.maxOut() < 1 || rules.maxOutInCell() < 1) {
      return "the rules of version " + rules.version() + " allow no machine to be out";
    }
    Set<ServerGroup> checkedGroups = new HashSet<>();
    Set<String> ids = new HashSet<>();
    for (Machine machine : ask.machines()) {
      if (!ids.add(machine.id())) {
        return "the request names " + machine.id() + " twice";
      }
      if ((machine.instance() == null) != (ask.machines().get(0).instance() == null)) {
        return "the request names servers and balancers; separate orders expected";
      }
      if (machine.instance() != null && !instances.containsKey(machine.instance())) {
        return "the request names the unknown instance " + machine.instance();
      }
      for (CapacityFloor floor : rules.floors()) {
        // Only the first machine of a group is checked; a heavier one may have to wait forever.
        if (floor.covers(machine.group()) && checkedGroups.add(machine.group())) {
          double listed = listedCapacity(floor);
          if (listed > 0 && listed - machine.weight() < floor.minShare() * listed) {
            return machine.id()
                + " can never go out: "
                + floor
                + " allows no machine of its weight";
          }
        }
      }
    }
    return null;
  }

  private CommandResult done(Command.Done done) {
    Order order = orders.get(done.order());
    if (order == null) {
      return CommandResult.rejected("no order " + done.order());
    }
    int returning = 0;
    for (Order.Item item : order.items()) {
      if (item.phase == Phase.OUT
          && (done.machine() == null || item.machine.id().equals(done.machine()))) {
        move(item, Phase.RETURNING);
        returning++;
      }
    }
    return returning > 0
        ? CommandResult.accepted(order.id)
        : CommandResult.rejected("no machine of order " + order.id + " is out");
  }

  private CommandResult extend(Command.Extend extend) {
    Order order = orders.get(extend.order());
    if (order == null || extend.millis() < 1 || extend.millis() > MAX_DURATION_MILLIS) {
      return CommandResult.rejected(
          "order " + extend.order() + " does not exist or cannot be extended by that time");
    }
    for (Order.Item item : order.items()) {
      if (item.phase == Phase.OUT) {
        item.dueMillis = Math.max(item.dueMillis, nowMillis) + extend.millis();
      }
    }
    return CommandResult.accepted(order.id);
  }

  private CommandResult cancel(Command.Cancel cancel) {
    Order order = orders.get(cancel.order());
    if (order == null) {
      return CommandResult.rejected("no order " + cancel.order());
    }
    boolean out = false;
    for (Order.Item item : order.items()) {
      if (item.phase == Phase.WAITING || item.phase == Phase.EMPTYING) {
        move(item, Phase.ABANDONED);
      }
      out |= item.phase == Phase.OUT;
    }
    // Maintenance may be going on at machines that are out; only "done" puts them back.
    return new CommandResult(
        true, order.id, out ? "some machines are out; only done puts them back" : "");
  }

  private void move(Order.Item item, Phase to) {
    item.order.move(item, to, index, nowMillis);
    changes++;
    if (to.ended()) {
      // With the value, so that the entry of another order that has the machine stays.
      away.remove(item.machine.id(), item);
    } else {
      away.put(item.machine.id(), item);
    }
  }

  // ---- consequences of an entry ----

  /** Updates everything that follows from the time and from the command just applied. */
  private void updateAll() {
    for (InstanceState instance : instances.values()) {
      instance.fenced |= nowMillis >= fenceMillis(instance);
    }
    for (Order.Item item : List.copyOf(away.values())) {
      if (item.phase == Phase.EMPTYING && blockingInstances(item).isEmpty()) {
        move(item, Phase.OUT);
        item.dueMillis = nowMillis + item.order.request.durationMillis();
      } else if (item.phase == Phase.RETURNING && isWarm(item)) {
        move(item, Phase.DONE);
      }
    }
    for (Order order : orders.values()) {
      if (order.waiting() > 0
          && order.request.notAfterMillis() > 0
          && nowMillis - order.askedMillis > order.request.notAfterMillis()) {
        for (Order.Item item : order.items()) {
          if (item.phase == Phase.WAITING) {
            move(item, Phase.ABANDONED);
          }
        }
      }
    }
    grant();
    if (formatVersion >= FormatSupport.WANTED_BACK) {
      updateWantedBack();
    }
    for (Order order : List.copyOf(orders.values())) {
      if (order.hasEnded()) {
        orders.remove(order.id);
        ended.put(order.id, order);
        if (ended.size() > MAX_ENDED) {
          ended.remove(ended.keySet().iterator().next());
        }
      }
    }
  }

  /**
   * Marks machines that are out as wanted back while capacity is below a floor that covers them.
   * The mark only informs: only those who work on a machine know when it can be put back.
   */
  private void updateWantedBack() {
    Map<CapacityFloor, Boolean> below = new HashMap<>();
    for (Order.Item item : away.values()) {
      boolean wanted =
          item.phase == Phase.OUT
              && rules.floors().stream()
                  .anyMatch(
                      floor ->
                          floor.covers(item.machine.group())
                              && below.computeIfAbsent(floor, each -> shortfall(each) != null));
      if (wanted != item.wantedBackMillis > 0) {
        item.wantedBackMillis = wanted ? Math.max(1, nowMillis) : 0;
        changes++;
      }
    }
  }

  /** The capacity in service if it is below a floor, else null; null also without any report. */
  private SeenCapacity shortfall(CapacityFloor floor) {
    SeenCapacity seen = availableCapacity(floor);
    return seen != null && seen.weight() < floor.minShare() * listedCapacity(floor) ? seen : null;
  }

  /** When an instance is fenced unless it renews its lease; never if it goes on when cut off. */
  private long fenceMillis(InstanceState instance) {
    return instance.stopsWhenCutOff
        ? instance.renewedMillis + rules.leaseMillis() + rules.marginMillis()
        : Long.MAX_VALUE;
  }

  /**
   * The time on the log's clock at which a machine being emptied need not wait any longer for an
   * instance whose lease is not renewed; {@link Long#MAX_VALUE} if none waits for one. The machine
   * goes out with the next log entry, so an instance has to submit one then.
   */
  public long nextExpiryMillis() {
    long earliest = Long.MAX_VALUE;
    for (Order.Item item : away.values()) {
      if (item.phase == Phase.EMPTYING) {
        for (String name : blockingInstances(item)) {
          earliest = Math.min(earliest, fenceMillis(instances.get(name)));
        }
      }
    }
    return earliest;
  }

  /** The instances that may still send to a machine that is being emptied. */
  private List<String> blockingInstances(Order.Item item) {
    List<String> names = new ArrayList<>();
    String balancer = item.machine.instance();
    for (InstanceState instance : instances.values()) {
      // A balancer that is taken out reports that itself by leaving.
      if (balancer != null) {
        if (!instance.fenced && instance.name.equals(balancer)) {
          names.add(balancer);
        }
      } else if (!instance.fenced && !item.freedBy.contains(instance.name)) {
        names.add(instance.name);
      }
    }
    return names;
  }

  /**
   * Whether a returning machine is back in full service: all fresh reports, and at least one, were
   * made after its return and call it warm. For a balancer, whether it has reported since.
   */
  private boolean isWarm(Order.Item item) {
    String balancer = item.machine.instance();
    if (balancer != null) {
      InstanceState returning = instances.get(balancer);
      return returning == null
          || hasFreshReport(returning) && returning.report.index() >= item.phaseIndex;
    }
    boolean seen = false;
    for (InstanceState instance : instances.values()) {
      if (hasFreshReport(instance)) {
        if (instance.report.index() < item.phaseIndex
            || !instance.report.warm().contains(item.machine.id())) {
          return false;
        }
        seen = true;
      }
    }
    return seen;
  }

  /**
   * Grants machines in the order of turns. A machine that has to wait for capacity reserves it: no
   * order further back is granted any of it, so that the waiting machine is not starved.
   */
  private void grant() {
    List<Order> queue = new ArrayList<>();
    for (Order order : orders.values()) {
      if (order.waiting() > 0) {
        queue.add(order);
      }
    }
    queue.sort(TURN_ORDER);
    Set<Object> reserved = new HashSet<>();
    boolean outLimitReached = false;
    for (Order order : queue) {
      for (Order.Item item : order.items()) {
        if (item.phase != Phase.WAITING) {
          continue;
        }
        if (orderObstacle(order) != null) {
          break;
        }
        if (isReserved(item.machine, reserved)
            || outLimitReached && item.machine.instance() == null) {
          continue;
        }
        if (away.containsKey(item.machine.id())) {
          continue; // Held by another order, or not warm yet.
        }
        Obstacle obstacle = obstacle(item.machine);
        if (obstacle == null) {
          move(item, Phase.EMPTYING);
          round = Math.max(round, order.round);
        } else {
          reserved.add(obstacle.reserves());
          if (obstacle.reserves() == this) {
            outLimitReached = true;
          }
        }
      }
    }
  }

  private static boolean isReserved(Machine machine, Set<Object> reserved) {
    if (reserved.isEmpty()) {
      return false;
    }
    if (machine.instance() != null) {
      return reserved.contains(machine.group());
    }
    if (reserved.contains(machine.cell())) {
      return true;
    }
    for (Object each : reserved) {
      if (each instanceof CapacityFloor floor && floor.covers(machine.group())) {
        return true;
      }
    }
    return false;
  }

  /** Why no further machine of an order may go out by its own limits; null if one may. */
  private String orderObstacle(Order order) {
    if (order.held() >= order.request.atOnce()) {
      return "has "
          + order.held()
          + " machines out, "
          + order.request.atOnce()
          + " at once at most";
    }
    if (nowMillis - order.askedMillis < order.request.notBeforeMillis()) {
      return "not before "
          + (order.request.notBeforeMillis() - nowMillis + order.askedMillis)
          + " ms from now";
    }
    Order previous = orders.get(order.request.afterOrder());
    return previous != null && !previous.maintenanceEnded()
        ? "comes after order " + previous.id
        : null;
  }

  /**
   * Why a machine may not go out now, and what is reserved for it.
   *
   * @param reserves the cell, floor or group in which no order further back is granted a machine;
   *     the state object itself stands for all servers
   */
  private record Obstacle(String reason, Object reserves) {}

  /**
   * A balancer goes out only while all others are reachable and up to date with the log, and one at
   * a time: then one voter less leaves a majority, and clients have other balancers to go to.
   */
  private Obstacle balancerObstacle(Machine machine) {
    for (Order.Item item : away.values()) {
      if (item.machine.instance() != null) {
        return new Obstacle(item.machine.instance() + " is out or returning", machine.group());
      }
    }
    for (InstanceState instance : instances.values()) {
      if (!reachable(instance) && !instance.name.equals(machine.instance())) {
        return new Obstacle(instance.name + " is not reachable", machine.group());
      }
    }
    return null;
  }

  /** An instance renews its lease only while its own log is applied, so it is nearly up to date. */
  private boolean reachable(InstanceState instance) {
    return instance != null
        && !instance.fenced
        && nowMillis - instance.renewedMillis <= REACHABLE_MILLIS;
  }

  /**
   * Why the set of voters cannot be changed now; empty if it can. An entry needs more than half of
   * all voters, and an instance that does not run or lacks the log cannot acknowledge any.
   *
   * @param voters the voters after the change
   * @param joins the new voter among them, or null if a voter is removed
   * @param sinceMillis on the log's clock; the new voter must have renewed its lease after it
   */
  public String voteObstacle(Collection<String> voters, String joins, long sinceMillis) {
    InstanceState instance = joins == null ? null : instances.get(joins);
    if (joins != null && (!reachable(instance) || instance.renewedMillis <= sinceMillis)) {
      return joins + " is not reachable with an up-to-date log yet";
    }
    List<String> present = voters.stream().filter(each -> reachable(instances.get(each))).toList();
    return present.size() * 2 > voters.size()
        ? ""
        : "only "
            + present.size()
            + " of the voters "
            + String.join(", ", voters)
            + " would be reachable";
  }

  /** Why a machine may not go out now by the rules; null if it may. */
  private Obstacle obstacle(Machine machine) {
    if (machine.instance() != null) {
      return balancerObstacle(machine);
    }
    int out = 0;
    int outInCell = 0;
    for (Order.Item item : away.values()) {
      if (item.phase.held() && item.machine.instance() == null) {
        out++;
        outInCell += item.machine.cell() == machine.cell() ? 1 : 0;
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
        SeenCapacity seen = availableCapacity(floor);
        double least = floor.minShare() * listedCapacity(floor);
        if (seen == null || seen.weight() - machine.weight() < least) {
          return new Obstacle(
              seen == null
                  ? "no balancer has reported what is in service"
                  : describe(floor, seen, least),
              floor);
        }
      }
    }
    return null;
  }

  /** Whether the instance is not fenced and has reported within {@link #REPORT_TTL_MILLIS}. */
  private boolean hasFreshReport(InstanceState instance) {
    return !instance.fenced
        && instance.report != null
        && nowMillis - instance.reportedMillis <= REPORT_TTL_MILLIS;
  }

  /** The listed weight under a floor, by the instance that lists most. */
  private double listedCapacity(CapacityFloor floor) {
    double most = 0;
    for (InstanceState instance : instances.values()) {
      if (hasFreshReport(instance)) {
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

  /** The weight in service, and the instance that sees it. */
  private record SeenCapacity(double weight, String seenBy) {}

  /**
   * The capacity in service under a floor, by the instance that sees least; null without any fresh
   * report. Machines that were granted after a report are subtracted from it.
   */
  private SeenCapacity availableCapacity(CapacityFloor floor) {
    SeenCapacity least = null;
    for (InstanceState instance : instances.values()) {
      if (hasFreshReport(instance)) {
        double sum = 0;
        for (Map.Entry<ServerGroup, CapacityReport.Capacity> group :
            instance.report.groups().entrySet()) {
          sum += floor.covers(group.getKey()) ? group.getValue().available() : 0;
        }
        for (Order.Item item : away.values()) {
          boolean unseen = item.phase.held() && item.grantedAfter(instance.report.index());
          sum -= unseen && floor.covers(item.machine.group()) ? item.machine.weight() : 0;
        }
        if (least == null || sum < least.weight()) {
          least = new SeenCapacity(sum, instance.name);
        }
      }
    }
    return least;
  }

  // ---- queries ----

  /** Incremented whenever a machine changes its phase or whether it is wanted back. */
  public long changeCount() {
    return changes;
  }

  /** Index of the last applied entry. */
  public long appliedIndex() {
    return index;
  }

  /** The latest time of an applied entry, on the log's clock. */
  public long nowMillis() {
    return nowMillis;
  }

  public MaintenanceRules rules() {
    return rules;
  }

  /** The format version in force, which all instances can read; it never decreases. */
  public int formatVersion() {
    return formatVersion;
  }

  /**
   * A machine that is held by an order or returning.
   *
   * @param phaseIndex index of the log entry that moved the machine to its phase
   * @param wantedBack whether the machine is out and wanted back because capacity is below its
   *     floor
   */
  public record AwayMachine(
      long order,
      String machine,
      String address,
      Phase phase,
      long phaseIndex,
      boolean wantedBack) {}

  public List<AwayMachine> awayMachines() {
    List<AwayMachine> list = new ArrayList<>(away.size());
    for (Order.Item item : away.values()) {
      list.add(
          new AwayMachine(
              item.order.id,
              item.machine.id(),
              item.machine.address(),
              item.phase,
              item.phaseIndex,
              item.wantedBackMillis > 0));
    }
    return list;
  }

  /** Whether an incarnation of an instance has joined and has not been fenced since. */
  public boolean hasJoined(String instance, long incarnation) {
    return activeInstance(instance, incarnation) != null;
  }

  /** The latest incarnation of an instance, 0 for none. */
  public long incarnation(String instance) {
    InstanceState known = instances.get(instance);
    return known == null ? 0 : known.incarnation;
  }

  /** Whether an order requires an instance to leave or to stay away; it sends nothing meanwhile. */
  public boolean mustLeave(String instance) {
    Order.Item item = away.get(Machine.balancer(instance).id());
    return item != null && item.phase.held();
  }

  /** The ids of all orders that can be shown, the latest last. */
  public List<Long> orderIds() {
    List<Long> ids = new ArrayList<>(ended.keySet());
    ids.addAll(orders.keySet());
    return ids;
  }

  private Order find(long id) {
    Order order = orders.get(id);
    return order == null ? ended.get(id) : order;
  }

  /** The number of machines of an order by phase; null if there is no such order. */
  public Map<Phase, Integer> phaseCounts(long id) {
    Order order = find(id);
    if (order == null) {
      return null;
    }
    Map<Phase, Integer> phases = new TreeMap<>();
    for (Order.Item item : order.items()) {
      phases.merge(item.phase, 1, Integer::sum);
    }
    return phases;
  }

  /** The number of machines of an order that are wanted back. */
  public int wantedBackCount(long id) {
    Order order = find(id);
    int wanted = 0;
    for (Order.Item item : order == null ? List.<Order.Item>of() : order.items()) {
      wanted += item.wantedBackMillis > 0 ? 1 : 0;
    }
    return wanted;
  }

  /** The request of an order, or null if there is no such order. */
  public Command.Ask request(long id) {
    Order order = find(id);
    return order == null ? null : order.request;
  }

  /** One machine of an order, as it is shown to operators. */
  public record MachineStatus(
      String machine,
      Phase phase,
      long sinceMillis,
      boolean overdue,
      boolean wantedBack,
      String waitsFor) {}

  /** Up to {@code limit} machines of an order, those that have not ended first. */
  public List<MachineStatus> machineStatuses(long id, int limit) {
    List<MachineStatus> list = new ArrayList<>();
    Order order = find(id);
    Collection<Order.Item> items = order == null ? List.of() : order.items();
    for (int pass = 0; pass < 2; pass++) {
      for (Order.Item item : items) {
        if (list.size() < limit && item.phase.ended() == (pass == 1)) {
          list.add(
              new MachineStatus(
                  item.machine.id(),
                  item.phase,
                  nowMillis - (item.phaseIndex == 0 ? order.askedMillis : item.sinceMillis),
                  item.overdue(nowMillis),
                  item.wantedBackMillis > 0,
                  waitReason(item)));
        }
      }
    }
    return list;
  }

  /** Why a machine is still in its phase; empty if it waits for nothing. */
  private String waitReason(Order.Item item) {
    switch (item.phase) {
      case EMPTYING -> {
        return "calls in flight or no report from " + describeLastHeard(blockingInstances(item));
      }
      case RETURNING -> {
        return "not yet warm for every balancer";
      }
      case WAITING -> {
        String orderObstacle = orderObstacle(item.order);
        Order.Item other = away.get(item.machine.id());
        if (orderObstacle != null || other != null) {
          return orderObstacle != null
              ? orderObstacle
              : "out or returning with order " + other.order.id;
        }
        Obstacle obstacle = obstacle(item.machine);
        return obstacle == null ? "orders ahead in the queue" : obstacle.reason();
      }
      default -> {
        String wantedBack = item.wantedBackMillis > 0 ? wantedBackReason(item.machine) : "";
        return item.overdue(nowMillis)
            ? "overdue: end it with done, extend it, or look into it"
                + (wantedBack.isEmpty() ? "" : "; " + wantedBack)
            : wantedBack;
      }
    }
  }

  private String wantedBackReason(Machine machine) {
    for (CapacityFloor floor : rules.floors()) {
      SeenCapacity seen = floor.covers(machine.group()) ? shortfall(floor) : null;
      if (seen != null) {
        return "wanted back: " + describe(floor, seen, floor.minShare() * listedCapacity(floor));
      }
    }
    return "wanted back";
  }

  private static String describe(CapacityFloor floor, SeenCapacity seen, double least) {
    return String.format(
        Locale.ROOT,
        "%s: %s sees %.2f in service, %.2f must be left",
        floor,
        seen.seenBy(),
        seen.weight(),
        least);
  }

  private String describeLastHeard(List<String> names) {
    List<String> words = new ArrayList<>();
    for (String name : names) {
      long ago = nowMillis - instances.get(name).renewedMillis;
      words.add(name + " (heard " + ago + " ms ago)");
    }
    return String.join(", ", words);
  }

  /** An instance, as it is shown to operators. */
  public record InstanceStatus(
      String name,
      boolean stopsWhenCutOff,
      boolean fenced,
      long heardMillisAgo,
      int latestFormat) {}

  public List<InstanceStatus> instanceStatuses() {
    List<InstanceStatus> list = new ArrayList<>();
    for (InstanceState each : instances.values()) {
      list.add(
          new InstanceStatus(
              each.name,
              each.stopsWhenCutOff,
              each.fenced,
              nowMillis - each.renewedMillis,
              each.latestFormat));
    }
    return list;
  }

  // ---- snapshots ----

  /** The whole state as a tree, see {@link CommandCodec}. */
  public Map<String, Object> toSnapshot() {
    Map<String, Object> tree = new LinkedHashMap<>();
    tree.put("index", index);
    tree.put("now_ms", nowMillis);
    tree.put("next_order", nextOrder);
    tree.put("round", round);
    tree.put("form", formatVersion);
    tree.put("peers", peers);
    tree.put("rules", CommandCodec.encode(rules));
    List<Object> rows = new ArrayList<>();
    for (InstanceState each : instances.values()) {
      Map<String, Object> row = new LinkedHashMap<>();
      row.put("name", each.name);
      row.put("incarnation", each.incarnation);
      row.put("stops", each.stopsWhenCutOff);
      row.put("knows", each.latestFormat);
      row.put("fenced", each.fenced);
      row.put("renewed_ms", each.renewedMillis);
      row.put("reported_ms", each.reportedMillis);
      if (each.report != null) {
        row.put("report", CommandCodec.encode(each.report));
      }
      rows.add(row);
    }
    tree.put("instances", rows);
    tree.put("orders", encodeOrders(orders.values()));
    tree.put("ended", encodeOrders(ended.values()));
    return tree;
  }

  private static List<Object> encodeOrders(Collection<Order> orders) {
    List<Object> rows = new ArrayList<>();
    for (Order order : orders) {
      Map<String, Object> row = new LinkedHashMap<>();
      row.put("id", order.id);
      row.put("asked_ms", order.askedMillis);
      row.put("round", order.round);
      row.put("ask", CommandCodec.encode(order.request));
      List<Object> items = new ArrayList<>();
      for (Order.Item item : order.items()) {
        items.add(
            List.of(
                item.phase.name(),
                item.phaseIndex,
                item.sinceMillis,
                item.grantedIndex,
                item.dueMillis,
                new ArrayList<>(item.freedBy),
                item.wantedBackMillis));
      }
      row.put("places", items);
      rows.add(row);
    }
    return rows;
  }

  /** Restores the state of a snapshot. */
  public static MaintenanceState fromSnapshot(Map<?, ?> tree) {
    MaintenanceState state = new MaintenanceState();
    state.index = CommandCodec.requireLong(tree, "index");
    state.nowMillis = CommandCodec.requireLong(tree, "now_ms");
    state.nextOrder = CommandCodec.requireLong(tree, "next_order");
    state.round = CommandCodec.requireLong(tree, "round");
    state.formatVersion = (int) CommandCodec.longOrDefault(tree, "form", FormatSupport.FIRST);
    state.peers = (int) CommandCodec.longOrDefault(tree, "peers", 0);
    state.rules = CommandCodec.decodeRules(CommandCodec.requireMap(tree, "rules"));
    for (Object each : CommandCodec.requireList(tree, "instances")) {
      Map<?, ?> row = (Map<?, ?>) each;
      InstanceState instance = new InstanceState(CommandCodec.requireString(row, "name"));
      instance.incarnation = CommandCodec.requireLong(row, "incarnation");
      instance.stopsWhenCutOff = CommandCodec.requireBoolean(row, "stops");
      instance.latestFormat = (int) CommandCodec.longOrDefault(row, "knows", FormatSupport.FIRST);
      instance.fenced = CommandCodec.requireBoolean(row, "fenced");
      instance.renewedMillis = CommandCodec.requireLong(row, "renewed_ms");
      instance.reportedMillis = CommandCodec.requireLong(row, "reported_ms");
      instance.report =
          row.containsKey("report")
              ? CommandCodec.decodeReport(CommandCodec.requireMap(row, "report"))
              : null;
      state.instances.put(instance.name, instance);
    }
    state.decodeOrders(CommandCodec.requireList(tree, "orders"), state.orders);
    state.decodeOrders(CommandCodec.requireList(tree, "ended"), state.ended);
    return state;
  }

  private void decodeOrders(List<?> rows, Map<Long, Order> target) {
    for (Object each : rows) {
      Map<?, ?> row = (Map<?, ?>) each;
      Order order =
          new Order(
              CommandCodec.requireLong(row, "id"),
              CommandCodec.decodeAsk(CommandCodec.requireMap(row, "ask")),
              CommandCodec.requireLong(row, "asked_ms"),
              CommandCodec.requireLong(row, "round"));
      int next = 0;
      List<?> items = CommandCodec.requireList(row, "places");
      for (Order.Item item : order.items()) {
        List<?> fields = (List<?>) items.get(next++);
        order.move(
            item,
            Phase.valueOf((String) fields.get(0)),
            ((Number) fields.get(1)).longValue(),
            ((Number) fields.get(2)).longValue());
        item.grantedIndex = ((Number) fields.get(3)).longValue();
        item.dueMillis = ((Number) fields.get(4)).longValue();
        for (Object name : (List<?>) fields.get(5)) {
          item.freedBy.add((String) name);
        }
        item.wantedBackMillis = fields.size() > 6 ? ((Number) fields.get(6)).longValue() : 0;
        if (item.phase != Phase.WAITING && !item.phase.ended()) {
          away.put(item.machine.id(), item);
          changes++;
        }
      }
      target.put(order.id, order);
    }
  }
}
