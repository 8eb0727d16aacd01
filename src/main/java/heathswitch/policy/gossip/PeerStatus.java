package heathswitch.policy.gossip;

/**
 * Status of a peer in the membership. Of two records with the same incarnation, the one whose
 * status is declared later here supersedes the other. Datagrams carry the ordinal.
 */
public enum PeerStatus {
  /** It answers probes, or another peer reports that it does. */
  ALIVE,
  /** A probe of it went unanswered; it still has time to refute the suspicion. */
  SUSPECT,
  /** It has announced that it leaves. */
  LEFT,
  /** It did not refute a suspicion in time. */
  DEAD;

  /** Whether a peer with this status counts as present. */
  public boolean isPresent() {
    return this == ALIVE || this == SUSPECT;
  }
}
