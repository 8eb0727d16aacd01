package heathswitch.proxy.dispatch;

import heathswitch.policy.api.Health;
import heathswitch.policy.api.RequestProtocol;
import heathswitch.policy.api.ServerEntry;
import heathswitch.policy.api.SubsetRole;
import java.net.InetSocketAddress;

/**
 * An upstream's entry in a list.
 *
 * @param address the address for HTTP/1.1, or null if not spoken; a removed upstream has neither
 *     address
 * @param grpcAddress the address for gRPC, or null if not spoken
 * @param startedMillis Unix time of the last start, 0 for long ago
 * @param part whether this balancer, among several, is to use the upstream
 */
public record Member(
    String id,
    InetSocketAddress address,
    InetSocketAddress grpcAddress,
    Health health,
    String zone,
    String kind,
    long cell,
    double weight,
    long startedMillis,
    SubsetRole part) {
  /** Creates an entry that any balancer may use. */
  public Member(
      String id,
      InetSocketAddress address,
      InetSocketAddress grpcAddress,
      Health health,
      String zone,
      String kind,
      long cell,
      double weight,
      long startedMillis) {
    this(id, address, grpcAddress, health, zone, kind, cell, weight, startedMillis, SubsetRole.ANY);
  }

  /** Returns this entry with the given health and start time. */
  public Member withHealth(Health newHealth, long newStartedMillis) {
    return newHealth == health && newStartedMillis == startedMillis
        ? this
        : new Member(
            id, address, grpcAddress, newHealth, zone, kind, cell, weight, newStartedMillis, part);
  }

  /** Returns this entry with the given part and weight. */
  public Member withPart(SubsetRole newPart, double newWeight) {
    return new Member(
        id, address, grpcAddress, health, zone, kind, cell, newWeight, startedMillis, newPart);
  }

  ServerEntry toServerEntry(long serverId) {
    // The value is irrelevant for a removed upstream.
    int protocols = protocols() == 0 ? RequestProtocol.HTTP1.protocolBit() : protocols();
    return new ServerEntry(
        serverId, zone, kind, cell, health, weight, startedMillis * 1_000_000L, protocols, part);
  }

  /** Bit set of the protocols that the upstream has an address for. */
  int protocols() {
    return (address == null ? 0 : RequestProtocol.HTTP1.protocolBit())
        | (grpcAddress == null ? 0 : RequestProtocol.GRPC.protocolBit());
  }
}
