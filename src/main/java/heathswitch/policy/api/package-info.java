/** Interface between the balancing policy and its host: settings, events and actions. */
package heathswitch.policy.api;
