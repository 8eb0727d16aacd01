package heathswitch.policy.maintenance;

/**
 * The log's own clock. Whoever leads goes on from the latest time that was taken, by its monotonic
 * clock from the moment at which it could lead: so between any two readings that count no more time
 * passes here than passed in truth, and none while nobody leads. A reading counts only in the term
 * in which it was made: one that was made before a leader was cut off says nothing later.
 */
public final class LogClock {
  /** The time of an entry that has none to be relied on. */
  public static final long NO_TIME = -1;

  private long appliedMillis;
  private long term = -1;
  private long fromMillis;
  private long fromNanos;

  /** The latest time of an entry that was taken. */
  public long appliedMillis() {
    return appliedMillis;
  }

  /** Goes on from what was kept. */
  public void restore(long millis) {
    appliedMillis = millis;
  }

  /**
   * Reads it, on whoever leads in a term, when all entries of earlier terms have been taken.
   *
   * @param nowNanos of a monotonic clock
   */
  public long read(long inTerm, long nowNanos) {
    if (inTerm != term) {
      term = inTerm;
      fromMillis = appliedMillis;
      fromNanos = nowNanos;
    }
    return fromMillis + (nowNanos - fromNanos) / 1_000_000;
  }

  /** Takes an entry's reading; {@link #NO_TIME} where that does not count. */
  public long apply(long entryTerm, long readTerm, long readMillis) {
    if (entryTerm != readTerm) {
      return NO_TIME;
    }
    appliedMillis = Math.max(appliedMillis, readMillis);
    return readMillis;
  }
}
