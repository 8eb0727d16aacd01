package heathswitch.policy.gateway;

/** What a link takes there and back, from what passes on it (RFC 6298, section 2). */
final class RoundTripEstimator {
  private static final double SMOOTH_WEIGHT = 1.0 / 8;
  private static final double VARIATION_WEIGHT = 1.0 / 4;
  private static final double VARIATIONS = 4;

  private double smooth;
  private double variation;
  private boolean known;

  void sample(long nanos) {
    long bounded = Math.max(0, nanos);
    if (known) {
      variation += VARIATION_WEIGHT * (Math.abs(smooth - bounded) - variation);
      smooth += SMOOTH_WEIGHT * (bounded - smooth);
    } else {
      smooth = bounded;
      variation = bounded / 2.0;
      known = true;
    }
  }

  boolean known() {
    return known;
  }

  long nanos() {
    return (long) smooth;
  }

  /** What hardly any takes longer than. */
  long bound() {
    return (long) (smooth + VARIATIONS * variation);
  }

  /** The next connection may go another way. */
  void forget() {
    known = false;
  }
}
