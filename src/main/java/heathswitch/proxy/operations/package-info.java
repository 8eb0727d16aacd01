/**
 * Operating a running balancer on the platform: the HTTP console, suspending upstreams, draining,
 * and upgrades, in which one process of the balancer takes over from another.
 */
package heathswitch.proxy.operations;
