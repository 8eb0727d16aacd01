/** Gossip among many instances in virtual time, with faults between them. */
package heathswitch.testbed.gossip;
