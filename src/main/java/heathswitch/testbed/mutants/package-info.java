/** Mutation tests of the checkers: injects faults into copies of classes. */
package heathswitch.testbed.mutants;
