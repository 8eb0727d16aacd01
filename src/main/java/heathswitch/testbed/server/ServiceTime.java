package heathswitch.testbed.server;

import java.util.SplittableRandom;

/**
 * Distribution of the time that a core works on a request.
 *
 * @param meanMillis mean of the distribution
 * @param variationCoefficient standard deviation divided by the mean, for the lognormal
 *     distribution
 */
public record ServiceTime(
    Distribution distribution, double meanMillis, double variationCoefficient) {
  /** Shape of the distribution. */
  public enum Distribution {
    FIXED,
    EXPONENTIAL,
    LOGNORMAL
  }

  public static ServiceTime fixed(double millis) {
    return new ServiceTime(Distribution.FIXED, millis, 0);
  }

  public static ServiceTime exponential(double meanMillis) {
    return new ServiceTime(Distribution.EXPONENTIAL, meanMillis, 1);
  }

  public static ServiceTime lognormal(double meanMillis, double variationCoefficient) {
    return new ServiceTime(Distribution.LOGNORMAL, meanMillis, variationCoefficient);
  }

  /** Draws one service time in nanoseconds. */
  long sampleNanos(SplittableRandom random) {
    double millis =
        switch (distribution) {
          case FIXED -> meanMillis;
          case EXPONENTIAL -> -meanMillis * Math.log(1 - random.nextDouble());
          case LOGNORMAL -> {
            double variance = Math.log(1 + variationCoefficient * variationCoefficient);
            double normal = random.nextGaussian();
            yield meanMillis * Math.exp(Math.sqrt(variance) * normal - variance / 2);
          }
        };
    return (long) (millis * 1e6);
  }
}
