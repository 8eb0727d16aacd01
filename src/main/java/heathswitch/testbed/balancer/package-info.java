/** Balancer processes started by the test bed, with their configuration and files. */
package heathswitch.testbed.balancer;
