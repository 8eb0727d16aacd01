package heathswitch.proxy.http1;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Limits the memory that one kind of content, such as the heads of messages, occupies on all
 * connections together. When the limit is exceeded, the connection with the most gives up what
 * nothing depends on yet, such as a head that has not been received completely.
 */
final class MemoryBudget {
  /** Limit for the heap of heads. */
  static final long HEAD_BYTES = 5L << 20;

  /** Limit for bodies that are being received and have reserved no memory. */
  static final long BODY_BYTES = 10L << 20;

  /** Limit for answers that are buffered. */
  static final long ANSWER_BYTES = 8L << 20;

  /** Connections with less than this are not counted; their number is low enough for that. */
  static final long UNCOUNTED_BYTES = 8 << 10;

  /** A connection whose heads are counted. */
  interface Holder {
    /** Whether it can give up memory without losing a request that it has accepted. */
    boolean canReleaseMemory();

    /** Gives up that memory. */
    void releaseMemory();
  }

  private final long maxBytes;
  private final Map<Holder, Long> bytesByHolder = new LinkedHashMap<>();
  private long usedBytes;
  private boolean releasing;

  MemoryBudget(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** Sets the bytes that a connection holds, and enforces the limit. */
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
    return usedBytes > maxBytes;
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
        largest.releaseMemory();
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
      if (entry.getValue() > largestBytes && entry.getKey().canReleaseMemory()) {
        largest = entry.getKey();
        largestBytes = entry.getValue();
      }
    }
    return largest;
  }
}
