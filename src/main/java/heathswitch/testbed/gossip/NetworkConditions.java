package heathswitch.testbed.gossip;

/**
 * What becomes of datagrams between instances.
 *
 * @param lost part of them that never comes
 * @param twice part that comes a second time, by a way of its own
 * @param fromNanos least time on the way, and {@code toNanos} the most, so that some overtake
 */
record NetworkConditions(double lost, double twice, long fromNanos, long toNanos) {
  static final NetworkConditions FAIR = new NetworkConditions(0, 0, 200_000, 5_000_000);
  static final NetworkConditions FOUL = new NetworkConditions(0.2, 0.1, 200_000, 250_000_000);
}
