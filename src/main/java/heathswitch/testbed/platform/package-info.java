/**
 * The platform's side of a balancer, implemented from the protocol page: a discovery stub with a
 * call queue and outages, balancer processes with their configurations and signals, fault
 * injection, and a soak test that checks the rules of the platform.
 */
package heathswitch.testbed.platform;
