/**
 * A model checker for the dispatcher and the decision module: plays all sequences of events up to a
 * given depth in virtual time, checks invariants, and measures by mutation testing whether injected
 * faults are detected.
 */
package heathswitch.testbed.explore;
