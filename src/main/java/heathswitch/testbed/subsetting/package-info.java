/**
 * Compares subsetting strategies by measured properties, simulates fleets that use subsetting, and
 * measures them with real processes; see {@code docs/design/subsets.md}.
 */
package heathswitch.testbed.subsetting;
