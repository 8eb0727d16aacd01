/** Runs balancers by events from standard input, for simulation. */
package heathswitch.policy.adapter;
