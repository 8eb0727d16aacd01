/**
 * A gateway between sites: what this site has no room for goes over links to other sites, and what
 * they have no room for is served here. {@link heathswitch.policy.gateway.Gateway} decides; here
 * are the links (HTTP/2 over TLS 1.3, both sides named by certificates of the installation's own
 * authority), the calls on them, and what operators see.
 */
package heathswitch.proxy.gateway;
