package heathswitch.proxy.operations;

import heathswitch.policy.api.Health;
import heathswitch.policy.api.ListForm;
import heathswitch.policy.rotation.Mark;
import heathswitch.policy.rotation.Rotation;
import heathswitch.proxy.dispatch.Dispatcher;
import heathswitch.proxy.dispatch.Member;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Applies the marks of operators to the lists from discovery: a suspended upstream counts as
 * draining, whatever discovery says. Used on the event loop only.
 */
final class MarkOverlay implements Dispatcher.Overlay {
  private final Rotation rotation = new Rotation();

  /** Unix time that advances monotonically even if the system clock is changed. */
  private final LongSupplier clockMillis;

  /** The upstreams as discovery listed them last; no larger than its list. */
  private final Map<String, Member> listed = new HashMap<>();

  MarkOverlay(LongSupplier clockMillis) {
    this.clockMillis = clockMillis;
  }

  @Override
  public List<Member> over(ListForm form, List<Member> entries) {
    if (form.whole()) {
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
      result.add(applyMark(entry, now));
    }
    return result;
  }

  private Member applyMark(Member entry, long nowMillis) {
    Rotation.Standing standing =
        rotation.standing(entry.id(), entry.health(), entry.startedMillis(), nowMillis);
    return entry.with(standing.health(), standing.startedMillis());
  }

  /** Replaces the marks and reports the upstreams that change to the dispatcher. */
  void update(Map<String, Mark> marks, Dispatcher dispatcher) {
    long now = clockMillis.getAsLong();
    List<Member> changed = new ArrayList<>();
    for (String id : rotation.update(marks, now)) {
      Member entry = listed.get(id);
      if (entry != null) {
        changed.add(applyMark(entry, now));
      }
    }
    if (!changed.isEmpty()) {
      dispatcher.onStanding(this, changed);
    }
  }

  /** Whether an upstream is listed, or has a mark although it is no longer listed. */
  boolean isKnown(String id) {
    return Mark.markable(id) && (listed.containsKey(id) || rotation.mark(id) != null);
  }

  int listedCount() {
    return listed.size();
  }

  int suspendedCount() {
    return rotation.out();
  }
}
