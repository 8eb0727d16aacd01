package heathswitch.policy.core;

import java.util.Arrays;

/** The window over one server (Equation 2 of the paper); delays are multiples of their class's. */
public final class DelayWindow {
  /** Delays in the running mean (the paper's k). */
  static final int MEAN_SAMPLES = 8;

  /** Until there are so many, the missing ones count as normal: a few heavy calls are no breach. */
  static final int MIN_MEAN_SAMPLES = 4;

  /** Alpha as a part of the estimate. */
  static final double ALPHA_SCALE = 0.5;

  /** A new window holds what a server of some size takes; the first cut finds the rest. */
  static final double INITIAL = 32;

  static final double MAX = 256;

  /** Completions in one non-overlapping interval of the normal delay. */
  static final int INTERVAL_COMPLETIONS = 16;

  /** Weight of a finished interval in the estimate. */
  static final double INTERVAL_WEIGHT = 0.3;

  /** Bound of one sample, in normal delays: one heavy request must not look like a slow server. */
  static final double MAX_SAMPLE = 2;

  /** Below this part of the fleet's level slow start goes on past the threshold. */
  static final double FAST_MEAN = 0.9;

  private final double[] recent = new double[MEAN_SAMPLES];
  private long recentCount;
  private double recentSum;
  private double window = INITIAL;
  double slowStartThreshold = MAX;

  /** The paper's CCT estimate. */
  double normalDelay = 1;

  private double intervalSum;
  private int intervalCount;
  private long cutAtNanos = Long.MIN_VALUE;

  /** Whole calls that may be in flight. */
  public int size() {
    return (int) window;
  }

  public double window() {
    return window;
  }

  double breachBound() {
    return referenceDelay() * (1 + ALPHA_SCALE);
  }

  /** The normal delay, but never under what the fleet takes (1), or the best would be cut first. */
  private double referenceDelay() {
    return Math.max(1, normalDelay);
  }

  /** Mean of the recent delays. */
  double recentMean() {
    int count = (int) Math.min(MEAN_SAMPLES, recentCount);
    int missing = Math.max(0, MIN_MEAN_SAMPLES - count);
    return (recentSum + missing * normalDelay) / (count + missing);
  }

  /**
   * Takes one completion; true if the window was cut.
   *
   * @param inFlight calls in flight when it completed, itself included
   */
  public boolean onCompletion(long nowNanos, long sentNanos, double delay, int inFlight) {
    if (cutSince(sentNanos)) {
      // One cut a flight, but what comes back in good time still counts for slow start.
      if (window < slowStartThreshold && delay < breachBound()) {
        window++;
      }
      return false;
    }
    double sample = Math.min(delay, MAX_SAMPLE * referenceDelay());
    addRecent(sample);
    if (recentMean() >= breachBound()) {
      cut(nowNanos);
      return true;
    }
    updateNormalDelay(sample);
    if (2 * inFlight >= window) { // An unused window proves nothing and must not grow.
      // After several cuts the threshold is near one; the quickest servers need not wait for it.
      boolean slowStart = window < slowStartThreshold || recentMean() < FAST_MEAN;
      window = Math.min(MAX, window + (slowStart ? 1 : 1 / window));
    }
    return false;
  }

  /** Whether the window has been cut since a call was sent. */
  public boolean cutSince(long sentNanos) {
    return sentNanos < cutAtNanos;
  }

  /** The threshold becomes half the window and the window one; the interval is void. */
  public void cut(long nowNanos) {
    slowStartThreshold = Math.max(1, window / 2);
    window = 1;
    cutAtNanos = nowNanos;
    recentCount = 0;
    recentSum = 0;
    intervalSum = 0;
    intervalCount = 0;
    Arrays.fill(recent, 0);
  }

  /** A cut would close a server for as long as anybody reads answers that have begun. */
  void reserveFor(int begunAnswers) {
    window = Math.max(window, Math.min(INITIAL, 1 + begunAnswers));
  }

  private void addRecent(double sample) {
    int index = (int) (recentCount++ % MEAN_SAMPLES);
    recentSum -= recent[index]; // Nothing until it has been filled once.
    recent[index] = sample;
    recentSum += sample;
  }

  private void updateNormalDelay(double sample) {
    intervalSum += sample;
    if (++intervalCount == INTERVAL_COMPLETIONS) {
      normalDelay += INTERVAL_WEIGHT * (intervalSum / INTERVAL_COMPLETIONS - normalDelay);
      intervalSum = 0;
      intervalCount = 0;
    }
  }
}
