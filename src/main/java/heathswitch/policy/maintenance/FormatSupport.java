package heathswitch.policy.maintenance;

/**
 * What an instance's program can take, and whom its configuration names.
 *
 * @param latestFormat the latest form of entries and of what follows from them
 * @param peers instances that its configuration names; 0 where that is not said
 */
public record FormatSupport(int latestFormat, int peers) {
  /** The first form. */
  public static final int FIRST = 1;

  /** Machines that are out are wanted back while capacity is under its floor. */
  public static final int WANTED_BACK = 2;

  /** The latest form that this program knows. */
  public static final int LATEST = WANTED_BACK;

  /** What a program of the first form says of itself: nothing. */
  public static final FormatSupport UNSTATED = new FormatSupport(FIRST, 0);
}
