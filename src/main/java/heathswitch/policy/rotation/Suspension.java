package heathswitch.policy.rotation;

/**
 * What operators have said of one upstream.
 *
 * @param suspendedMillis when it was taken out, Unix time in milliseconds
 * @param resumedMillis when it was put back, or 0 while it is out
 */
public record Suspension(String id, long suspendedMillis, long resumedMillis) {
  /** Longer ids are not taken: they name files. */
  public static final int MAX_ID_LENGTH = 120;

  public Suspension {
    if (!isValidId(id) || suspendedMillis <= 0 || resumedMillis < 0) {
      throw new IllegalArgumentException(
          "no mark: " + id + " " + suspendedMillis + " " + resumedMillis);
    }
  }

  /** Whether an upstream of this id can be marked: printable ASCII, and not too long. */
  public static boolean isValidId(String id) {
    return !id.isEmpty()
        && id.length() <= MAX_ID_LENGTH
        && id.chars().allMatch(c -> c >= ' ' && c < 127);
  }

  /** Whether it is out now. */
  public boolean isSuspended() {
    return resumedMillis == 0;
  }

  /** Taken out; once more changes nothing, so that one call back undoes both. */
  public static Suspension suspend(Suspension previous, String id, long nowMillis) {
    return previous != null && previous.isSuspended() ? previous : new Suspension(id, nowMillis, 0);
  }

  /** Put back; null where there is nothing to put back. */
  public static Suspension resume(Suspension previous, long nowMillis) {
    return previous == null || !previous.isSuspended()
        ? previous
        : new Suspension(
            previous.id, previous.suspendedMillis, Math.max(nowMillis, previous.suspendedMillis));
  }

  /** Whether everything that discovery could have had to tell of its return has been told. */
  public boolean isObsolete(long nowMillis) {
    return !isSuspended() && nowMillis - resumedMillis > Rotation.DISCOVERY_LAG_MILLIS;
  }
}
