/**
 * Who is there among the balancers, by gossip (SWIM with the additions of Lifeguard; Das, Gupta and
 * Motivala 2002, Dadgar, Phillips and Currey 2018). Free of I/O, clock and threads.
 */
package heathswitch.policy.gossip;
