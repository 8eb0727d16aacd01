/**
 * Maintenance of machines: the state that every balancer computes alike from one replicated log of
 * commands, and the protocol by which an instance takes part. Free of input, output, clocks and
 * threads; see {@code docs/design/work.md}.
 */
package heathswitch.policy.maintenance;
