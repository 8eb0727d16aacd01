/**
 * Upstreams that operators have taken out of rotation and put back, and the state of a listed
 * upstream that follows from it. No input, output or clocks.
 */
package heathswitch.policy.rotation;
