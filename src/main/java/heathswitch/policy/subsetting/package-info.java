/**
 * Which servers a balancer is to use, so that the choices of all add up: each computes the same
 * plan from what it knows of the others. No I/O, no clock, no thread.
 */
package heathswitch.policy.subsetting;
