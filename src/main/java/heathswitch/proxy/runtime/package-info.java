/**
 * Basics shared by all parts of the process: log, clock, signals, listeners and resource limits.
 */
package heathswitch.proxy.runtime;
