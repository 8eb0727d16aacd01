package heathswitch.proxy.grpc;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;

/** What has come of a message, within a bound and within what all may hold. */
final class MessageBuffer {
  private static final int MOST_COMPONENTS = 1024;

  /** A shorter piece is copied: it would keep the whole buffer that it was read into. */
  private static final int SHORT = 1024;

  private final BufferBudget held;
  private final int most;

  /** The one piece that there is in most cases, or all of them. */
  private ByteBuf bytes = Unpooled.EMPTY_BUFFER;

  private long taken;
  private boolean full;

  MessageBuffer(BufferBudget held, int most) {
    this.held = held;
    this.most = most;
  }

  /** Adds a piece, which stays the caller's; false if it is too much. */
  boolean add(ByteBuf piece) {
    int more = piece.readableBytes();
    full = taken + more > most;
    if (full || !held.take(more)) {
      return false;
    }
    if (more > 0) {
      ByteBuf own = more < SHORT ? Unpooled.copiedBuffer(piece) : piece.retainedSlice();
      if (taken == 0) {
        bytes = own;
      } else {
        composite().addComponent(true, own);
      }
    }
    taken += more;
    return true;
  }

  private CompositeByteBuf composite() {
    if (!(bytes instanceof CompositeByteBuf)) {
      bytes = Unpooled.compositeBuffer(MOST_COMPONENTS).addComponent(true, bytes);
    }
    return (CompositeByteBuf) bytes;
  }

  /** Whether the last piece was more than its own bound, and not than what all may hold. */
  boolean full() {
    return full;
  }

  int size() {
    return (int) taken;
  }

  /** A copy that shares the bytes; whoever gets it releases it. */
  ByteBuf share() {
    return bytes.retainedDuplicate();
  }

  /** Gives all back; may be called twice. */
  void release() {
    if (bytes != null) {
      bytes.release();
      bytes = null;
      held.give(taken);
    }
  }
}
