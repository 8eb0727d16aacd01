/** What gRPC's statuses mean for the decision module. Free of I/O, clocks and threads. */
package heathswitch.policy.grpc;
