/** Simulates the gossip of many instances in virtual time, with faults between them. */
package heathswitch.testbed.gossip;
