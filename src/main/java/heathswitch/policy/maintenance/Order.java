package heathswitch.policy.maintenance;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** One request for machines, and where each of them stands. */
final class Order {
  /** One machine of an order. */
  static final class Place {
    final Order order;
    final Machine machine;
    Phase phase = Phase.WAITING;
    long sinceMillis;

    /** The entry with which it came into its phase. */
    long index;

    /** The entry that granted it. */
    long grantedIndex;

    /** When its work should have ended. */
    long dueMillis;

    /** Since when it is wanted back, as capacity is under its floor; 0 where it is not. */
    long wantedMillis;

    /** The instances that have let go of it. */
    final Set<String> freed = new TreeSet<>();

    Place(Order order, Machine machine) {
      this.order = order;
      this.machine = machine;
    }

    /** Whether whoever had taken only the entries up to that one saw it in service. */
    boolean grantedAfter(long seen) {
      return grantedIndex > seen;
    }

    boolean overdue(long nowMillis) {
      return phase == Phase.OUT && nowMillis > dueMillis;
    }
  }

  final long id;
  final Command.Ask ask;
  final long askedMillis;

  /** Its turn: each of those who ask has one order in a round. */
  final long round;

  private final Map<String, Place> places = new LinkedHashMap<>();
  private int waiting;
  private int held;
  private int ended;

  Order(long id, Command.Ask ask, long askedMillis, long round) {
    this.id = id;
    this.ask = ask;
    this.askedMillis = askedMillis;
    this.round = round;
    for (Machine machine : ask.machines()) {
      places.put(machine.id(), new Place(this, machine));
    }
    waiting = places.size();
  }

  Collection<Place> places() {
    return places.values();
  }

  Place place(String machine) {
    return places.get(machine);
  }

  int waiting() {
    return waiting;
  }

  int held() {
    return held;
  }

  boolean over() {
    return ended == places.size();
  }

  /** Whether nobody works on its machines any more and none will go. */
  boolean doneWith() {
    return waiting == 0 && held == 0;
  }

  void move(Place place, Phase to, long index, long nowMillis) {
    waiting -= place.phase == Phase.WAITING ? 1 : 0;
    held -= place.phase.held() ? 1 : 0;
    if (to == Phase.EMPTYING) {
      place.grantedIndex = index;
    }
    place.phase = to;
    place.index = index;
    place.sinceMillis = nowMillis;
    place.wantedMillis = 0;
    waiting += to == Phase.WAITING ? 1 : 0;
    held += to.held() ? 1 : 0;
    ended += to.ended() ? 1 : 0;
  }
}
