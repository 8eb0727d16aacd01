/**
 * Servers from watched files. The files are read and judged on a thread of their own; the event
 * loop hears of accepted lists alone, in slices. What is accepted is decided by {@link
 * heathswitch.policy.members}.
 */
package heathswitch.proxy.members;
