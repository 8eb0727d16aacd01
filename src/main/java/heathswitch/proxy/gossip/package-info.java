/**
 * This balancer's membership among its peers: carries the gossip of {@link
 * heathswitch.policy.gossip} in datagrams that only holders of a shared key can create; see {@code
 * docs/design/subsets.md}.
 */
package heathswitch.proxy.gossip;
