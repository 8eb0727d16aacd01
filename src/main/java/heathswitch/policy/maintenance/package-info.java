/**
 * Machines taken out for work: the state that every balancer computes alike from one log of
 * commands. Free of input, output, clocks and threads; see {@code docs/design/work.md}.
 */
package heathswitch.policy.maintenance;
