package heathswitch.policy.core;

import java.util.SplittableRandom;

/**
 * When discovery is called next. One call at a time, and the calls of all balancers together are a
 * load of their own: also one that is turned away costs discovery a part of an answer, so that
 * balancers which repeat their calls several times a second keep a full queue full for good. The
 * waits after calls that are turned away therefore double until even calls that cost as much as
 * answers would let the queue drain.
 */
final class DiscoveryBackoff {
  /** Part of the time limit over which instances spread their first call. */
  static final double FIRST_CALL_SPREAD = 0.6;

  /** Part of the time limit after which a call that nothing was heard of is repeated. */
  static final double REPEAT_SHARE = 0.9;

  /** Mean wait after the first call that failed at once, or after a watch that broke. */
  static final long FAILURE_NANOS = 500_000_000L;

  /** Mean wait after the first call that was turned away. */
  static final long REJECTION_NANOS = 1_500_000_000L;

  /** Both are doubled with each further one, so often at most. */
  static final int MAX_DOUBLINGS = 2;

  /**
   * Mean wait after a call that ended after seconds in vain: they were a wait already, and the next
   * call may wait for as long again before it is answered.
   */
  static final long TIMEOUT_NANOS = 700_000_000L;

  /**
   * Mean wait after a new configuration. Others may follow it at once, all balancers get theirs
   * together, and the list of before holds meanwhile.
   */
  static final long MOVE_NANOS = 1_000_000_000L;

  /** A series of new configurations puts the call off for so long at most. */
  static final long MAX_MOVE_NANOS = 2_000_000_000L;

  private final SplittableRandom random;
  private int failures;
  private int rejections;

  DiscoveryBackoff(SplittableRandom random) {
    this.random = random;
  }

  /** The wait before the first call: all instances may start at once. */
  long firstCall(long limitNanos) {
    return (long) (limitNanos * FIRST_CALL_SPREAD * random.nextDouble());
  }

  /** The wait before a call is repeated of which nothing is heard at all. */
  long repeatCall(long limitNanos) {
    return (long) (limitNanos * REPEAT_SHARE * (0.7 + 0.3 * random.nextDouble()));
  }

  /** The wait after a call that was turned away. */
  long afterRejection() {
    return jittered(REJECTION_NANOS << Math.min(rejections++, MAX_DOUBLINGS));
  }

  /** The wait after a call that ended after a long wait. */
  long afterTimeout() {
    return jittered(TIMEOUT_NANOS);
  }

  /** The wait after a call that failed at once, or after a watch that broke. */
  long afterFailure() {
    return jittered(FAILURE_NANOS << Math.min(failures++, MAX_DOUBLINGS));
  }

  /** The wait after a new configuration, the first of its series so long ago. */
  long afterMove(long sinceFirstMoveNanos) {
    return Math.max(0, Math.min(jittered(MOVE_NANOS), MAX_MOVE_NANOS - sinceFirstMoveNanos));
  }

  /** A call was answered. */
  void reset() {
    failures = 0;
    rejections = 0;
  }

  private long jittered(long meanNanos) {
    return (long) (meanNanos * (0.5 + random.nextDouble()));
  }
}
