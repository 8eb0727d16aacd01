package heathswitch.policy.gossip;

/**
 * How often and how patiently peers ask each other.
 *
 * @param periodNanos between two probes of one instance
 * @param answerNanos for an answer to a probe, before others are asked to try
 * @param relays how many of them
 * @param suspicionPeriods least time to refute a suspicion, in periods, for each power of ten of
 *     the fleet's size; six times that where nobody else suspects
 * @param forgetNanos for which one that died or left is remembered, so that old news of it do not
 *     bring it back
 */
public record GossipTiming(
    long periodNanos, long answerNanos, int relays, double suspicionPeriods, long forgetNanos) {
  /** For ways of a few milliseconds. */
  public static final GossipTiming NEAR =
      new GossipTiming(1_000_000_000L, 300_000_000L, 3, 6, 300_000_000_000L);
}
