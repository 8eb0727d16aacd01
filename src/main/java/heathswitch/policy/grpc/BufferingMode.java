package heathswitch.policy.grpc;

/**
 * When a call or its answer is no longer buffered but forwarded as it arrives. As long as it is
 * buffered, a call can be sent to another server, and an answer can be replaced by that of another
 * attempt. The protocol does not announce whether a method is unary or streaming; only the traffic
 * shows it.
 */
public enum BufferingMode {
  /** Detected from the traffic: treated as a single message until there is evidence of a stream. */
  AUTO,
  /** Buffered completely, within the maximum message size. */
  UNARY,
  /** Never buffered. */
  STREAM;

  /**
   * Returns whether a call or answer that has not ended is forwarded from now on.
   *
   * @param messages the messages begun so far
   * @param bytes the bytes buffered so far
   * @param maxBytes the bytes to buffer at most of what may be a stream
   */
  public boolean shouldForward(long messages, long bytes, long maxBytes) {
    return this == STREAM || this == AUTO && (messages > 1 || bytes > maxBytes);
  }

  /** Returns whether a call or answer that has not ended within the buffering time is forwarded. */
  public boolean forwardsAfterTimeout() {
    return this != UNARY;
  }
}
