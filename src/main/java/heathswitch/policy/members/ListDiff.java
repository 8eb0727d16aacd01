package heathswitch.policy.members;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The differences between two lists of servers. */
public record ListDiff(List<ListedServer> added, List<ListedServer> removed, List<Change> changed) {

  /** A server whose entries in the two lists differ. */
  public record Change(ListedServer before, ListedServer after) {}

  public ListDiff {
    added = List.copyOf(added);
    removed = List.copyOf(removed);
    changed = List.copyOf(changed);
  }

  /** Compares two lists by server id; the order of the entries is irrelevant. */
  public static ListDiff between(List<ListedServer> before, List<ListedServer> after) {
    Map<String, ListedServer> unmatched = new HashMap<>();
    before.forEach(server -> unmatched.put(server.id(), server));
    List<ListedServer> added = new ArrayList<>();
    List<Change> changed = new ArrayList<>();
    for (ListedServer server : after) {
      ListedServer old = unmatched.remove(server.id());
      if (old == null) {
        added.add(server);
      } else if (!old.equals(server)) {
        changed.add(new Change(old, server));
      }
    }
    List<ListedServer> removed = new ArrayList<>();
    for (ListedServer server : before) {
      if (unmatched.containsKey(server.id())) {
        removed.add(server);
      }
    }
    return new ListDiff(added, removed, changed);
  }

  public boolean isEmpty() {
    return added.isEmpty() && removed.isEmpty() && changed.isEmpty();
  }
}
