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
 * Turns accepted lists into what the balancer is told of each server: a server that left the list
 * is first drained, and gone when its time for that is over. Holds one record for each server of
 * the list and each that drains. Single-threaded by contract.
 */
public final class ServerStateTracker {
  /** What is told of a server. */
  public enum State {
    READY,
    DRAINING,
    GONE
  }

  /**
   * One thing to tell.
   *
   * @param startedMillis Unix time of the start of its process, 0 for long ago
   */
  public record Update(ListedServer server, State state, long startedMillis) {}

  private record Listed(ListedServer server, long startedMillis) {}

  private record Leaving(ListedServer server, long startedMillis, long goneMillis) {}

  private final Map<String, Listed> listed = new HashMap<>();

  /** In the order in which they left. */
  private final Map<String, Leaving> leaving = new LinkedHashMap<>();

  private final int mostLeaving;

  /** At most so many drain at a time; beyond, those that left first are gone at once. */
  public ServerStateTracker(int mostLeaving) {
    this.mostLeaving = mostLeaving;
  }

  /** The list at the start: its servers have been there for long. */
  public List<Update> begin(List<ListedServer> list) {
    List<Update> news = new ArrayList<>(list.size());
    for (ListedServer server : list) {
      listed.put(server.id(), new Listed(server, 0));
      news.add(new Update(server, state(server), 0));
    }
    return news;
  }

  /**
   * Another list has been accepted. A server that it adds, or moves to another address, has just
   * started for all that is known and is warmed up; one that comes back while it drains goes on.
   * Arrivals come first in the news, so that the pool is at no time smaller than both lists allow.
   */
  public List<Update> accept(long nowMillis, long drainMillis, List<ListedServer> list) {
    List<Update> news = new ArrayList<>();
    Set<String> ids = new HashSet<>();
    for (ListedServer server : list) {
      ids.add(server.id());
      Listed before = listed.get(server.id());
      if (before != null && before.server().equals(server)) {
        continue;
      }
      Leaving back = leaving.remove(server.id());
      long started = nowMillis;
      if (before != null && before.server().address().equals(server.address())) {
        started = before.startedMillis();
      } else if (back != null && back.server().address().equals(server.address())) {
        started = back.startedMillis();
      }
      listed.put(server.id(), new Listed(server, started));
      news.add(new Update(server, state(server), started));
    }
    for (Iterator<Listed> each = listed.values().iterator(); each.hasNext(); ) {
      Listed gone = each.next();
      ListedServer server = gone.server();
      if (!ids.contains(server.id())) {
        each.remove();
        long until = nowMillis + drainMillis;
        leaving.put(server.id(), new Leaving(server, gone.startedMillis(), until));
        news.add(new Update(server, State.DRAINING, gone.startedMillis()));
      }
    }
    Iterator<Leaving> first = leaving.values().iterator();
    while (leaving.size() > mostLeaving) {
      Leaving server = first.next();
      first.remove();
      news.add(new Update(server.server(), State.GONE, server.startedMillis()));
    }
    return news;
  }

  /** Those whose time to drain is over. */
  public List<Update> tick(long nowMillis) {
    List<Update> news = new ArrayList<>();
    for (Iterator<Leaving> each = leaving.values().iterator(); each.hasNext(); ) {
      Leaving server = each.next();
      if (server.goneMillis() <= nowMillis) {
        each.remove();
        news.add(new Update(server.server(), State.GONE, server.startedMillis()));
      }
    }
    return news;
  }

  /** Servers that drain. */
  public int leaving() {
    return leaving.size();
  }

  private static State state(ListedServer server) {
    return server.inService() ? State.READY : State.DRAINING;
  }
}
