/**
 * The decisions of a gateway between sites: what goes to which other site, what is taken from
 * there, when a link that broke is used again. Free of I/O, clocks and threads.
 */
package heathswitch.policy.gateway;
