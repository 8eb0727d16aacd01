package heathswitch.policy.subsetting;

import java.util.SplittableRandom;

/** Chance that is the same wherever two names are the same (rendezvous hashing). */
final class RendezvousHash {
  private RendezvousHash() {}

  /**
   * How badly a pair suits: exponentially distributed, so that among several the least one falls to
   * each by its weight.
   */
  static double cost(int instance, int server, double weight) {
    long both = (long) instance << 32 | server & 0xffffffffL;
    double drawn = (new SplittableRandom(both).nextLong() >>> 11) * 0x1.0p-53 + 0x1.0p-54;
    // The strict one: the last bit must not depend on the machine that computes it.
    return -StrictMath.log(drawn) / weight;
  }
}
