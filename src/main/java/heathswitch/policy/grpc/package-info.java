/**
 * How gRPC status codes map to outcomes for the decision module, and when streams are forwarded.
 * Free of I/O, clocks and threads.
 */
package heathswitch.policy.grpc;
