package heathswitch.policy.subsetting;

import java.util.SplittableRandom;

/**
 * Weighted rendezvous hashing of pairs of a balancer and a server. Every balancer of a fleet
 * computes the same scores from the same names.
 */
final class RendezvousHash {
  private RendezvousHash() {}

  /**
   * Score of a pair; the lowest score wins. Scores are exponentially distributed with the weight as
   * their rate, so each candidate wins with a probability proportional to its weight.
   */
  static double score(int instanceHash, int serverHash, double weight) {
    long pairSeed = (long) instanceHash << 32 | serverHash & 0xffffffffL;
    double uniform = (new SplittableRandom(pairSeed).nextLong() >>> 11) * 0x1.0p-53 + 0x1.0p-54;
    // StrictMath, because the last bit must not depend on the machine that computes the score.
    return -StrictMath.log(uniform) / weight;
  }
}
