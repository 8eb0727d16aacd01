package heathswitch.policy.rotation;

import heathswitch.policy.api.Health;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** The marks that are in force, and what a listing means under them. */
public final class Rotation {
  /**
   * What discovery has to tell counts as told after so long. An upstream that was put back is held
   * to be cold until then, unless its start is known: it was restarted while it was out.
   */
  public static final long DISCOVERY_LAG_MILLIS = 6500;

  /** Marks that are held at most; operators take out a few at a time. */
  public static final int MAX_SUSPENSIONS = 4096;

  /**
   * What a listed upstream counts for.
   *
   * @param startedMillis Unix time of its last start as it is to be believed
   */
  public record EffectiveState(Health health, long startedMillis) {}

  private Map<String, Suspension> suspensions = Map.of();

  /** The ids that are held to be cold for want of news. */
  private final Set<String> presumedRestarted = new HashSet<>();

  /**
   * Takes the marks as they are now.
   *
   * @return the ids whose standing may have changed, by these marks or by the time that has passed
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
    presumedRestarted.removeAll(
        changed); // Told now; one that is no longer listed has no standing again.
    suspensions = new HashMap<>(current);
    return changed;
  }

  /** The mark of an upstream, or null. */
  public Suspension suspension(String id) {
    return suspensions.get(id);
  }

  /** How many are held to be cold for want of news. */
  int presumedCount() {
    return presumedRestarted.size();
  }

  /** How many are out. */
  public int suspendedCount() {
    return (int) suspensions.values().stream().filter(Suspension::isSuspended).count();
  }

  /** What an upstream counts for that discovery lists so. */
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
