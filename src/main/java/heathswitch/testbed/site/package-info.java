/**
 * What lies between sites: ways that take time, lose things and break, and an authority for them.
 */
package heathswitch.testbed.site;
