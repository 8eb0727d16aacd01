/**
 * Executes the actions of the decision module: tracks requests and their attempts, and reports
 * every event back to the module.
 */
package heathswitch.proxy.dispatch;
