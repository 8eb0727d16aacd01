/** Assembles a running balancer on one event loop, and drains and stops it. */
package heathswitch.proxy.node;
