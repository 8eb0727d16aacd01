/**
 * What is settled of work orders, explored in virtual time: the real modules of several instances,
 * one log between them, and faults wherever something is on its way.
 */
package heathswitch.testbed.maintenance;
