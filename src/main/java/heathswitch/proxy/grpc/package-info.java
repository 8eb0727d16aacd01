/**
 * gRPC over HTTP/2 with prior knowledge, in front and towards upstreams, through the same
 * dispatcher and module as HTTP/1.1. Framing, header compression and flow control are Netty's.
 */
package heathswitch.proxy.grpc;
