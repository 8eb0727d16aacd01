package heathswitch.policy.gateway;

/**
 * Whether a site's own servers take visibly longer than they do at ease: its present delay of a
 * class against the least that it has been of late. Then it has nothing to lend, though nothing was
 * refused yet. A short mean sees a burst; a long one sees a site that is near full all the time and
 * would look at ease in each lull of its arrivals.
 */
final class CongestionDetector {
  /** Times the delay at ease, of the short mean. A queue as long as three quarters of the work. */
  static final double BOUND = 1.75;

  /** The same of the long mean. */
  static final double LONG_BOUND = 1.35;

  /** Weight of one result; a tenth of noise where times are exponential. */
  private static final double WEIGHT = 0.02;

  /** Of the long mean: a thirtieth of noise. */
  private static final double LONG_WEIGHT = 0.002;

  /** For so long a least delay counts, and as long again. */
  static final long EASE_NANOS = 30_000_000_000L;

  /** What has not been seen for so long says nothing of the present. */
  private static final long RECENT_NANOS = 2_000_000_000L;

  private static final int LEAST_SAMPLES = 50;

  private static final class Kind {
    double delay;
    double longDelay;
    long count;
    long lastNanos;
    double least = Double.MAX_VALUE;
    double leastBefore = Double.MAX_VALUE;
    long turnNanos;
  }

  private final Kind[] kinds;

  CongestionDetector(int classes) {
    kinds = new Kind[classes];
    for (int i = 0; i < classes; i++) {
      kinds[i] = new Kind();
    }
  }

  void served(long nowNanos, int type, long tookNanos) {
    Kind kind = kinds[type];
    double first = 1.0 / ++kind.count;
    kind.delay += Math.max(WEIGHT, first) * (tookNanos - kind.delay);
    kind.longDelay += Math.max(LONG_WEIGHT, first) * (tookNanos - kind.longDelay);
    kind.lastNanos = nowNanos;
    if (kind.count < LEAST_SAMPLES) {
      kind.turnNanos = nowNanos;
      return;
    }
    if (nowNanos - kind.turnNanos > EASE_NANOS) {
      kind.turnNanos = nowNanos;
      kind.leastBefore = kind.least;
      kind.least = kind.longDelay;
    }
    kind.least = Math.min(kind.least, kind.longDelay);
  }

  boolean isCongested(long nowNanos) {
    for (Kind kind : kinds) {
      double ease = Math.min(kind.least, kind.leastBefore);
      if (kind.count >= LEAST_SAMPLES
          && nowNanos - kind.lastNanos < RECENT_NANOS
          && (kind.delay > BOUND * ease || kind.longDelay > LONG_BOUND * ease)) {
        return true;
      }
    }
    return false;
  }

  /** The present delay of a class, or the other value where it is not known. */
  double delay(int type, double otherwise) {
    return kinds[type].count == 0 ? otherwise : kinds[type].delay;
  }
}
