/**
 * This balancer among the others: the gossip of {@link heathswitch.policy.gossip} over datagrams
 * that only holders of a common key can make, see {@code docs/design/subsets.md}.
 */
package heathswitch.proxy.gossip;
