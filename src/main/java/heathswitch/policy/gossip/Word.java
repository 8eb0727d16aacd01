package heathswitch.policy.gossip;

/**
 * What is said of one peer.
 *
 * @param process drawn by each process: two that go by one name differ in it
 * @param incarnation grows with whatever the peer says anew of itself; it alone makes it grow
 */
public record Word(
    String name, String address, long process, long incarnation, Standing standing, Facts facts) {
  /** Whether this word goes before another of the same peer. */
  boolean before(Word other) {
    if (incarnation != other.incarnation) {
      return incarnation > other.incarnation;
    }
    // Two by one name may have come to the same: all have to hold the same one of them.
    return process != other.process
        ? process > other.process
        : standing.compareTo(other.standing) > 0;
  }

  Word as(Standing now) {
    return new Word(name, address, process, incarnation, now, facts);
  }
}
