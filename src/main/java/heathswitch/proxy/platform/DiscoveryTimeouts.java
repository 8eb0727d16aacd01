package heathswitch.proxy.platform;

import heathswitch.policy.api.Settings;

/**
 * The timeouts of calls to discovery. A change of the list counts as delivered {@link
 * #PROPAGATION_MILLIS} after discovery has it, even if a watch has failed; once the grace of the
 * settings has passed after that, nothing may be sent to a drained upstream. Within that time a
 * silent watch has to be detected, given up and replaced by one that has received a line.
 *
 * @param pushed whether an agent on the same machine has the list and answers at once; otherwise
 *     all balancers ask one service, which queues their calls
 * @param graceMillis for how long requests may still be sent to an upstream after it was told to
 *     drain
 */
record DiscoveryTimeouts(boolean pushed, long graceMillis) {
  static final long PROPAGATION_MILLIS = 6000;

  /** While nothing changes, discovery sends an empty line at least this often. */
  static final long HEARTBEAT_MILLIS = 2000;

  /** By how much a heartbeat may be late. */
  private static final long HEARTBEAT_DELAY_MILLIS = 700;

  /**
   * Discovery fails a queued call after 3 s; a call that has not even failed by then gets no answer
   * at all.
   */
  private static final long QUEUED_FIRST_LINE_MILLIS = 3500;

  /**
   * The fraction of the grace within which a pushed list has to arrive: a change counts as
   * delivered as soon as the agent has it, so this time comes out of the grace.
   */
  private static final int PUSHED_GRACE_DIVISOR = 4;

  private static final long PUSHED_MIN_MILLIS = 200;
  private static final long PUSHED_MAX_MILLIS = 1000;
  private static final long PUSHED_REOPEN_MILLIS = 100;

  private static final long NANOS_PER_MILLI = 1_000_000;

  static DiscoveryTimeouts of(Settings settings) {
    long grace = settings.obligations().stopSendingWithinNanos() / NANOS_PER_MILLI;
    return new DiscoveryTimeouts(!settings.subscribes(), grace);
  }

  /** The longest time between two complete lines of a watch. */
  long lineTimeoutMillis() {
    return HEARTBEAT_MILLIS + HEARTBEAT_DELAY_MILLIS;
  }

  /** The longest time from the start of a call to its first complete line. */
  long firstLineTimeoutMillis() {
    long part = graceMillis / PUSHED_GRACE_DIVISOR;
    return pushed
        ? Math.max(PUSHED_MIN_MILLIS, Math.min(part, PUSHED_MAX_MILLIS))
        : QUEUED_FIRST_LINE_MILLIS;
  }

  /**
   * The delay before a failed watch on pushed lists is reopened. Where lists are not pushed, the
   * module decides when to ask again.
   */
  long reopenDelayMillis() {
    return PUSHED_REOPEN_MILLIS;
  }
}
