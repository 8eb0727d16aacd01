/**
 * What operators do with a running balancer on the platform: the console, upstreams taken out,
 * emptying, and the processes that follow one another.
 */
package heathswitch.proxy.operations;
