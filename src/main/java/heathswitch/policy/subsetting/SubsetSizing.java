package heathswitch.policy.subsetting;

/**
 * How wide balancers choose; the same for all of them, or their plans differ.
 *
 * @param width servers of a balancer of mean load, on the mean
 * @param users no server has fewer balancers that use it, where there are as many
 * @param domains no balancer uses servers in fewer cells, where there are as many
 */
public record SubsetSizing(int width, int users, int domains) {
  /** For tens of balancers before tens or hundreds of servers. */
  public static final SubsetSizing DEFAULT = new SubsetSizing(16, 2, 2);
}
