/**
 * Maintenance of machines, this balancer's part: the decisions are those of {@code
 * heathswitch.policy.maintenance}, the log is kept by {@code heathswitch.proxy.consensus}; see
 * {@code docs/design/work.md}.
 */
package heathswitch.proxy.maintenance;
