package heathswitch.policy.gossip;

/**
 * State of one peer, as it is disseminated by gossip.
 *
 * @param processNonce random number that each process draws at its start; it tells apart two
 *     processes that use the same name
 * @param incarnation version of the peer's own announcements; only the peer itself increases it
 */
public record PeerRecord(
    String name,
    String address,
    long processNonce,
    long incarnation,
    PeerStatus status,
    PeerAttributes attributes) {
  /** Whether this record replaces another record of the same peer. */
  boolean supersedes(PeerRecord other) {
    if (incarnation != other.incarnation) {
      return incarnation > other.incarnation;
    }
    // Two processes with one name may reach the same incarnation; all peers must pick the same one.
    return processNonce != other.processNonce
        ? processNonce > other.processNonce
        : status.compareTo(other.status) > 0;
  }

  PeerRecord withStatus(PeerStatus newStatus) {
    return new PeerRecord(name, address, processNonce, incarnation, newStatus, attributes);
  }
}
