package heathswitch.policy.gossip;

/**
 * What a peer says of itself.
 *
 * @param zone where it is
 * @param tier before which it stands
 * @param load calls a second that come to it; what is not a number from 0 to {@link #MOST_LOAD}
 *     counts as the nearest one
 * @param release the latest form that its program knows
 */
public record PeerAttributes(String zone, int tier, double load, int release) {
  /** More than any one process can take; who says more is not believed. */
  public static final double MOST_LOAD = 1e6;

  public PeerAttributes {
    load = load >= 0 ? Math.min(load, MOST_LOAD) : 0;
  }
}
