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
 * Holds the current list of servers and validates each candidate to replace it. Invalid candidates
 * are refused: an empty or too long list, one without a server in service, with a duplicate id or
 * address, or with a weight out of bounds. A valid candidate that would remove all servers of a
 * kind or of a zone, or more than a configured share of the servers, is held back until an operator
 * confirms it. Not thread-safe; must be used from a single thread.
 */
public final class ListValidator {
  /** Maximum number of reasons listed for one candidate; the others are only counted. */
  static final int MAX_REASONS = 12;

  /**
   * Departures remembered per allowed server of a list; if there are more, every edit needs
   * confirmation.
   */
  static final int DEPARTURES_PER_SERVER = 4;

  private ListPolicy policy;
  private final ServiceHistory history = new ServiceHistory();
  private List<ListedServer> current = List.of();
  private long version;
  private long lastAssignedVersion;
  private ListDecision.PendingConfirmation pending;
  private List<ListedServer> pendingList = List.of();

  public ListValidator(ListPolicy policy) {
    this.policy = policy;
  }

  /** Replaces the policy; a list that is held back stays so until the candidate changes. */
  public void setPolicy(ListPolicy next) {
    policy = next;
  }

  /** Restores the state that an earlier process saved. */
  public void restore(
      long version,
      long lastAssignedVersion,
      List<ListedServer> list,
      Map<String, Long> joinedMillis,
      List<ServiceHistory.Departure> departures) {
    this.version = version;
    this.lastAssignedVersion = Math.max(version, lastAssignedVersion);
    current = List.copyOf(list);
    history.restore(joinedMillis, departures);
  }

  public List<ListedServer> current() {
    return current;
  }

  /** The version of the current list, or 0 if there is none yet. */
  public long version() {
    return version;
  }

  /** The highest version assigned to a list so far, whether accepted or held back. */
  public long lastAssignedVersion() {
    return lastAssignedVersion;
  }

  /** The list that is held back until confirmed, or null. */
  public ListDecision.PendingConfirmation pending() {
    return pending;
  }

  public ServiceHistory history() {
    return history;
  }

  /** Validates a candidate, and makes it the current list if it is accepted. */
  public ListDecision submit(long nowMillis, List<ListEntry> candidate) {
    List<String> errors = errors(candidate);
    if (!errors.isEmpty()) {
      pending = null;
      return new ListDecision.Refused(truncate(errors));
    }
    List<ListedServer> list = candidate.stream().map(ListEntry::server).toList();
    ListDiff diff = ListDiff.between(current, list);
    if (version > 0 && diff.isEmpty()) {
      pending = null;
      return new ListDecision.Unchanged();
    }
    if (pending != null && ListDiff.between(pendingList, list).isEmpty()) {
      return pending;
    }
    pending = null;
    history.expire(nowMillis, policy.windowMillis());
    List<String> concerns = version == 0 ? List.of() : concerns(nowMillis, list);
    if (concerns.isEmpty()) {
      return accept(nowMillis, ++lastAssignedVersion, list, diff);
    }
    pendingList = list;
    pending = new ListDecision.PendingConfirmation(++lastAssignedVersion, truncate(concerns), diff);
    return pending;
  }

  /** Accepts the list that is held back, on behalf of an operator. */
  public ListDecision confirm(long nowMillis, long expectedVersion) {
    if (pending == null) {
      return new ListDecision.Refused(List.of("no list is held back"));
    }
    if (pending.version() != expectedVersion) {
      return new ListDecision.Refused(
          List.of(
              "the list that is held back has version "
                  + pending.version()
                  + ", not "
                  + expectedVersion));
    }
    ListDiff diff = ListDiff.between(current, pendingList);
    ListDecision accepted = accept(nowMillis, expectedVersion, pendingList, diff);
    history.clear();
    return accepted;
  }

  private ListDecision accept(
      long nowMillis, long newVersion, List<ListedServer> list, ListDiff diff) {
    if (version > 0) {
      history.recordReplacement(nowMillis, current, list);
    }
    pending = null;
    pendingList = List.of();
    current = List.copyOf(list);
    version = newVersion;
    return new ListDecision.Accepted(newVersion, diff);
  }

  // ---- validation errors ----

  private List<String> errors(List<ListEntry> candidate) {
    List<String> errors = new ArrayList<>();
    if (candidate.isEmpty()) {
      errors.add("the list contains no servers");
    } else if (candidate.size() > policy.maxServers()) {
      errors.add(
          "the list contains "
              + candidate.size()
              + " servers; at most "
              + policy.maxServers()
              + " are allowed");
    } else if (candidate.stream().noneMatch(entry -> entry.server().inService())) {
      errors.add("no server of the list is in service");
    }
    checkUnique(candidate, "id", ListedServer::id, errors);
    checkUnique(candidate, "address", ListedServer::endpoint, errors);
    for (ListEntry entry : candidate) {
      double weight = entry.server().weight();
      if (!(weight >= policy.minWeight() && weight <= policy.maxWeight())) {
        errors.add(
            entry.location()
                + ": "
                + entry.server().id()
                + " has weight "
                + formatNumber(weight)
                + "; a weight from "
                + formatNumber(policy.minWeight())
                + " to "
                + formatNumber(policy.maxWeight())
                + " is expected");
      }
    }
    return errors;
  }

  private static void checkUnique(
      List<ListEntry> candidate,
      String field,
      Function<ListedServer, String> value,
      List<String> errors) {
    Map<String, ListEntry> seen = new HashMap<>();
    for (ListEntry entry : candidate) {
      ListEntry first = seen.putIfAbsent(value.apply(entry.server()), entry);
      if (first != null) {
        errors.add(
            entry.location()
                + ": duplicate "
                + field
                + ' '
                + value.apply(entry.server())
                + "; first used at "
                + first.location());
      }
    }
  }

  // ---- reasons to require confirmation ----

  private List<String> concerns(long nowMillis, List<ListedServer> list) {
    ServiceHistory.Baseline baseline = history.baseline(nowMillis, policy.windowMillis(), current);
    Set<String> processes = new HashSet<>();
    Set<String> zones = new HashSet<>();
    Set<String> kinds = new HashSet<>();
    for (ListedServer server : list) {
      if (server.inService()) {
        processes.add(server.processKey());
        zones.add(server.zone());
        kinds.add(server.kind());
      }
    }
    List<String> concerns = new ArrayList<>();
    for (String kind : missing(baseline.kinds(), kinds)) {
      concerns.add("no server of kind " + kind + " would be left in service");
    }
    for (String zone : missing(baseline.zones(), zones)) {
      concerns.add("no server of zone " + zone + " would be left in service");
    }
    int removed = missing(baseline.processes(), processes).size();
    long allowed = Math.max(1, (long) (policy.maxRemovedShare() * baseline.processes().size()));
    if (removed > allowed) {
      concerns.add(
          removed
              + " of "
              + baseline.processes().size()
              + " servers would have left service within "
              + formatDuration(policy.windowMillis())
              + "; at most "
              + allowed
              + " may without confirmation");
    }
    if (history.departureCount() > (long) DEPARTURES_PER_SERVER * policy.maxServers()) {
      concerns.add(
          "servers were replaced too often within " + formatDuration(policy.windowMillis()));
    }
    return concerns;
  }

  private static Set<String> missing(Set<String> before, Set<String> after) {
    Set<String> missing = new TreeSet<>(before);
    missing.removeAll(after);
    return missing;
  }

  private static List<String> truncate(List<String> reasons) {
    if (reasons.size() <= MAX_REASONS) {
      return reasons;
    }
    List<String> first = new ArrayList<>(reasons.subList(0, MAX_REASONS));
    first.add("and " + (reasons.size() - MAX_REASONS) + " more");
    return first;
  }

  private static String formatNumber(double number) {
    return number == Math.rint(number) && Math.abs(number) < 1e9
        ? Long.toString((long) number)
        : Double.toString(number);
  }

  private static String formatDuration(long millis) {
    if (millis > 0 && millis % 60_000 == 0) {
      return millis / 60_000 + " min";
    }
    return millis % 1000 == 0 ? millis / 1000 + " s" : millis + " ms";
  }
}
