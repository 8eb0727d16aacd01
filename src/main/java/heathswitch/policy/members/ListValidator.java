package heathswitch.policy.members;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;

/**
 * Keeps the current list of servers and judges each candidate for its place. What is unsound is
 * refused: a list that is empty, too long, names an id or an address twice or weighs a server out
 * of bounds. What is sound but would take away a whole kind, a whole zone or more than a stated
 * share of the servers is held back until a person confirms it. Single-threaded by contract.
 */
public final class ListValidator {
  /** Reasons given for one candidate; the rest are counted. */
  static final int MOST_REASONS = 12;

  /**
   * ServerStateTracker remembered for each server that a list may have; beyond, all edits are held.
   */
  static final int DEPARTURES_A_SERVER = 4;

  private ListPolicy policy;
  private final ServiceHistory history = new ServiceHistory();
  private List<ListedServer> current = List.of();
  private long version;
  private long lastNumber;
  private ListDecision.PendingConfirmation held;
  private List<ListedServer> heldList = List.of();

  public ListValidator(ListPolicy policy) {
    this.policy = policy;
  }

  /** Other rules from now on; what is held stays so until the list changes. */
  public void policy(ListPolicy next) {
    policy = next;
  }

  /** Takes up where an earlier process left off. */
  public void restore(
      long version,
      long lastNumber,
      List<ListedServer> list,
      Map<String, Long> joinedMillis,
      List<ServiceHistory.Departure> left) {
    this.version = version;
    this.lastNumber = Math.max(version, lastNumber);
    current = List.copyOf(list);
    history.restore(joinedMillis, left);
  }

  public List<ListedServer> current() {
    return current;
  }

  /** Number of the current list, or 0 where there is none yet. */
  public long version() {
    return version;
  }

  /** The greatest number that a list was given, be it taken or held back. */
  public long lastNumber() {
    return lastNumber;
  }

  /** The list that waits to be confirmed, or null. */
  public ListDecision.PendingConfirmation pending() {
    return held;
  }

  public ServiceHistory history() {
    return history;
  }

  /** Judges a candidate; if it is accepted, it is the current list when this returns. */
  public ListDecision judge(long nowMillis, List<ListEntry> candidate) {
    List<String> faults = faults(candidate);
    if (!faults.isEmpty()) {
      held = null;
      return new ListDecision.Refused(atMost(faults));
    }
    List<ListedServer> list = candidate.stream().map(ListEntry::server).toList();
    ListDiff diff = ListDiff.between(current, list);
    if (version > 0 && diff.isEmpty()) {
      held = null;
      return new ListDecision.Unchanged();
    }
    if (held != null && ListDiff.between(heldList, list).isEmpty()) {
      return held;
    }
    held = null;
    history.expire(nowMillis, policy.windowMillis());
    List<String> doubts = version == 0 ? List.of() : doubts(nowMillis, list);
    if (doubts.isEmpty()) {
      return accept(nowMillis, ++lastNumber, list, diff);
    }
    heldList = list;
    held = new ListDecision.PendingConfirmation(++lastNumber, atMost(doubts), diff);
    return held;
  }

  /** A person says that the list that is held back is meant. */
  public ListDecision confirm(long nowMillis, long number) {
    if (held == null) {
      return new ListDecision.Refused(List.of("no list is held back"));
    }
    if (held.version() != number) {
      return new ListDecision.Refused(
          List.of("the list that is held back has version " + held.version() + ", not " + number));
    }
    ListDiff diff = ListDiff.between(current, heldList);
    ListDecision accepted = accept(nowMillis, number, heldList, diff);
    history.forget();
    return accepted;
  }

  private ListDecision accept(long nowMillis, long number, List<ListedServer> list, ListDiff diff) {
    if (version > 0) {
      history.replaced(nowMillis, current, list);
    }
    held = null;
    heldList = List.of();
    current = List.copyOf(list);
    version = number;
    return new ListDecision.Accepted(number, diff);
  }

  // ---- what makes a list unsound ----

  private List<String> faults(List<ListEntry> candidate) {
    List<String> faults = new ArrayList<>();
    if (candidate.isEmpty()) {
      faults.add("the list names no server at all");
    } else if (candidate.size() > policy.mostServers()) {
      faults.add(
          "the list names "
              + candidate.size()
              + " servers; at most "
              + policy.mostServers()
              + " are allowed");
    } else if (candidate.stream().noneMatch(placed -> placed.server().inService())) {
      faults.add("no server of the list is in service");
    }
    twice(candidate, "id", ListedServer::id, faults);
    twice(candidate, "address", ListedServer::endpoint, faults);
    for (ListEntry placed : candidate) {
      double weight = placed.server().weight();
      if (!(weight >= policy.leastWeight() && weight <= policy.mostWeight())) {
        faults.add(
            placed.place()
                + ": "
                + placed.server().id()
                + " has the weight "
                + plain(weight)
                + "; one from "
                + plain(policy.leastWeight())
                + " to "
                + plain(policy.mostWeight())
                + " is expected");
      }
    }
    return faults;
  }

  private static void twice(
      List<ListEntry> candidate,
      String field,
      Function<ListedServer, String> value,
      List<String> faults) {
    Map<String, ListEntry> seen = new HashMap<>();
    for (ListEntry placed : candidate) {
      ListEntry first = seen.putIfAbsent(value.apply(placed.server()), placed);
      if (first != null) {
        faults.add(
            placed.place()
                + ": the "
                + field
                + ' '
                + value.apply(placed.server())
                + " stands a second time; it is also at "
                + first.place());
      }
    }
  }

  // ---- what a person is asked about ----

  private List<String> doubts(long nowMillis, List<ListedServer> list) {
    ServiceHistory.Base base = history.base(nowMillis, policy.windowMillis(), current);
    Set<String> processes = new HashSet<>();
    Set<String> zones = new HashSet<>();
    Set<String> kinds = new HashSet<>();
    for (ListedServer server : list) {
      if (server.inService()) {
        processes.add(server.process());
        zones.add(server.zone());
        kinds.add(server.kind());
      }
    }
    List<String> doubts = new ArrayList<>();
    for (String kind : missing(base.kinds(), kinds)) {
      doubts.add("no server of kind " + kind + " would be left in service");
    }
    for (String zone : missing(base.zones(), zones)) {
      doubts.add("no server of zone " + zone + " would be left in service");
    }
    int removed = missing(base.processes(), processes).size();
    long allowed = Math.max(1, (long) (policy.mostRemovedShare() * base.processes().size()));
    if (removed > allowed) {
      doubts.add(
          removed
              + " of "
              + base.processes().size()
              + " servers would have left service within "
              + duration(policy.windowMillis())
              + "; "
              + allowed
              + " may without being asked about");
    }
    if (history.size() > (long) DEPARTURES_A_SERVER * policy.mostServers()) {
      doubts.add("servers were replaced too often within " + duration(policy.windowMillis()));
    }
    return doubts;
  }

  private static Set<String> missing(Set<String> before, Set<String> after) {
    Set<String> missing = new TreeSet<>(before);
    missing.removeAll(after);
    return missing;
  }

  private static List<String> atMost(List<String> reasons) {
    if (reasons.size() <= MOST_REASONS) {
      return reasons;
    }
    List<String> first = new ArrayList<>(reasons.subList(0, MOST_REASONS));
    first.add("and " + (reasons.size() - MOST_REASONS) + " more");
    return first;
  }

  private static String plain(double number) {
    return number == Math.rint(number) && Math.abs(number) < 1e9
        ? Long.toString((long) number)
        : Double.toString(number);
  }

  private static String duration(long millis) {
    if (millis > 0 && millis % 60_000 == 0) {
      return millis / 60_000 + " min";
    }
    return millis % 1000 == 0 ? millis / 1000 + " s" : millis + " ms";
  }
}
