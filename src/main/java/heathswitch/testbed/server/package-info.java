/** Simulated servers with configurable service times, cold starts and faults. */
package heathswitch.testbed.server;
