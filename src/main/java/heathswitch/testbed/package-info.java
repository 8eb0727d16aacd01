/**
 * The test bed: simulated servers, load generators, fault injection and measurements, all on
 * loopback. The balancer does not depend on it.
 */
package heathswitch.testbed;
