/**
 * Fleets of several balancer processes that communicate through fault-injecting proxies, and a
 * history of what servers, callers and operators observed.
 */
package heathswitch.testbed.fleet;
