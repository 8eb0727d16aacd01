package heathswitch.policy.rotation;

/**
 * An operator's suspension of one upstream.
 *
 * @param suspendedMillis when it was taken out of rotation, Unix time in milliseconds
 * @param resumedMillis when it was put back, or 0 while it is suspended
 */
public record Suspension(String id, long suspendedMillis, long resumedMillis) {
  /** Longest id that is accepted, since ids are used as file names. */
  public static final int MAX_ID_LENGTH = 120;

  public Suspension {
    if (!isValidId(id) || suspendedMillis <= 0 || resumedMillis < 0) {
      throw new IllegalArgumentException(
          "invalid suspension: " + id + " " + suspendedMillis + " " + resumedMillis);
    }
  }

  /** Whether an upstream with this id can be suspended: printable ASCII, and not too long. */
  public static boolean isValidId(String id) {
    return !id.isEmpty()
        && id.length() <= MAX_ID_LENGTH
        && id.chars().allMatch(c -> c >= ' ' && c < 127);
  }

  /** Whether the upstream is out of rotation now. */
  public boolean isSuspended() {
    return resumedMillis == 0;
  }

  /**
   * Suspends an upstream. Repeating it changes nothing, so a single resume undoes it.
   *
   * @param previous its last suspension, or null
   */
  public static Suspension suspend(Suspension previous, String id, long nowMillis) {
    return previous != null && previous.isSuspended() ? previous : new Suspension(id, nowMillis, 0);
  }

  /**
   * Puts an upstream back into rotation.
   *
   * @param previous its last suspension, or null
   * @return the suspension with its end; null if there was none
   */
  public static Suspension resume(Suspension previous, long nowMillis) {
    return previous == null || !previous.isSuspended()
        ? previous
        : new Suspension(
            previous.id, previous.suspendedMillis, Math.max(nowMillis, previous.suspendedMillis));
  }

  /** Whether discovery has had time to report a restart during the suspension. */
  public boolean isObsolete(long nowMillis) {
    return !isSuspended() && nowMillis - resumedMillis > Rotation.DISCOVERY_LAG_MILLIS;
  }
}
