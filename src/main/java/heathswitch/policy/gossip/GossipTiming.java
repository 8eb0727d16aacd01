package heathswitch.policy.gossip;

/**
 * Intervals and timeouts of the failure detector.
 *
 * @param probePeriodNanos time between two probes of one instance
 * @param ackTimeoutNanos time to wait for the ack of a direct probe before other peers are asked
 *     for indirect probes
 * @param indirectProbes how many peers are asked for an indirect probe
 * @param suspicionPeriods minimum time to refute a suspicion, in probe periods, for each power of
 *     ten of the fleet's size; six times as long while no other peer confirms the suspicion
 * @param retentionNanos how long a dead peer, or one that left, is remembered, so that outdated
 *     updates about it do not bring it back
 */
public record GossipTiming(
    long probePeriodNanos,
    long ackTimeoutNanos,
    int indirectProbes,
    double suspicionPeriods,
    long retentionNanos) {
  /** For networks with a latency of a few milliseconds. */
  public static final GossipTiming LOCAL_NETWORK =
      new GossipTiming(1_000_000_000L, 300_000_000L, 3, 6, 300_000_000_000L);
}
