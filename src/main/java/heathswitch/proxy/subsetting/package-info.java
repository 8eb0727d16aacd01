/**
 * Subsetting in a running balancer: lays the subset that {@link heathswitch.policy.subsetting}
 * selects over the server lists, and serves it on admin pages and as metrics.
 */
package heathswitch.proxy.subsetting;
