package heathswitch.policy.members;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Records when processes joined and left service, to find out which ones were in service at the
 * start of the window; with this, many small edits count as the one large edit that they add up to.
 * Holds one record for each process that joined, and one for each that left, within the window, so
 * its size is bounded by the list and by the window.
 */
public final class ServiceHistory {
  /** A process that left service; times in Unix milliseconds. */
  public record Departure(
      String process, String zone, String kind, long joinedMillis, long leftMillis) {}

  /** Join times; a process in service that has no entry joined before any possible window. */
  private final Map<String, Long> joinedMillis = new HashMap<>();

  private final Map<String, Departure> departures = new HashMap<>();

  /** Restores saved records; negative times and times out of order do no harm. */
  public void restore(Map<String, Long> savedJoinedMillis, List<Departure> savedDepartures) {
    joinedMillis.putAll(savedJoinedMillis);
    savedDepartures.forEach(departure -> departures.put(departure.process(), departure));
  }

  /** The join time of each process that joined within the window. */
  public Map<String, Long> joinedMillis() {
    return Map.copyOf(joinedMillis);
  }

  public List<Departure> departures() {
    return List.copyOf(departures.values());
  }

  int departureCount() {
    return departures.size();
  }

  /**
   * Clears all records, so that everything in service counts as having always been so; done when an
   * operator has confirmed the list.
   */
  void clear() {
    joinedMillis.clear();
    departures.clear();
  }

  /** Removes the records from before the window. */
  void expire(long nowMillis, long windowMillis) {
    long start = nowMillis - windowMillis;
    joinedMillis.values().removeIf(at -> at <= start);
    departures.values().removeIf(departure -> departure.leftMillis() <= start);
  }

  /**
   * Returns what was in service at the start of the window: the processes that still are, and those
   * that have left since.
   */
  Baseline baseline(long nowMillis, long windowMillis, List<ListedServer> current) {
    long start = nowMillis - windowMillis;
    Set<String> processes = new HashSet<>();
    Set<String> zones = new HashSet<>();
    Set<String> kinds = new HashSet<>();
    for (ListedServer server : current) {
      if (server.inService()) {
        // Zones and kinds count even if they joined within the window: removing the last server of
        // one always needs confirmation.
        zones.add(server.zone());
        kinds.add(server.kind());
        if (joinedMillis.getOrDefault(server.processKey(), Long.MIN_VALUE) <= start) {
          processes.add(server.processKey());
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
    return new Baseline(processes, zones, kinds);
  }

  /** The processes, zones and kinds that a new list is compared with. */
  record Baseline(Set<String> processes, Set<String> zones, Set<String> kinds) {}

  /** Records the processes that join and leave when one list replaces another. */
  void recordReplacement(long nowMillis, List<ListedServer> before, List<ListedServer> after) {
    Set<String> afterProcesses = new HashSet<>();
    for (ListedServer server : after) {
      if (server.inService()) {
        afterProcesses.add(server.processKey());
      }
    }
    Set<String> beforeProcesses = new HashSet<>();
    for (ListedServer server : before) {
      if (server.inService()) {
        beforeProcesses.add(server.processKey());
        if (!afterProcesses.contains(server.processKey())) {
          Long joined = joinedMillis.remove(server.processKey());
          departures.put(
              server.processKey(),
              new Departure(
                  server.processKey(),
                  server.zone(),
                  server.kind(),
                  joined == null ? 0 : joined,
                  nowMillis));
        }
      }
    }
    for (String process : afterProcesses) {
      if (!beforeProcesses.contains(process)) {
        // A process that comes back within the window counts as never having left.
        Departure departure = departures.remove(process);
        if (departure == null) {
          joinedMillis.put(process, nowMillis);
        } else if (departure.joinedMillis() > 0) {
          joinedMillis.put(process, departure.joinedMillis());
        }
      }
    }
  }
}
