/**
 * One connection over HTTP/2 (RFC 9113), of either side, for the protocols that lie over it: gRPC
 * and the links between sites. Framing, header compression and flow control are Netty's.
 */
package heathswitch.proxy.http2;
