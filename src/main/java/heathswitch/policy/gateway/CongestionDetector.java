package heathswitch.policy.gateway;

/**
 * Detects that this site's servers are congested: the mean delay of a class is clearly above its
 * baseline, the lowest mean of recent time. A congested site admits no calls of peer sites, even if
 * it has refused nothing yet. A short mean detects bursts. A long mean detects a site that is
 * almost full all the time and looks uncongested in each lull of its arrivals.
 */
final class CongestionDetector {
  /**
   * Bound of the short mean, as a multiple of the baseline. At 1.75 calls queue for three quarters
   * of their processing time.
   */
  static final double SHORT_MEAN_BOUND = 1.75;

  /** Bound of the long mean, as a multiple of the baseline. */
  static final double LONG_MEAN_BOUND = 1.35;

  /**
   * Weight of one sample in the short mean; with exponentially distributed delays the noise of the
   * mean is a tenth.
   */
  private static final double SHORT_MEAN_WEIGHT = 0.02;

  /** Weight of one sample in the long mean; its noise is a thirtieth. */
  private static final double LONG_MEAN_WEIGHT = 0.002;

  /** The baseline is the lowest mean of the current and the previous period of this length. */
  static final long BASELINE_PERIOD_NANOS = 30_000_000_000L;

  /** A class without samples for this long is ignored. */
  private static final long RECENT_NANOS = 2_000_000_000L;

  private static final int MIN_SAMPLES = 50;

  /** Delay statistics of one class. */
  private static final class ClassDelay {
    double shortMean;
    double longMean;
    long count;
    long lastSampleNanos;
    double lowest = Double.MAX_VALUE;
    double previousLowest = Double.MAX_VALUE;
    long periodStartNanos;
  }

  private final ClassDelay[] classes;

  CongestionDetector(int classCount) {
    classes = new ClassDelay[classCount];
    for (int i = 0; i < classCount; i++) {
      classes[i] = new ClassDelay();
    }
  }

  /** Adds the delay of a call that a server of this site has served. */
  void addSample(long nowNanos, int classIndex, long tookNanos) {
    ClassDelay delay = classes[classIndex];
    double initialWeight = 1.0 / ++delay.count;
    delay.shortMean += Math.max(SHORT_MEAN_WEIGHT, initialWeight) * (tookNanos - delay.shortMean);
    delay.longMean += Math.max(LONG_MEAN_WEIGHT, initialWeight) * (tookNanos - delay.longMean);
    delay.lastSampleNanos = nowNanos;
    if (delay.count < MIN_SAMPLES) {
      delay.periodStartNanos = nowNanos;
      return;
    }
    if (nowNanos - delay.periodStartNanos > BASELINE_PERIOD_NANOS) {
      delay.periodStartNanos = nowNanos;
      delay.previousLowest = delay.lowest;
      delay.lowest = delay.longMean;
    }
    delay.lowest = Math.min(delay.lowest, delay.longMean);
  }

  boolean isCongested(long nowNanos) {
    for (ClassDelay delay : classes) {
      double baseline = Math.min(delay.lowest, delay.previousLowest);
      if (delay.count >= MIN_SAMPLES
          && nowNanos - delay.lastSampleNanos < RECENT_NANOS
          && (delay.shortMean > SHORT_MEAN_BOUND * baseline
              || delay.longMean > LONG_MEAN_BOUND * baseline)) {
        return true;
      }
    }
    return false;
  }

  /** Returns the short mean delay of a class, or the given value if there is no sample. */
  double meanDelay(int classIndex, double defaultValue) {
    return classes[classIndex].count == 0 ? defaultValue : classes[classIndex].shortMean;
  }
}
