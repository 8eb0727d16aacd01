/**
 * A replicated log: all instances apply the same entries in the same order, and an entry counts
 * once a majority of the voters has it on disk. No other package uses the library that implements
 * it (Apache Ratis); see {@code docs/design/work.md}.
 */
package heathswitch.proxy.consensus;
