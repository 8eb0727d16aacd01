package heathswitch.proxy.grpc;

/**
 * Limits the bytes of messages that all calls together may buffer. Must only be used on the event
 * loop.
 */
final class BufferBudget {
  private final long maxBytes;
  private long freeBytes;

  BufferBudget(long maxBytes) {
    this.maxBytes = maxBytes;
    freeBytes = maxBytes;
  }

  /** Reserves the bytes and returns true, or reserves nothing and returns false. */
  boolean tryReserve(long bytes) {
    if (bytes > freeBytes) {
      return false;
    }
    freeBytes -= bytes;
    return true;
  }

  void release(long bytes) {
    freeBytes += bytes;
  }

  long freeBytes() {
    return freeBytes;
  }

  /** The status message for calls that fail because the budget is exhausted. */
  String exhaustedMessage() {
    return "all calls together hold "
        + maxBytes
        + " bytes, most_held of the balancer; come back later";
  }
}
