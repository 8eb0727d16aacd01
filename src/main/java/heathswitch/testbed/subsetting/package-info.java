/** Ways to give each balancer a part of the servers, compared by figures; see the design note. */
package heathswitch.testbed.subsetting;
