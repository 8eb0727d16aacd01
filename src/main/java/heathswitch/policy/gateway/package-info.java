/**
 * The decisions of a gateway between sites: which calls overflow to which peer site, which calls of
 * peer sites are admitted, and when a broken link is used again. Free of I/O, clocks and threads.
 */
package heathswitch.policy.gateway;
