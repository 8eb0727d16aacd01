package heathswitch.proxy.platform;

import heathswitch.policy.api.Settings;

/**
 * By when a call to discovery has to have brought something. A change of the list counts as told
 * {@link #TOLD_MILLIS} after discovery had it, whatever became of a watch; nothing may be sent to a
 * drained upstream once the settings' grace has passed after that. A watch that says nothing has to
 * be found out, given up and replaced by one that has spoken within that time.
 *
 * @param pushed whether an agent beside the balancer has the list and answers at once; else all
 *     balancers ask one service, which works through calls in turn
 * @param graceMillis for which an upstream may still be sent to after it was told to drain
 */
record DiscoveryTimeouts(boolean pushed, long graceMillis) {
  static final long TOLD_MILLIS = 6000;

  /** An empty line comes at least so often while nothing changes. */
  static final long HEARTBEAT_MILLIS = 2000;

  /** By how much a heartbeat may come late. */
  private static final long HEARTBEAT_LATE_MILLIS = 700;

  /** A call that waits in turn is failed by discovery after 3 s; one that is not has no answer. */
  private static final long ASKED_FIRST_MILLIS = 3500;

  /** What an agent has counts as told at once, so that it has a part of the grace. */
  private static final int PUSHED_FIRST_PART = 4;

  private static final long PUSHED_LEAST_MILLIS = 200;
  private static final long PUSHED_MOST_MILLIS = 1000;
  private static final long PUSHED_AGAIN_MILLIS = 100;

  private static final long NANOS_A_MILLI = 1_000_000;

  static DiscoveryTimeouts of(Settings settings) {
    long grace = settings.obligations().stopSendingWithinNanos() / NANOS_A_MILLI;
    return new DiscoveryTimeouts(!settings.subscribes(), grace);
  }

  /** From one whole line of a watch to the next. */
  long lineMillis() {
    return HEARTBEAT_MILLIS + HEARTBEAT_LATE_MILLIS;
  }

  /** From the beginning of a call to its first whole line. */
  long firstLineMillis() {
    long part = graceMillis / PUSHED_FIRST_PART;
    return pushed
        ? Math.max(PUSHED_LEAST_MILLIS, Math.min(part, PUSHED_MOST_MILLIS))
        : ASKED_FIRST_MILLIS;
  }

  /** From the end of a watch on pushed lists to the next; of asked ones the module decides. */
  long againMillis() {
    return PUSHED_AGAIN_MILLIS;
  }
}
