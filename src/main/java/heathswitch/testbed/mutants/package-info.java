/** Faults put into copies of classes, to see that a checker finds them. */
package heathswitch.testbed.mutants;
