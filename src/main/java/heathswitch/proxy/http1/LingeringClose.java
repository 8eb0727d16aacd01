package heathswitch.proxy.http1;

/**
 * Limits of a lingering close. After the last answer on a connection, further input is read and
 * discarded for a limited time and up to a limited number of bytes. Closing a socket with unread
 * input sends a TCP reset, which can destroy the part of the answer that the client has not read.
 */
enum LingeringClose {
  /** After an answer: gives the client time to read it. */
  AFTER_ANSWER(500_000_000L, 1L << 20),
  /** Between requests: no answer is outstanding on the connection. */
  BETWEEN_REQUESTS(200_000_000L, 1L << 20),
  /** While the client still sends a long body, so that it gets to read its answer. */
  DURING_UPLOAD(2_000_000_000L, ClientConnection.MAX_BODY_BYTES);

  /** Longest time from the last answer to the close. */
  final long timeoutNanos;

  /** A client that sends more is disconnected; it will notice nothing but the reset. */
  private final long maxBytes;

  LingeringClose(long timeoutNanos, long maxBytes) {
    this.timeoutNanos = timeoutNanos;
    this.maxBytes = maxBytes;
  }

  /** Whether the byte limit is exceeded. */
  boolean mustCloseNow(long discardedBytes) {
    return discardedBytes > maxBytes;
  }
}
