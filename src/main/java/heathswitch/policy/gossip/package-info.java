/**
 * Membership of the balancers by gossip: the SWIM protocol with the extensions of Lifeguard (Das,
 * Gupta and Motivala 2002; Dadgar, Phillips and Currey 2018). Free of I/O, clocks and threads.
 */
package heathswitch.policy.gossip;
