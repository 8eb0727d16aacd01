/**
 * Checks of maintenance orders. A simulation runs the real modules of several instances with one
 * log in virtual time, under fault injection at every step; a measurement runs several processes.
 */
package heathswitch.testbed.maintenance;
