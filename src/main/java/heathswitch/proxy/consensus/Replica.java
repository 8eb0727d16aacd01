package heathswitch.proxy.consensus;

/**
 * The state that each instance computes from the replicated log, the same on all instances. Calls
 * come one at a time, in log order, from the log's thread; an exception stops the log on this
 * instance for good.
 */
public interface Replica {
  /**
   * Applies a committed entry.
   *
   * @param index its index in the log
   * @param stampMillis when the leader accepted the entry, in the log's own time; negative if that
   *     time is not reliable
   * @return the answer for the submitter of the entry
   */
  byte[] apply(long index, long stampMillis, byte[] entry);

  /** Serializes the whole state. */
  byte[] toSnapshot();

  /** Replaces the state by that of a snapshot. */
  void restore(byte[] snapshot);
}
