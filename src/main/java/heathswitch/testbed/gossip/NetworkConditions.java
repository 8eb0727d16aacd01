package heathswitch.testbed.gossip;

/**
 * Loss, duplication and delay of datagrams between instances.
 *
 * @param lossRate share of datagrams that are lost
 * @param duplicateRate share of datagrams that arrive twice; each copy has its own delay
 * @param minDelayNanos minimum delay; with {@code maxDelayNanos} it sets a range, so that datagrams
 *     overtake each other
 */
record NetworkConditions(
    double lossRate, double duplicateRate, long minDelayNanos, long maxDelayNanos) {
  static final NetworkConditions NORMAL = new NetworkConditions(0, 0, 200_000, 5_000_000);
  static final NetworkConditions DEGRADED = new NetworkConditions(0.2, 0.1, 200_000, 250_000_000);
}
