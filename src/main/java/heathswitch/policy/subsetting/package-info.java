/**
 * Deterministic subsetting: each balancer of a fleet computes the same plan from what it knows of
 * the others, so that their subsets together load all servers evenly. No I/O, clocks or threads.
 */
package heathswitch.policy.subsetting;
