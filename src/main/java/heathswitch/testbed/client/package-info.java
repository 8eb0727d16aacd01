/** Load generators and the ledger of their calls. */
package heathswitch.testbed.client;
