package heathswitch.policy.api;

/**
 * One line of the server list.
 *
 * @param startedNanos clock time of the last start, or 0 for long ago
 * @param speaks the protocols that it takes, a {@link Form#protocol} bit for each
 * @param part whether this balancer is to use it
 */
public record ServerEntry(
    long id,
    String zone,
    String kind,
    long cell,
    Health health,
    double weight,
    long startedNanos,
    int speaks,
    Part part) {

  /** One of which nothing is said who is to use it. */
  public ServerEntry(
      long id,
      String zone,
      String kind,
      long cell,
      Health health,
      double weight,
      long startedNanos,
      int speaks) {
    this(id, zone, kind, cell, health, weight, startedNanos, speaks, Part.ANY);
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
    this(id, zone, kind, cell, health, weight, startedNanos, Form.HTTP1.protocol());
  }

  public ServerEntry {
    Settings.require(speaks > 0 && speaks < Form.MIXES, "members[].speaks");
  }
}
