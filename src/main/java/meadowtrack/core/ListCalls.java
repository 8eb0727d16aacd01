package meadowtrack.core;

import java.util.SplittableRandom;

/**
 * When discovery is called next. One call at a time, and the next one soon: the list has to be
 * confirmed within seconds, a call that is taken may wait for three of them, and one that is turned
 * away costs discovery next to nothing while a free place in its queue is gone in a moment.
 */
final class ListCalls {
  /** Part of the time limit over which instances spread their first call. */
  static final double FIRST_SPREAD = 0.6;

  /** Part of the time limit after which a call that nothing was heard of is repeated. */
  static final double REPEAT = 0.9;

  /** Mean wait after a call that was turned away, or that has waited long. */
  static final long SOON_NANOS = 200_000_000L;

  /** Mean wait after the first call that failed at once, doubled with each further one. */
  static final long FAILED_NANOS = 250_000_000L;

  static final int MOST_DOUBLINGS = 2;

  private final SplittableRandom random;
  private int failedInRow;

  ListCalls(SplittableRandom random) {
    this.random = random;
  }

  /** The wait before the first call: all instances may start at once. */
  long first(long limitNanos) {
    return (long) (limitNanos * FIRST_SPREAD * random.nextDouble());
  }

  /** The wait before a call is repeated of which nothing is heard at all. */
  long repeat(long limitNanos) {
    return (long) (limitNanos * REPEAT * (0.7 + 0.3 * random.nextDouble()));
  }

  /** The wait after a call that was turned away, or that ended after a long wait. */
  long soon() {
    return jittered(SOON_NANOS);
  }

  /** The wait after a call that failed at once, or after a watch that broke. */
  long afterFailure() {
    return jittered(FAILED_NANOS << Math.min(failedInRow++, MOST_DOUBLINGS));
  }

  /** A call was answered. */
  void answered() {
    failedInRow = 0;
  }

  private long jittered(long meanNanos) {
    return (long) (meanNanos * (0.5 + random.nextDouble()));
  }
}
