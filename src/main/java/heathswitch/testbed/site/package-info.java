/**
 * The network between sites: proxies that inject delays, losses and broken connections, and a
 * certificate authority.
 */
package heathswitch.testbed.site;
