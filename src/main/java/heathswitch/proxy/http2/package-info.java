/**
 * HTTP/2 connections (RFC 9113), in the client or the server role, shared by the protocols on top:
 * gRPC and the links between sites. Framing, header compression and flow control are Netty's.
 */
package heathswitch.proxy.http2;
