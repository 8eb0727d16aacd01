package heathswitch.policy.maintenance;

/**
 * Which format versions of log entries an instance's program supports. A format version stands for
 * the encoding of entries and for what the state machine computes from them.
 *
 * @param latestFormat the latest version that the program can read
 * @param peers number of instances that its configuration names; 0 if not stated
 */
public record FormatSupport(int latestFormat, int peers) {
  /** The first version. */
  public static final int FIRST = 1;

  /** Adds that machines that are out are wanted back while capacity is below its floor. */
  public static final int WANTED_BACK = 2;

  /** The latest version that this program can read. */
  public static final int LATEST = WANTED_BACK;

  /** What holds for a program of the first version, which states neither of the two values. */
  public static final FormatSupport UNSTATED = new FormatSupport(FIRST, 0);
}
