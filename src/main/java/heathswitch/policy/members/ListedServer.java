package heathswitch.policy.members;

/**
 * One server as described by an entry of a list.
 *
 * @param address numeric address and port in canonical form, prefixed with {@link
 *     #GRPC_ONLY_PREFIX} if the server speaks nothing but gRPC there; unique within a list
 * @param weight share of the calls it should receive, relative to the other servers' weights
 * @param grpcPort additional port on the same address at which the server speaks gRPC, or 0
 * @param inService false for a server that finishes its requests and must not get new ones
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

  /** Prefix of the address of a server that speaks only gRPC. */
  public static final String GRPC_ONLY_PREFIX = "grpc://";

  /** Creates a server without an additional gRPC port. */
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

  /** Whether the server speaks nothing but gRPC. */
  public boolean grpcOnly() {
    return address.startsWith(GRPC_ONLY_PREFIX);
  }

  /** Numeric address and port, without the gRPC prefix. */
  public String endpoint() {
    return grpcOnly() ? address.substring(GRPC_ONLY_PREFIX.length()) : address;
  }

  /** Identifies the process behind the entry: the same id at another address is another process. */
  String processKey() {
    return id + '@' + address;
  }
}
