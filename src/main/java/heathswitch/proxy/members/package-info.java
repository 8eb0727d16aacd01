/**
 * Lists of servers from watched files. The files are read and validated on a separate thread; the
 * event loop only gets the changes of accepted lists, in slices. Whether a list is accepted is
 * decided by {@link heathswitch.policy.members}.
 */
package heathswitch.proxy.members;
