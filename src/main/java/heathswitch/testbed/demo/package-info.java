/** The demo command of the test bed. */
package heathswitch.testbed.demo;
