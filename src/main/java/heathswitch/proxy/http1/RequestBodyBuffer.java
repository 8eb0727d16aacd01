package heathswitch.proxy.http1;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.CompositeByteBuf;

/**
 * The body of a request as it comes in. Pieces are copied into blocks: a short piece would keep the
 * whole buffer it was read into, and a body of many pieces would be copied together again and
 * again.
 */
final class RequestBodyBuffer {
  private static final int BLOCK_BYTES = 32 << 10;
  private static final int MIN_BLOCK_BYTES = 64;
  private static final int MAX_BLOCKS = 2048;

  private final ByteBufAllocator allocator;
  private final long declaredLength;
  private final CompositeByteBuf blocks;

  /** The block that is being filled, or null. */
  private ByteBuf tail;

  /**
   * An empty one.
   *
   * @param length that its head states, or -1
   */
  RequestBodyBuffer(ByteBufAllocator allocator, long declaredLength) {
    this.allocator = allocator;
    this.declaredLength = declaredLength;
    this.blocks = allocator.compositeBuffer(MAX_BLOCKS);
  }

  /** Copies a piece, which stays its owner's. */
  void append(ByteBuf piece) {
    while (piece.isReadable()) {
      if (tail == null) {
        tail = allocator.directBuffer(nextBlockBytes());
      }
      tail.writeBytes(piece, Math.min(piece.readableBytes(), tail.writableBytes()));
      if (!tail.isWritable()) {
        closeBlock();
      }
    }
  }

  private int nextBlockBytes() {
    long remaining = declaredLength < 0 ? BLOCK_BYTES : declaredLength - blocks.readableBytes();
    return (int) Math.max(MIN_BLOCK_BYTES, Math.min(remaining, BLOCK_BYTES));
  }

  private void closeBlock() {
    if (tail != null) {
      blocks.addComponent(true, tail);
      tail = null;
    }
  }

  /** Hands over all that has come; nothing may be done with this afterwards. */
  ByteBuf takeBuffer() {
    closeBlock();
    return blocks;
  }

  /** Gives all of it back. */
  void release() {
    takeBuffer().release();
  }
}
