/**
 * The platform's side of a balancer, written from the protocol page: discovery with its queue and
 * its outages, processes with their configurations and signals, and a checker of the rules.
 */
package heathswitch.testbed.platform;
