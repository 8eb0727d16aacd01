package heathswitch.policy.gossip;

/** What is held of a peer; of two words of one incarnation the later one here goes. */
public enum PeerStatus {
  /** It answers, or somebody says so. */
  ALIVE,
  /** Somebody had no answer from it; it has time to say that it is there. */
  SUSPECT,
  /** It has said that it goes. */
  LEFT,
  /** It has not said in time that it is there. */
  DEAD;

  /** Whether it counts as there. */
  public boolean there() {
    return this == ALIVE || this == SUSPECT;
  }
}
