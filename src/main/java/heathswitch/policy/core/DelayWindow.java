package heathswitch.policy.core;

import java.util.Arrays;

/**
 * Adaptive limit of the calls in flight to one server, after Equation 2 of the paper on adaptive
 * overload control. Delays are multiples of the mean delay of the call's class, scaled so that the
 * fleet's delay at present is 1.
 */
public final class DelayWindow {
  /** Samples in the running mean (the paper's k). */
  static final int MEAN_SAMPLES = 8;

  /**
   * With fewer samples the missing ones count as the normal delay, so that a few expensive requests
   * do not cut the window.
   */
  static final int MIN_MEAN_SAMPLES = 4;

  /** The paper's alpha, as a share of the normal delay estimate. */
  static final double ALPHA_SCALE = 0.5;

  /** Initial window: what a server of moderate size takes; the first cut finds the actual limit. */
  static final double INITIAL = 32;

  /** Largest window. */
  static final double MAX = 256;

  /** Completions in one of the consecutive intervals that the normal delay is estimated from. */
  static final int INTERVAL_COMPLETIONS = 16;

  /** Weight of a finished interval in the normal delay estimate. */
  static final double INTERVAL_WEIGHT = 0.3;

  /**
   * Upper bound of one sample, in normal delays, so that one expensive request does not look like a
   * slow server.
   */
  static final double MAX_SAMPLE = 2;

  /** While the mean delay is below this share of the fleet's, slow start passes the threshold. */
  static final double FAST_MEAN = 0.9;

  private final double[] recent = new double[MEAN_SAMPLES];
  private long recentCount;
  private double recentSum;
  private double window = INITIAL;
  double slowStartThreshold = MAX;

  /** Normal delay estimate (the paper's CCT estimate). */
  double normalDelay = 1;

  private double intervalSum;
  private int intervalCount;
  private long cutAtNanos = Long.MIN_VALUE;

  /** Number of calls that may be in flight. */
  public int size() {
    return (int) window;
  }

  /** The window before rounding down. */
  public double window() {
    return window;
  }

  /** Mean delay from which the window is cut. */
  double breachBound() {
    return referenceDelay() * (1 + ALPHA_SCALE);
  }

  /**
   * The normal delay estimate, but at least the fleet's delay (1). Otherwise the fastest servers
   * would be cut first.
   */
  private double referenceDelay() {
    return Math.max(1, normalDelay);
  }

  /** Mean of the recent samples. */
  double recentMean() {
    int count = (int) Math.min(MEAN_SAMPLES, recentCount);
    int missing = Math.max(0, MIN_MEAN_SAMPLES - count);
    return (recentSum + missing * normalDelay) / (count + missing);
  }

  /**
   * Records a completed call.
   *
   * @param inFlight calls in flight when it completed, itself included
   * @return whether the window was cut
   */
  public boolean onCompletion(long nowNanos, long sentNanos, double delay, int inFlight) {
    if (cutSince(sentNanos)) {
      // Calls sent before a cut do not cut again, but fast ones still count for slow start.
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
    if (2 * inFlight >= window) { // A window that is not used proves nothing and must not grow.
      // After several cuts the threshold is near one; fast servers may grow past it quickly.
      boolean slowStart = window < slowStartThreshold || recentMean() < FAST_MEAN;
      window = Math.min(MAX, window + (slowStart ? 1 : 1 / window));
    }
    return false;
  }

  /** Whether the window has been cut since a call was sent. */
  public boolean cutSince(long sentNanos) {
    return sentNanos < cutAtNanos;
  }

  /**
   * Sets the slow-start threshold to half the window and the window to one, and discards the
   * samples taken so far.
   */
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

  /**
   * Leaves room for one more call beside answers that have begun. Without it a cut would block the
   * server for as long as slow clients read those answers.
   */
  void reserveFor(int begunAnswers) {
    window = Math.max(window, Math.min(INITIAL, 1 + begunAnswers));
  }

  private void addRecent(double sample) {
    int index = (int) (recentCount++ % MEAN_SAMPLES);
    recentSum -= recent[index]; // Zero until the buffer has been filled once.
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
