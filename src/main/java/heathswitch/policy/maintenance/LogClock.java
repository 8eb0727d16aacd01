package heathswitch.policy.maintenance;

/**
 * The log's own clock. A leader continues from the latest time that was applied, by its monotonic
 * clock from its first reading in the term. So between any two valid readings the log's clock never
 * advances by more than the time that really passed, and it stands still while there is no leader.
 * A reading is valid only in the term in which it was made: one that a leader made before it was
 * cut off carries no time in a later term.
 */
public final class LogClock {
  /** The time of an entry without a valid reading. */
  public static final long NO_TIME = -1;

  private long appliedMillis;
  private long term = -1;
  private long termStartMillis;
  private long termStartNanos;

  /** The latest time of an applied entry. */
  public long appliedMillis() {
    return appliedMillis;
  }

  /** Sets the clock to the time of a snapshot. */
  public void restore(long millis) {
    appliedMillis = millis;
  }

  /**
   * Reads the clock on the leader of a term, once it has applied all entries of earlier terms.
   *
   * @param nowNanos of a monotonic clock
   */
  public long read(long inTerm, long nowNanos) {
    if (inTerm != term) {
      term = inTerm;
      termStartMillis = appliedMillis;
      termStartNanos = nowNanos;
    }
    return termStartMillis + (nowNanos - termStartNanos) / 1_000_000;
  }

  /**
   * Applies the reading of an entry.
   *
   * @return the time of the entry, or {@link #NO_TIME} if the reading was made in another term
   */
  public long apply(long entryTerm, long readTerm, long readMillis) {
    if (entryTerm != readTerm) {
      return NO_TIME;
    }
    appliedMillis = Math.max(appliedMillis, readMillis);
    return readMillis;
  }
}
