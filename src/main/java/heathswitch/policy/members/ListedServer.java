package heathswitch.policy.members;

/**
 * One server as a list names it.
 *
 * @param address numeric address and port in canonical form, after {@link #GRPC_ONLY_PREFIX} for
 *     one that speaks gRPC there and nothing else; two servers never share one
 * @param weight part of the calls that it is due, against that of others
 * @param grpcPort port at which it speaks gRPC too, on the same address, or 0
 * @param inService false for one that finishes what it has and wants nothing new
 */
public record ListedServer(
    String id,
    String address,
    String zone,
    String kind,
    long cell,
    double weight,
    boolean inService,
    int grpcPort) {

  /** Stands before the address of a server that speaks gRPC alone. */
  public static final String GRPC_ONLY_PREFIX = "grpc://";

  /** One that speaks no gRPC beside what it speaks at its address. */
  public ListedServer(
      String id,
      String address,
      String zone,
      String kind,
      long cell,
      double weight,
      boolean inService) {
    this(id, address, zone, kind, cell, weight, inService, 0);
  }

  /** Whether gRPC is all that it speaks. */
  public boolean grpcOnly() {
    return address.startsWith(GRPC_ONLY_PREFIX);
  }

  /** Numeric address and port, whatever is spoken there. */
  public String endpoint() {
    return grpcOnly() ? address.substring(GRPC_ONLY_PREFIX.length()) : address;
  }

  /** One process: a server that comes back under its id at another address is another one. */
  String process() {
    return id + '@' + address;
  }
}
