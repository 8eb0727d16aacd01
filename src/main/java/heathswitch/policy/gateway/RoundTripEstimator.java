package heathswitch.policy.gateway;

/** Estimates the round-trip time of a link from samples (RFC 6298, section 2). */
final class RoundTripEstimator {
  private static final double MEAN_WEIGHT = 1.0 / 8;
  private static final double VARIATION_WEIGHT = 1.0 / 4;
  private static final double BOUND_VARIATIONS = 4;

  private double smoothedNanos;
  private double variationNanos;
  private boolean known;

  void addSample(long nanos) {
    long bounded = Math.max(0, nanos);
    if (known) {
      variationNanos += VARIATION_WEIGHT * (Math.abs(smoothedNanos - bounded) - variationNanos);
      smoothedNanos += MEAN_WEIGHT * (bounded - smoothedNanos);
    } else {
      smoothedNanos = bounded;
      variationNanos = bounded / 2.0;
      known = true;
    }
  }

  boolean isKnown() {
    return known;
  }

  long smoothedNanos() {
    return (long) smoothedNanos;
  }

  /** Returns a time that hardly any round trip exceeds. */
  long upperBoundNanos() {
    return (long) (smoothedNanos + BOUND_VARIATIONS * variationNanos);
  }

  /** Discards the estimate, because the next connection may take another route. */
  void reset() {
    known = false;
  }
}
