package heathswitch.policy.gossip;

/**
 * What is said of one peer.
 *
 * @param process drawn by each process: two that go by one name differ in it
 * @param incarnation grows with whatever the peer says anew of itself; it alone makes it grow
 */
public record PeerRecord(
    String name,
    String address,
    long process,
    long incarnation,
    PeerStatus standing,
    PeerAttributes attributes) {
  /** Whether this word goes before another of the same peer. */
  boolean before(PeerRecord other) {
    if (incarnation != other.incarnation) {
      return incarnation > other.incarnation;
    }
    // Two by one name may have come to the same: all have to hold the same one of them.
    return process != other.process
        ? process > other.process
        : standing.compareTo(other.standing) > 0;
  }

  PeerRecord as(PeerStatus now) {
    return new PeerRecord(name, address, process, incarnation, now, attributes);
  }
}
