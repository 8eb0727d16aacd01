/**
 * What becomes of a new list of servers: taken, refused, or held back until a person confirms it;
 * and how servers that left are drained. Free of I/O, clocks and threads: times come in as
 * arguments.
 */
package heathswitch.policy.members;
