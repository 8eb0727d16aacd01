/**
 * The rig: stand-in servers, an open-loop client and measurements, all of them on loopback. The
 * balancer loads nothing of it.
 */
package heathswitch.testbed;
