package heathswitch.policy.gossip;

/**
 * What a peer announces about itself.
 *
 * @param zone zone that it runs in
 * @param tier tier of servers that it balances
 * @param load requests per second that it receives; a value outside 0 to {@link #MAX_LOAD} is
 *     replaced by the nearest bound, NaN by 0
 * @param release latest protocol release that its program supports
 */
public record PeerAttributes(String zone, int tier, double load, int release) {
  /** More than any one process can receive; a higher announced load is capped to this. */
  public static final double MAX_LOAD = 1e6;

  public PeerAttributes {
    load = load >= 0 ? Math.min(load, MAX_LOAD) : 0;
  }
}
