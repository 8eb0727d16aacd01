package heathswitch.policy.api;

/**
 * One entry of the server list.
 *
 * @param startedNanos clock time of the last start, or 0 for long ago
 * @param protocols the protocols that it supports, one {@link RequestProtocol#protocolBit} bit for
 *     each
 * @param role its role for this balancer
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

  /** An entry that is not assigned to a subset. */
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

  /** An entry that is not assigned to a subset and supports HTTP/1.1 only. */
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
