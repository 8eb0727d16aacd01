/**
 * Which upstreams operators have taken out and put back, and what a listed upstream then counts
 * for. Free of input, output and clocks.
 */
package heathswitch.policy.rotation;
