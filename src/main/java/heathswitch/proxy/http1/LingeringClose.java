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
  ANSWERED(500_000_000L, 1L << 20),
  /** Between requests: nothing is owed on the connection. */
  AT_REST(200_000_000L, 1L << 20),
  /** For a client that still sends a long body, so that it gets to read its answer. */
  UPLOADING(2_000_000_000L, ClientConnection.MOST_BODY_BYTES);

  /** From the last answer to the close. */
  final long nanos;

  /** A client that sends more is cut off: a reset is all that it can notice. */
  private final long mostBytes;

  LingeringClose(long nanos, long mostBytes) {
    this.nanos = nanos;
    this.mostBytes = mostBytes;
  }

  /** Whether so many bytes, or a part that is none, end it at once. */
  boolean endsAt(long bytes, HttpObject part) {
    return bytes > mostBytes || part.decoderResult().isFailure();
  }

  /** The bytes of a body in a part. */
  static long bytes(HttpObject part) {
    return part instanceof HttpContent content ? content.content().readableBytes() : 0;
  }
}
