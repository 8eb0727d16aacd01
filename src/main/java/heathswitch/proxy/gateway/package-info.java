/**
 * A gateway between sites: calls that this site has no room for overflow over links to peer sites,
 * and calls that peer sites have no room for are served here. {@link
 * heathswitch.policy.gateway.Gateway} makes the decisions. This package has the links (HTTP/2 over
 * TLS 1.3 with mutual authentication by certificates of the installation's own authority), the
 * calls on them, and the operators' view.
 */
package heathswitch.proxy.gateway;
