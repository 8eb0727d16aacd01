package heathswitch.policy.maintenance;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** A request for machines and the phase of each of them. */
final class Order {
  /** One machine of an order. */
  static final class Item {
    final Order order;
    final Machine machine;
    Phase phase = Phase.WAITING;
    long sinceMillis;

    /** Index of the log entry that moved the machine to its phase. */
    long phaseIndex;

    /** Index of the log entry that granted the machine. */
    long grantedIndex;

    /** When its maintenance should have ended. */
    long dueMillis;

    /**
     * Since when the machine is wanted back because capacity is below its floor; 0 if it is not.
     */
    long wantedBackMillis;

    /** The instances that send nothing to the machine any more. */
    final Set<String> freedBy = new TreeSet<>();

    Item(Order order, Machine machine) {
      this.order = order;
      this.machine = machine;
    }

    /**
     * Whether the grant came after a log index, so that an instance that has applied the log only
     * up to there still sees the machine in service.
     */
    boolean grantedAfter(long index) {
      return grantedIndex > index;
    }

    boolean overdue(long nowMillis) {
      return phase == Phase.OUT && nowMillis > dueMillis;
    }
  }

  final long id;
  final Command.Ask request;
  final long askedMillis;

  /** Round of the fair queue; each requester has one order in a round. */
  final long round;

  private final Map<String, Item> items = new LinkedHashMap<>();
  private int waiting;
  private int held;
  private int ended;

  Order(long id, Command.Ask request, long askedMillis, long round) {
    this.id = id;
    this.request = request;
    this.askedMillis = askedMillis;
    this.round = round;
    for (Machine machine : request.machines()) {
      items.put(machine.id(), new Item(this, machine));
    }
    waiting = items.size();
  }

  Collection<Item> items() {
    return items.values();
  }

  Item item(String machine) {
    return items.get(machine);
  }

  int waiting() {
    return waiting;
  }

  int held() {
    return held;
  }

  /** Whether all machines have reached a final phase. */
  boolean hasEnded() {
    return ended == items.size();
  }

  /** Whether the order holds no machine and none waits; machines may still be returning. */
  boolean maintenanceEnded() {
    return waiting == 0 && held == 0;
  }

  void move(Item item, Phase to, long index, long nowMillis) {
    waiting -= item.phase == Phase.WAITING ? 1 : 0;
    held -= item.phase.held() ? 1 : 0;
    if (to == Phase.EMPTYING) {
      item.grantedIndex = index;
    }
    item.phase = to;
    item.phaseIndex = index;
    item.sinceMillis = nowMillis;
    item.wantedBackMillis = 0;
    waiting += to == Phase.WAITING ? 1 : 0;
    held += to.held() ? 1 : 0;
    ended += to.ended() ? 1 : 0;
  }
}
