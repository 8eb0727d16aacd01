/**
 * One log for several instances: entries are taken by all of them in one order, on disk before they
 * count. The library that keeps it (Apache Ratis) is known here alone; see {@code
 * docs/design/work.md}.
 */
package heathswitch.proxy.consensus;
