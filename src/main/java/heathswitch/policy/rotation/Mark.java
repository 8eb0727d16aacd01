package heathswitch.policy.rotation;

/**
 * What operators have said of one upstream.
 *
 * @param outMillis when it was taken out, Unix time in milliseconds
 * @param backMillis when it was put back, or 0 while it is out
 */
public record Mark(String id, long outMillis, long backMillis) {
  /** Longer ids are not taken: they name files. */
  public static final int MOST_ID_LENGTH = 120;

  public Mark {
    if (!markable(id) || outMillis <= 0 || backMillis < 0) {
      throw new IllegalArgumentException("no mark: " + id + " " + outMillis + " " + backMillis);
    }
  }

  /** Whether an upstream of this id can be marked: printable ASCII, and not too long. */
  public static boolean markable(String id) {
    return !id.isEmpty()
        && id.length() <= MOST_ID_LENGTH
        && id.chars().allMatch(c -> c >= ' ' && c < 127);
  }

  /** Whether it is out now. */
  public boolean out() {
    return backMillis == 0;
  }

  /** Taken out; once more changes nothing, so that one call back undoes both. */
  public static Mark suspend(Mark before, String id, long nowMillis) {
    return before != null && before.out() ? before : new Mark(id, nowMillis, 0);
  }

  /** Put back; null where there is nothing to put back. */
  public static Mark resume(Mark before, long nowMillis) {
    return before == null || !before.out()
        ? before
        : new Mark(before.id, before.outMillis, Math.max(nowMillis, before.outMillis));
  }

  /** Whether everything that discovery could have had to tell of its return has been told. */
  public boolean settled(long nowMillis) {
    return !out() && nowMillis - backMillis > Rotation.NEWS_MILLIS;
  }
}
