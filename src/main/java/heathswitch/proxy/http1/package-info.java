/**
 * HTTP/1.1: strict decoders, header rules, the listener and its client connections, and the pool of
 * upstream connections. Every connection carries one exchange at a time.
 */
package heathswitch.proxy.http1;
