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
 * Overlay over the server lists: marks which servers are in this balancer's subset and sets their
 * weights within it. Confined to the event loop.
 */
final class SubsetOverlay implements Dispatcher.Overlay {
  /** Relative change of a weight since it was last published above which it is published again. */
  private static final double MIN_WEIGHT_CHANGE = 0.05;

  /** Members as the underlying list has them, by server id; as long as the list. */
  private final Map<String, Member> listed = new LinkedHashMap<>();

  /** Members as they were last published, by server id. */
  private final Map<String, Member> published = new LinkedHashMap<>();

  /** Share of the calls for each server, sum 1; null if all servers are used alike. */
  private Map<String, Double> shares;

  @Override
  public List<Member> apply(ListUpdate form, List<Member> entries) {
    if (form.isFull()) {
      listed.clear();
      published.clear();
    }
    List<Member> result = new ArrayList<>(entries.size());
    for (Member entry : entries) {
      Member overlaid = overlaid(entry);
      if (entry.health() == Health.GONE) {
        listed.remove(entry.id());
        published.remove(entry.id());
      } else {
        listed.put(entry.id(), entry);
        published.put(entry.id(), overlaid);
      }
      result.add(overlaid);
    }
    return result;
  }

  private Member overlaid(Member entry) {
    if (shares == null || entry.health() == Health.GONE) {
      return entry;
    }
    Double share = shares.get(entry.id());
    // Weights within the subset have a mean of 1, like the weights that lists state.
    return share == null
        ? entry.withPart(SubsetRole.SPARE, entry.weight())
        : entry.withPart(SubsetRole.OWN, Math.max(1e-6, share * shares.size()));
  }

  /** Sets the shares and publishes the members that change by it to the dispatcher. */
  void update(Map<String, Double> newShares, Dispatcher dispatcher) {
    shares = newShares;
    List<Member> changed = new ArrayList<>();
    for (Member entry : listed.values()) {
      Member previous = published.get(entry.id());
      Member next = overlaid(entry);
      double difference = Math.abs(next.weight() - previous.weight());
      if (next.part() != previous.part() || difference > MIN_WEIGHT_CHANGE * previous.weight()) {
        published.put(entry.id(), next);
        changed.add(next);
      }
    }
    if (!changed.isEmpty()) {
      dispatcher.onOverlayChanged(this, changed);
    }
  }

  /**
   * The servers that are in service according to the lists. Unhealthy ones are included, because
   * balancers differ in which servers they find unhealthy.
   */
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

  /** Share of the calls for each server; null if all servers are used alike. */
  Map<String, Double> shares() {
    return shares;
  }
}
