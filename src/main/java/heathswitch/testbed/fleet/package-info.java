/**
 * Several processes of the program with every way between them in the rig's hand, and a history of
 * what servers, callers and operators saw.
 */
package heathswitch.testbed.fleet;
