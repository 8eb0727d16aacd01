package heathswitch.proxy.subsetting;

import heathswitch.policy.api.Health;
import heathswitch.policy.api.ListUpdate;
import heathswitch.policy.api.SubsetRole;
import heathswitch.policy.subsetting.FleetSnapshot;
import heathswitch.proxy.dispatch.Dispatcher;
import heathswitch.proxy.dispatch.Member;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Lays over the lists which servers are this balancer's own, and what goes to each of them against
 * the others. On the loop alone.
 */
final class SubsetOverlay implements Dispatcher.Overlay {
  /** A weight that is so little another one is told with the next that is. */
  private static final double CHANGE = 0.05;

  /** As they are listed below this; as long as the list. */
  private final Map<String, Member> listed = new LinkedHashMap<>();

  /** What was told of each. */
  private final Map<String, Member> told = new LinkedHashMap<>();

  /** The part of the calls for each server, together 1; null for all servers alike. */
  private Map<String, Double> uses;

  @Override
  public List<Member> apply(ListUpdate form, List<Member> entries) {
    if (form.isFull()) {
      listed.clear();
      told.clear();
    }
    List<Member> laidOver = new ArrayList<>(entries.size());
    for (Member entry : entries) {
      Member now = standing(entry);
      if (entry.health() == Health.GONE) {
        listed.remove(entry.id());
        told.remove(entry.id());
      } else {
        listed.put(entry.id(), entry);
        told.put(entry.id(), now);
      }
      laidOver.add(now);
    }
    return laidOver;
  }

  private Member standing(Member entry) {
    if (uses == null || entry.health() == Health.GONE) {
      return entry;
    }
    Double part = uses.get(entry.id());
    // Weights of its own are 1 on the mean, like those of others as lists state them.
    return part == null
        ? entry.withPart(SubsetRole.SPARE, entry.weight())
        : entry.withPart(SubsetRole.OWN, Math.max(1e-6, part * uses.size()));
  }

  /** Takes what is used from now on and tells the dispatcher of whatever that changes. */
  void update(Map<String, Double> now, Dispatcher dispatcher) {
    uses = now;
    List<Member> changed = new ArrayList<>();
    for (Member entry : listed.values()) {
      Member then = told.get(entry.id());
      Member next = standing(entry);
      double more = Math.abs(next.weight() - then.weight());
      if (next.part() != then.part() || more > CHANGE * then.weight()) {
        told.put(entry.id(), next);
        changed.add(next);
      }
    }
    if (!changed.isEmpty()) {
      dispatcher.onOverlayChanged(this, changed);
    }
  }

  /** The servers that are in service by the lists; ill ones among them, as each sees others ill. */
  List<FleetSnapshot.Server> servers() {
    List<FleetSnapshot.Server> servers = new ArrayList<>();
    for (Member entry : listed.values()) {
      if (entry.health() == Health.READY) {
        double weight = entry.weight() > 0 && entry.weight() < 1e9 ? entry.weight() : 1;
        String zone = entry.zone() == null ? "" : entry.zone();
        servers.add(new FleetSnapshot.Server(entry.id(), zone, entry.cell(), weight));
      }
    }
    return servers;
  }

  /** The part of the calls for each server, or null. */
  Map<String, Double> uses() {
    return uses;
  }
}
