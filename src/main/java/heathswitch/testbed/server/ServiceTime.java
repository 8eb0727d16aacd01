package heathswitch.testbed.server;

import java.util.SplittableRandom;

/**
 * How long a core works on a request.
 *
 * @param meanMillis mean of the distribution
 * @param spread standard deviation over the mean, for the lognormal one
 */
public record ServiceTime(Kind kind, double meanMillis, double spread) {
  /** The distribution. */
  public enum Kind {
    FIXED,
    EXPONENTIAL,
    LOGNORMAL
  }

  public static ServiceTime fixed(double millis) {
    return new ServiceTime(Kind.FIXED, millis, 0);
  }

  public static ServiceTime exponential(double meanMillis) {
    return new ServiceTime(Kind.EXPONENTIAL, meanMillis, 1);
  }

  public static ServiceTime lognormal(double meanMillis, double spread) {
    return new ServiceTime(Kind.LOGNORMAL, meanMillis, spread);
  }

  /** One draw, in nanoseconds. */
  long drawNanos(SplittableRandom random) {
    double millis =
        switch (kind) {
          case FIXED -> meanMillis;
          case EXPONENTIAL -> -meanMillis * Math.log(1 - random.nextDouble());
          case LOGNORMAL -> {
            double variance = Math.log(1 + spread * spread);
            double normal = random.nextGaussian();
            yield meanMillis * Math.exp(Math.sqrt(variance) * normal - variance / 2);
          }
        };
    return (long) (millis * 1e6);
  }
}
