/**
 * Machines taken out for work: this balancer's part. {@code heathswitch.policy.maintenance}
 * settles, the log is kept by {@code heathswitch.proxy.consensus}; see {@code docs/design/work.md}.
 */
package heathswitch.proxy.maintenance;
