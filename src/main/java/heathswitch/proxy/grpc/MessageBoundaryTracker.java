package heathswitch.proxy.grpc;

import io.netty.buffer.ByteBuf;

/**
 * Follows the messages in the data of one direction by their prefixes of a flag and a length
 * ("Length-Prefixed-Message" of gRPC over HTTP/2), wherever the frames cut them.
 */
final class MessageBoundaryTracker {
  /** Bytes before each message. */
  static final int PREFIX = 5;

  private final long most;
  private long begun;
  private long left;
  private long length;
  private int prefix;

  /** For messages of so many bytes at most, without their prefix. */
  MessageBoundaryTracker(long most) {
    this.most = most;
  }

  /** Follows a piece, which is not read; false if a message claims to be too long. */
  boolean add(ByteBuf data) {
    int at = data.readerIndex();
    int end = data.writerIndex();
    while (at < end) {
      if (left > 0) {
        int step = (int) Math.min(left, end - at);
        left -= step;
        at += step;
        continue;
      }
      if (prefix == 0) {
        begun++;
        length = 0;
      } else {
        length = length << 8 | data.getUnsignedByte(at);
      }
      at++;
      if (++prefix == PREFIX) {
        prefix = 0;
        left = length;
        if (length > most) {
          return false;
        }
      }
    }
    return true;
  }

  /** MessageBoundaryTracker of which at least the first byte has come. */
  long begun() {
    return begun;
  }

  /** What the last message says of its length. */
  long claimed() {
    return length;
  }
}
