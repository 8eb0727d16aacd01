package heathswitch.proxy.http1;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;

/**
 * How a connection that has been answered for the last time ends: what still comes on it is read
 * and thrown away, for some time and up to some bytes. A close over unread bytes is a reset, which
 * takes along what the client has not read of its answer.
 */
enum LingeringClose {
  /** After an answer: time for the client to read it. */
  AFTER_ANSWER(500_000_000L, 1L << 20),
  /** Between requests: nothing is owed on the connection. */
  BETWEEN_REQUESTS(200_000_000L, 1L << 20),
  /** For a client that still sends a long body, so that it gets to read its answer. */
  DURING_UPLOAD(2_000_000_000L, ClientConnection.MAX_BODY_BYTES);

  /** From the last answer to the close. */
  final long timeoutNanos;

  /** A client that sends more is cut off: a reset is all that it can notice. */
  private final long maxBytes;

  LingeringClose(long timeoutNanos, long maxBytes) {
    this.timeoutNanos = timeoutNanos;
    this.maxBytes = maxBytes;
  }

  /** Whether so many bytes, or a part that is none, end it at once. */
  boolean mustCloseNow(long discardedBytes, HttpObject part) {
    return discardedBytes > maxBytes || part.decoderResult().isFailure();
  }

  /** The bytes of a body in a part. */
  static long bodyBytes(HttpObject part) {
    return part instanceof HttpContent content ? content.content().readableBytes() : 0;
  }
}
