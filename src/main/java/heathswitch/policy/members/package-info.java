/**
 * Policy for lists of servers: whether a new list is accepted, refused, or held back until an
 * operator confirms it, and how servers that left the list are drained. Free of I/O, clocks and
 * threads: times are passed as arguments.
 */
package heathswitch.policy.members;
