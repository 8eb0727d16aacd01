package heathswitch.policy.rotation;

import heathswitch.policy.api.Health;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** The suspensions in force, and the state of listed upstreams under them. */
public final class Rotation {
  /**
   * Time after which discovery counts as having reported a change. An upstream that was put back is
   * presumed to have restarted while it was out, and so to be cold, until then or until its start
   * is reported.
   */
  public static final long DISCOVERY_LAG_MILLIS = 6500;

  /** Most suspensions that are kept; operators suspend a few upstreams at a time. */
  public static final int MAX_SUSPENSIONS = 4096;

  /**
   * The state of a listed upstream under the suspensions.
   *
   * @param startedMillis reported or presumed Unix time of its last start
   */
  public record EffectiveState(Health health, long startedMillis) {}

  private Map<String, Suspension> suspensions = Map.of();

  /** Ids of the upstreams that are presumed to have restarted. */
  private final Set<String> presumedRestarted = new HashSet<>();

  /**
   * Replaces the suspensions.
   *
   * @return ids of the upstreams whose state may have changed, by a suspension or by the passage of
   *     time
   */
  public Set<String> update(Map<String, Suspension> current, long nowMillis) {
    Set<String> changed = new HashSet<>();
    for (Suspension suspension : current.values()) {
      if (!suspension.equals(suspensions.get(suspension.id()))) {
        changed.add(suspension.id());
      }
    }
    for (String id : suspensions.keySet()) {
      if (!current.containsKey(id)) {
        changed.add(id);
      }
    }
    for (String id : presumedRestarted) {
      if (!current.containsKey(id) || current.get(id).isObsolete(nowMillis)) {
        changed.add(id);
      }
    }
    // Reported by this call. An upstream that is no longer listed is not asked for again.
    presumedRestarted.removeAll(changed);
    suspensions = new HashMap<>(current);
    return changed;
  }

  /** The suspension of an upstream, or null. */
  public Suspension suspension(String id) {
    return suspensions.get(id);
  }

  /** Number of upstreams that are presumed to have restarted. */
  int presumedCount() {
    return presumedRestarted.size();
  }

  /** Number of upstreams that are out of rotation. */
  public int suspendedCount() {
    return (int) suspensions.values().stream().filter(Suspension::isSuspended).count();
  }

  /** The state of an upstream that discovery lists with this health and start. */
  public EffectiveState effectiveState(
      String id, Health listedHealth, long startedMillis, long nowMillis) {
    presumedRestarted.remove(id);
    Suspension suspension = suspensions.get(id);
    if (suspension == null || listedHealth == Health.GONE) {
      return new EffectiveState(listedHealth, startedMillis);
    }
    if (suspension.isSuspended()) {
      return new EffectiveState(Health.DRAINING, startedMillis);
    }
    if (startedMillis > suspension.suspendedMillis() || suspension.isObsolete(nowMillis)) {
      return new EffectiveState(listedHealth, startedMillis);
    }
    presumedRestarted.add(id);
    return new EffectiveState(listedHealth, suspension.resumedMillis());
  }
}
