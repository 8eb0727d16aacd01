package heathswitch.proxy.operations;

import heathswitch.policy.api.Health;
import heathswitch.policy.api.ListUpdate;
import heathswitch.policy.rotation.Rotation;
import heathswitch.policy.rotation.Suspension;
import heathswitch.proxy.dispatch.Dispatcher;
import heathswitch.proxy.dispatch.Member;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Applies the suspensions of operators to the lists from discovery: a suspended upstream counts as
 * draining, whatever discovery says. Used on the event loop only.
 */
final class SuspensionOverlay implements Dispatcher.Overlay {
  private final Rotation rotation = new Rotation();

  /** Unix time that advances monotonically even if the system clock is changed. */
  private final LongSupplier clockMillis;

  /** The upstreams as discovery listed them last; no larger than its list. */
  private final Map<String, Member> listed = new HashMap<>();

  SuspensionOverlay(LongSupplier clockMillis) {
    this.clockMillis = clockMillis;
  }

  @Override
  public List<Member> apply(ListUpdate form, List<Member> entries) {
    if (form.isFull()) {
      listed.clear();
    }
    long now = clockMillis.getAsLong();
    List<Member> result = new ArrayList<>(entries.size());
    for (Member entry : entries) {
      if (entry.health() == Health.GONE) {
        listed.remove(entry.id());
      } else {
        listed.put(entry.id(), entry);
      }
      result.add(applySuspension(entry, now));
    }
    return result;
  }

  private Member applySuspension(Member entry, long nowMillis) {
    Rotation.EffectiveState state =
        rotation.effectiveState(entry.id(), entry.health(), entry.startedMillis(), nowMillis);
    return entry.withHealth(state.health(), state.startedMillis());
  }

  /** Replaces the suspensions and reports the upstreams that change to the dispatcher. */
  void update(Map<String, Suspension> suspensions, Dispatcher dispatcher) {
    long now = clockMillis.getAsLong();
    List<Member> changed = new ArrayList<>();
    for (String id : rotation.update(suspensions, now)) {
      Member entry = listed.get(id);
      if (entry != null) {
        changed.add(applySuspension(entry, now));
      }
    }
    if (!changed.isEmpty()) {
      dispatcher.onOverlayChanged(this, changed);
    }
  }

  /** Whether an upstream is listed, or has a suspension although it is no longer listed. */
  boolean isKnown(String id) {
    return Suspension.isValidId(id) && (listed.containsKey(id) || rotation.suspension(id) != null);
  }

  int listedCount() {
    return listed.size();
  }

  int suspendedCount() {
    return rotation.suspendedCount();
  }
}
