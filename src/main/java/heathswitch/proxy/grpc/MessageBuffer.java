package heathswitch.proxy.grpc;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Buffers the bytes received of one direction of a call, up to a limit of its own and within the
 * budget that all calls share.
 */
final class MessageBuffer {
  private static final int MAX_COMPONENTS = 1024;

  /** Shorter data is copied, since a slice would retain the whole buffer that it was read into. */
  private static final int COPY_BELOW_BYTES = 1024;

  private final BufferBudget budget;
  private final int maxBytes;

  /** A single buffer in most cases, else a composite of all data added so far. */
  private ByteBuf content = Unpooled.EMPTY_BUFFER;

  private long size;
  private boolean overLimit;

  MessageBuffer(BufferBudget budget, int maxBytes) {
    this.budget = budget;
    this.maxBytes = maxBytes;
  }

  /**
   * Adds data without taking ownership of it. Returns false if the data exceeds the limit of this
   * buffer or the shared budget.
   */
  boolean add(ByteBuf data) {
    int length = data.readableBytes();
    overLimit = size + length > maxBytes;
    if (overLimit || !budget.tryReserve(length)) {
      return false;
    }
    if (length > 0) {
      ByteBuf owned =
          length < COPY_BELOW_BYTES ? Unpooled.copiedBuffer(data) : data.retainedSlice();
      if (size == 0) {
        content = owned;
      } else {
        composite().addComponent(true, owned);
      }
    }
    size += length;
    return true;
  }

  private CompositeByteBuf composite() {
    if (!(content instanceof CompositeByteBuf)) {
      content = Unpooled.compositeBuffer(MAX_COMPONENTS).addComponent(true, content);
    }
    return (CompositeByteBuf) content;
  }

  /** Whether the last data exceeded the limit of this buffer rather than the shared budget. */
  boolean exceededLimit() {
    return overLimit;
  }

  int size() {
    return (int) size;
  }

  /** Returns a duplicate that shares the content; the caller must release it. */
  ByteBuf retainedDuplicate() {
    return content.retainedDuplicate();
  }

  /** Releases the content and returns its bytes to the budget. Idempotent. */
  void release() {
    if (content != null) {
      content.release();
      content = null;
      budget.release(size);
    }
  }
}
