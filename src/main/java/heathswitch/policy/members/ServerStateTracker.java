package heathswitch.policy.members;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Turns accepted lists into state updates of single servers: a server that left the list is drained
 * first, and gone once its drain time is over. Holds one record for each server of the list and one
 * for each draining server. Not thread-safe; must be used from a single thread.
 */
public final class ServerStateTracker {
  /** The state reported for a server. */
  public enum State {
    READY,
    DRAINING,
    GONE
  }

  /**
   * A change of one server's state or entry.
   *
   * @param startedMillis Unix time at which its process started, or 0 if it started long ago
   */
  public record Update(ListedServer server, State state, long startedMillis) {}

  private record Listed(ListedServer server, long startedMillis) {}

  private record Draining(ListedServer server, long startedMillis, long goneMillis) {}

  private final Map<String, Listed> listed = new HashMap<>();

  /** Servers that left the list, in the order in which they left. */
  private final Map<String, Draining> draining = new LinkedHashMap<>();

  private final int maxDraining;

  /**
   * Creates a tracker without servers.
   *
   * @param maxDraining maximum number of servers that drain at a time; if there are more, those
   *     that left first are gone at once
   */
  public ServerStateTracker(int maxDraining) {
    this.maxDraining = maxDraining;
  }

  /** Sets the list at startup; its servers count as having started long ago. */
  public List<Update> initialize(List<ListedServer> list) {
    List<Update> updates = new ArrayList<>(list.size());
    for (ListedServer server : list) {
      listed.put(server.id(), new Listed(server, 0));
      updates.add(new Update(server, state(server), 0));
    }
    return updates;
  }

  /**
   * Applies a newly accepted list. A server that the list adds, or moves to another address, counts
   * as just started, so that it gets warmed up; one that comes back at its address while draining
   * keeps its start time. Added servers come before removed ones in the result, so that the pool
   * never gets smaller than both lists require.
   */
  public List<Update> apply(long nowMillis, long drainMillis, List<ListedServer> list) {
    List<Update> updates = new ArrayList<>();
    Set<String> ids = new HashSet<>();
    for (ListedServer server : list) {
      ids.add(server.id());
      Listed before = listed.get(server.id());
      if (before != null && before.server().equals(server)) {
        continue;
      }
      Draining returning = draining.remove(server.id());
      long started = nowMillis;
      if (before != null && before.server().address().equals(server.address())) {
        started = before.startedMillis();
      } else if (returning != null && returning.server().address().equals(server.address())) {
        started = returning.startedMillis();
      }
      listed.put(server.id(), new Listed(server, started));
      updates.add(new Update(server, state(server), started));
    }
    for (Iterator<Listed> each = listed.values().iterator(); each.hasNext(); ) {
      Listed entry = each.next();
      ListedServer server = entry.server();
      if (!ids.contains(server.id())) {
        each.remove();
        long goneMillis = nowMillis + drainMillis;
        draining.put(server.id(), new Draining(server, entry.startedMillis(), goneMillis));
        updates.add(new Update(server, State.DRAINING, entry.startedMillis()));
      }
    }
    Iterator<Draining> oldest = draining.values().iterator();
    while (draining.size() > maxDraining) {
      Draining server = oldest.next();
      oldest.remove();
      updates.add(new Update(server.server(), State.GONE, server.startedMillis()));
    }
    return updates;
  }

  /** Ends the draining of the servers whose drain time is over. */
  public List<Update> expire(long nowMillis) {
    List<Update> updates = new ArrayList<>();
    for (Iterator<Draining> each = draining.values().iterator(); each.hasNext(); ) {
      Draining server = each.next();
      if (server.goneMillis() <= nowMillis) {
        each.remove();
        updates.add(new Update(server.server(), State.GONE, server.startedMillis()));
      }
    }
    return updates;
  }

  /** The number of servers that have left the list and are draining. */
  public int drainingCount() {
    return draining.size();
  }

  private static State state(ListedServer server) {
    return server.inService() ? State.READY : State.DRAINING;
  }
}
