package heathswitch.policy.members;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Which processes were in service at the start of the window, so that many small edits count as the
 * one large edit that they add up to. Holds one record for each process in service and one for each
 * that left within the window; both end with the list and with the window.
 */
public final class ServiceHistory {
  /** A process that left service, in Unix milliseconds. */
  public record Departure(
      String process, String zone, String kind, long joinedMillis, long leftMillis) {}

  /** Processes that joined; those that are in service and absent here did so before any window. */
  private final Map<String, Long> joined = new HashMap<>();

  private final Map<String, Departure> departures = new HashMap<>();

  /** Takes up a record that was kept; what is negative or out of order does no harm. */
  public void restore(Map<String, Long> joinedMillis, List<Departure> left) {
    joined.putAll(joinedMillis);
    left.forEach(departure -> departures.put(departure.process(), departure));
  }

  /** When each process joined, of those that joined within the window. */
  public Map<String, Long> joined() {
    return Map.copyOf(joined);
  }

  public List<Departure> departures() {
    return List.copyOf(departures.values());
  }

  int size() {
    return departures.size();
  }

  /** Everything in service counts as having been so for ever: a person has agreed to it. */
  void forget() {
    joined.clear();
    departures.clear();
  }

  /** Ends the records that no window reaches any more. */
  void expire(long nowMillis, long windowMillis) {
    long start = nowMillis - windowMillis;
    joined.values().removeIf(at -> at <= start);
    departures.values().removeIf(departure -> departure.leftMillis() <= start);
  }

  /**
   * Processes in service at the window's start: those that are still here, then those that left.
   */
  Base base(long nowMillis, long windowMillis, List<ListedServer> current) {
    long start = nowMillis - windowMillis;
    Set<String> processes = new HashSet<>();
    Set<String> zones = new HashSet<>();
    Set<String> kinds = new HashSet<>();
    for (ListedServer server : current) {
      if (server.inService()) {
        // Zones and kinds count however young they are: the last server of one may not go unasked.
        zones.add(server.zone());
        kinds.add(server.kind());
        if (joined.getOrDefault(server.process(), Long.MIN_VALUE) <= start) {
          processes.add(server.process());
        }
      }
    }
    for (Departure departure : departures.values()) {
      if (departure.joinedMillis() <= start) {
        processes.add(departure.process());
        zones.add(departure.zone());
        kinds.add(departure.kind());
      }
    }
    return new Base(processes, zones, kinds);
  }

  /** What was in service at the window's start. */
  record Base(Set<String> processes, Set<String> zones, Set<String> kinds) {}

  /** The current list becomes another. */
  void replaced(long nowMillis, List<ListedServer> before, List<ListedServer> after) {
    Set<String> now = new HashSet<>();
    for (ListedServer server : after) {
      if (server.inService()) {
        now.add(server.process());
      }
    }
    Set<String> then = new HashSet<>();
    for (ListedServer server : before) {
      if (server.inService()) {
        then.add(server.process());
        if (!now.contains(server.process())) {
          Long since = joined.remove(server.process());
          departures.put(
              server.process(),
              new Departure(
                  server.process(),
                  server.zone(),
                  server.kind(),
                  since == null ? 0 : since,
                  nowMillis));
        }
      }
    }
    for (String process : now) {
      if (!then.contains(process)) {
        // A process that comes back counts as never having left.
        Departure left = departures.remove(process);
        if (left == null) {
          joined.put(process, nowMillis);
        } else if (left.joinedMillis() > 0) {
          joined.put(process, left.joinedMillis());
        }
      }
    }
  }
}
