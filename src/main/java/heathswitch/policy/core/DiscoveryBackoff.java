package heathswitch.policy.core;

import java.util.SplittableRandom;

/**
 * Waits between calls to discovery. The calls of all balancers together load discovery, and a
 * rejected call costs it a part of an answer too: balancers that repeat their calls several times a
 * second would keep a full queue full forever. So the wait after rejected calls doubles until the
 * queue drains even if a rejection costs as much as an answer.
 */
final class DiscoveryBackoff {
  /** Share of the time limit over which balancers spread their first call. */
  static final double FIRST_CALL_SPREAD = 0.6;

  /** Share of the time limit after which a call without any result is repeated. */
  static final double REPEAT_SHARE = 0.9;

  /** Mean wait after the first call that failed at once, or after a broken watch. */
  static final long FAILURE_NANOS = 500_000_000L;

  /** Mean wait after the first rejected call. */
  static final long REJECTION_NANOS = 1_500_000_000L;

  /** Both waits double with each further failure or rejection, at most this often. */
  static final int MAX_DOUBLINGS = 2;

  /**
   * Mean wait after a call that failed after seconds. Those seconds were a wait already, and the
   * next call may be held for as long before it is answered.
   */
  static final long TIMEOUT_NANOS = 700_000_000L;

  /**
   * Mean wait after a new configuration. Further ones may follow at once, all balancers get them
   * together, and the present list stays valid meanwhile.
   */
  static final long MOVE_NANOS = 1_000_000_000L;

  /** A series of new configurations delays the call by at most this. */
  static final long MAX_MOVE_NANOS = 2_000_000_000L;

  private final SplittableRandom random;
  private int failures;
  private int rejections;

  DiscoveryBackoff(SplittableRandom random) {
    this.random = random;
  }

  /** Wait before the first call, at random since all balancers may start at once. */
  long firstCall(long limitNanos) {
    return (long) (limitNanos * FIRST_CALL_SPREAD * random.nextDouble());
  }

  /** Wait before a call without any result is repeated. */
  long repeatCall(long limitNanos) {
    return (long) (limitNanos * REPEAT_SHARE * (0.7 + 0.3 * random.nextDouble()));
  }

  /** Wait after a rejected call. */
  long afterRejection() {
    return jittered(REJECTION_NANOS << Math.min(rejections++, MAX_DOUBLINGS));
  }

  /** Wait after a call that failed after a long time. */
  long afterTimeout() {
    return jittered(TIMEOUT_NANOS);
  }

  /** Wait after a call that failed at once, or after a broken watch. */
  long afterFailure() {
    return jittered(FAILURE_NANOS << Math.min(failures++, MAX_DOUBLINGS));
  }

  /**
   * Wait after a new configuration.
   *
   * @param sinceFirstMoveNanos time since the first one of a series
   */
  long afterMove(long sinceFirstMoveNanos) {
    return Math.max(0, Math.min(jittered(MOVE_NANOS), MAX_MOVE_NANOS - sinceFirstMoveNanos));
  }

  /** A call was answered; the waits start anew. */
  void reset() {
    failures = 0;
    rejections = 0;
  }

  private long jittered(long meanNanos) {
    return (long) (meanNanos * (0.5 + random.nextDouble()));
  }
}
