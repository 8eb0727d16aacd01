package heathswitch.proxy.dispatch;

import heathswitch.policy.api.Form;
import heathswitch.policy.api.Health;
import heathswitch.policy.api.Part;
import heathswitch.policy.api.ServerEntry;
import java.net.InetSocketAddress;

/**
 * One upstream as a list names it.
 *
 * @param address where it speaks HTTP/1.1, or null where it does not; one that is gone has neither
 * @param grpcAddress where it speaks gRPC, or null where it does not
 * @param startedMillis Unix time of its last start, 0 for long ago
 * @param part whether this balancer is to use it, one among others
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
    Part part) {
  /** One of which nothing is said who is to use it. */
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
    this(id, address, grpcAddress, health, zone, kind, cell, weight, startedMillis, Part.ANY);
  }

  /** The same upstream with another standing. */
  public Member with(Health nowHealth, long nowStartedMillis) {
    return nowHealth == health && nowStartedMillis == startedMillis
        ? this
        : new Member(
            id, address, grpcAddress, nowHealth, zone, kind, cell, weight, nowStartedMillis, part);
  }

  /** The same upstream with another part in what this balancer uses. */
  public Member with(Part nowPart, double nowWeight) {
    return new Member(
        id, address, grpcAddress, health, zone, kind, cell, nowWeight, startedMillis, nowPart);
  }

  ServerEntry toServerEntry(long number) {
    int speaks =
        protocols() == 0 ? Form.HTTP1.protocol() : protocols(); // Of no matter once it is gone.
    return new ServerEntry(
        number, zone, kind, cell, health, weight, startedMillis * 1_000_000L, speaks, part);
  }

  /** A bit for each protocol that it has an address for. */
  int protocols() {
    return (address == null ? 0 : Form.HTTP1.protocol())
        | (grpcAddress == null ? 0 : Form.GRPC.protocol());
  }
}
