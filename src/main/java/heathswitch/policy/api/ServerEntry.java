package heathswitch.policy.api;

/**
 * One line of the server list.
 *
 * @param startedNanos clock time of the last start, or 0 for long ago
 * @param protocols the protocols that it takes, a {@link RequestProtocol#protocolBit} bit for each
 * @param role whether this balancer is to use it
 */
public record ServerEntry(
    long id,
    String zone,
    String kind,
    long cell,
    Health health,
    double weight,
    long startedNanos,
    int protocols,
    SubsetRole role) {

  /** One of which nothing is said who is to use it. */
  public ServerEntry(
      long id,
      String zone,
      String kind,
      long cell,
      Health health,
      double weight,
      long startedNanos,
      int protocols) {
    this(id, zone, kind, cell, health, weight, startedNanos, protocols, SubsetRole.ANY);
  }

  /** Likewise one that speaks HTTP/1.1 alone. */
  public ServerEntry(
      long id,
      String zone,
      String kind,
      long cell,
      Health health,
      double weight,
      long startedNanos) {
    this(id, zone, kind, cell, health, weight, startedNanos, RequestProtocol.HTTP1.protocolBit());
  }

  public ServerEntry {
    Settings.require(
        protocols > 0 && protocols < RequestProtocol.PROTOCOL_SETS, "members[].speaks");
  }
}
