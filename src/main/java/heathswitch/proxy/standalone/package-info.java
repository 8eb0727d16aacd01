/** A standalone balancer: its configuration file, and the assembly of its subsystems. */
package heathswitch.proxy.standalone;
