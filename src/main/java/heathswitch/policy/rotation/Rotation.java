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
  public static final long NEWS_MILLIS = 6500;

  /** Marks that are held at most; operators take out a few at a time. */
  public static final int MOST_MARKS = 4096;

  /**
   * What a listed upstream counts for.
   *
   * @param startedMillis Unix time of its last start as it is to be believed
   */
  public record Standing(Health health, long startedMillis) {}

  private Map<String, Mark> marks = Map.of();

  /** The ids that are held to be cold for want of news. */
  private final Set<String> presumed = new HashSet<>();

  /**
   * Takes the marks as they are now.
   *
   * @return the ids whose standing may have changed, by these marks or by the time that has passed
   */
  public Set<String> update(Map<String, Mark> now, long nowMillis) {
    Set<String> changed = new HashSet<>();
    for (Mark mark : now.values()) {
      if (!mark.equals(marks.get(mark.id()))) {
        changed.add(mark.id());
      }
    }
    for (String id : marks.keySet()) {
      if (!now.containsKey(id)) {
        changed.add(id);
      }
    }
    for (String id : presumed) {
      if (!now.containsKey(id) || now.get(id).settled(nowMillis)) {
        changed.add(id);
      }
    }
    presumed.removeAll(changed); // Told now; one that is no longer listed has no standing again.
    marks = new HashMap<>(now);
    return changed;
  }

  /** The mark of an upstream, or null. */
  public Mark mark(String id) {
    return marks.get(id);
  }

  /** How many are held to be cold for want of news. */
  int presumed() {
    return presumed.size();
  }

  /** How many are out. */
  public int out() {
    return (int) marks.values().stream().filter(Mark::out).count();
  }

  /** What an upstream counts for that discovery lists so. */
  public Standing standing(String id, Health listed, long startedMillis, long nowMillis) {
    presumed.remove(id);
    Mark mark = marks.get(id);
    if (mark == null || listed == Health.GONE) {
      return new Standing(listed, startedMillis);
    }
    if (mark.out()) {
      return new Standing(Health.DRAINING, startedMillis);
    }
    if (startedMillis > mark.outMillis() || mark.settled(nowMillis)) {
      return new Standing(listed, startedMillis);
    }
    presumed.add(id);
    return new Standing(listed, mark.backMillis());
  }
}
