/**
 * The balancer as it runs on the platform: reads the configuration file, gets the list of upstreams
 * from discovery and reloads the configuration at SIGHUP.
 */
package heathswitch.proxy.platform;
