package heathswitch.proxy.http1;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Limits the heap that the heads of messages occupy on all connections together. When the limit is
 * exceeded, the connection with the largest heads gives up those that nothing depends on yet, such
 * as a head that has not been received completely.
 */
final class HeadMemoryBudget {
  /** Limit of the counted bytes of all connections. */
  static final long MAX_BYTES = 5L << 20;

  /**
   * Connections with smaller heads than this are not counted; the number of connections is low
   * enough for that.
   */
  static final long UNCOUNTED_BYTES = 8 << 10;

  /** A connection whose heads are counted. */
  interface Holder {
    /** Whether it has heads that it can give up without losing a request that it has accepted. */
    boolean canReleaseHeads();

    /** Gives up such heads. */
    void releaseHeads();
  }

  private final Map<Holder, Long> bytesByHolder = new LinkedHashMap<>();
  private long usedBytes;
  private boolean releasing;

  /** Sets the bytes of the heads that a connection holds, and enforces the limit. */
  void update(Holder holder, long bytes) {
    Long previous =
        bytes > UNCOUNTED_BYTES ? bytesByHolder.put(holder, bytes) : bytesByHolder.remove(holder);
    usedBytes += (bytes > UNCOUNTED_BYTES ? bytes : 0) - (previous == null ? 0 : previous);
    if (isExceeded() && !releasing) {
      releaseLargest();
    }
  }

  /** Whether the limit is exceeded although everything that can be released has been. */
  boolean isExceeded() {
    return usedBytes > MAX_BYTES;
  }

  long usedBytes() {
    return usedBytes;
  }

  private void releaseLargest() {
    releasing = true; // A release updates the bytes of its connection.
    try {
      for (Holder largest = largestReleasable();
          isExceeded() && largest != null;
          largest = largestReleasable()) {
        largest.releaseHeads();
        update(largest, 0);
      }
    } finally {
      releasing = false;
    }
  }

  private Holder largestReleasable() {
    Holder largest = null;
    long largestBytes = 0;
    for (Map.Entry<Holder, Long> entry : bytesByHolder.entrySet()) {
      if (entry.getValue() > largestBytes && entry.getKey().canReleaseHeads()) {
        largest = entry.getKey();
        largestBytes = entry.getValue();
      }
    }
    return largest;
  }
}
