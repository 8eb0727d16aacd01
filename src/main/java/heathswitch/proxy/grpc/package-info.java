/**
 * The gRPC listener and the connections to gRPC upstreams, over HTTP/2 with prior knowledge. Uses
 * the same dispatcher and load balancing module as HTTP/1.1. Netty does framing, header compression
 * and flow control.
 */
package heathswitch.proxy.grpc;
