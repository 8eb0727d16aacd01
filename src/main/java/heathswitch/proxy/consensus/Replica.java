package heathswitch.proxy.consensus;

/**
 * What is computed from the log, alike on every instance. Calls come one at a time, in the log's
 * order, from a thread of the log; an exception stops the log on this instance for good.
 */
public interface Replica {
  /**
   * Takes an entry.
   *
   * @param index its number in the log
   * @param stampMillis when whoever led took it, on the log's own clock; negative where that is not
   *     to be relied on
   * @return what is told to whoever submitted it
   */
  byte[] apply(long index, long stampMillis, byte[] entry);

  /** All that was computed so far. */
  byte[] toSnapshot();

  /** Goes on from what was saved. */
  void restore(byte[] snapshot);
}
