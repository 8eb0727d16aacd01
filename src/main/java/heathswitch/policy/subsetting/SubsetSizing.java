package heathswitch.policy.subsetting;

/**
 * Sizes of the subsets. All balancers of a fleet must use the same values, or their plans differ.
 *
 * @param width mean number of servers in the subset of a balancer of mean load
 * @param minUsers minimum number of balancers that use each server, if the fleet has that many
 * @param minCells minimum number of cells in the subset of each balancer, if there are that many
 */
public record SubsetSizing(int width, int minUsers, int minCells) {
  /** For tens of balancers in front of tens or hundreds of servers. */
  public static final SubsetSizing DEFAULT = new SubsetSizing(16, 2, 2);
}
