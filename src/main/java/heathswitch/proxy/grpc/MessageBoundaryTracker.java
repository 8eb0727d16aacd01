package heathswitch.proxy.grpc;

import io.netty.buffer.ByteBuf;

/**
 * Tracks the boundaries of the messages in the data of one direction of a call. Each message is
 * preceded by a flag and its size ("Length-Prefixed-Message" of gRPC over HTTP/2); DATA frames may
 * split the data anywhere.
 */
final class MessageBoundaryTracker {
  /** Bytes of the flag and the size before each message. */
  static final int PREFIX_BYTES = 5;

  private final long maxMessageBytes;
  private long started;
  private long remaining;
  private long declaredLength;
  private int prefixBytesRead;

  /** Accepts messages of up to the given size, not counting the flag and the size field. */
  MessageBoundaryTracker(long maxMessageBytes) {
    this.maxMessageBytes = maxMessageBytes;
  }

  /**
   * Tracks the data without consuming it. Returns false if a message declares a size above the
   * limit.
   */
  boolean track(ByteBuf data) {
    int index = data.readerIndex();
    int end = data.writerIndex();
    while (index < end) {
      if (remaining > 0) {
        int skipped = (int) Math.min(remaining, end - index);
        remaining -= skipped;
        index += skipped;
        continue;
      }
      if (prefixBytesRead == 0) {
        started++;
        declaredLength = 0;
      } else {
        declaredLength = declaredLength << 8 | data.getUnsignedByte(index);
      }
      index++;
      if (++prefixBytesRead == PREFIX_BYTES) {
        prefixBytesRead = 0;
        remaining = declaredLength;
        if (declaredLength > maxMessageBytes) {
          return false;
        }
      }
    }
    return true;
  }

  /** The number of messages of which at least the first byte was received. */
  long startedCount() {
    return started;
  }

  /** The size that the latest message declares. */
  long declaredLength() {
    return declaredLength;
  }
}
