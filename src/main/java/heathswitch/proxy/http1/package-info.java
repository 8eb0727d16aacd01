/**
 * HTTP/1.1: strict decoders and header rules, clients' connections in front, connections to
 * upstreams behind, one exchange at a time on each.
 */
package heathswitch.proxy.http1;
