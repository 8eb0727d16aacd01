/**
 * A balancer among others uses a part of the servers: what {@link heathswitch.policy.subsetting}
 * decides, laid over the lists, and shown to people and programs.
 */
package heathswitch.proxy.subsetting;
