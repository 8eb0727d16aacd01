package heathswitch.proxy.http1;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.CompositeByteBuf;

/**
 * Accumulates the body of a message. Pieces are copied into blocks, because a retained short piece
 * would keep alive the whole buffer that it was read into, and the objects for a piece of one byte
 * take a hundred times its size. Blocks grow with what has arrived, whatever length is declared.
 */
final class BodyBuffer {
  private static final int MAX_BLOCK_BYTES = 32 << 10;
  private static final int FIRST_BLOCK_BYTES = 1 << 10;
  private static final int MIN_BLOCK_BYTES = 64;
  private static final int MAX_BLOCKS = 2048;

  private final ByteBufAllocator allocator;
  private final long declaredLength;
  private final CompositeByteBuf blocks;

  /** The block that is currently being filled, or null. */
  private ByteBuf tail;

  /**
   * Creates an empty buffer.
   *
   * @param declaredLength Content-Length of the message, or -1 if it has none
   */
  BodyBuffer(ByteBufAllocator allocator, long declaredLength) {
    this.allocator = allocator;
    this.declaredLength = declaredLength;
    this.blocks = allocator.compositeBuffer(MAX_BLOCKS);
  }

  /** Copies a piece; the caller keeps its ownership. */
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
    int received = blocks.readableBytes();
    long remaining = declaredLength < 0 ? MAX_BLOCK_BYTES : declaredLength - received;
    int grown = Math.max(FIRST_BLOCK_BYTES, Math.min(received, MAX_BLOCK_BYTES));
    return (int) Math.max(MIN_BLOCK_BYTES, Math.min(remaining, grown));
  }

  int readableBytes() {
    return blocks.readableBytes() + (tail == null ? 0 : tail.readableBytes());
  }

  private void closeBlock() {
    if (tail != null) {
      blocks.addComponent(true, tail);
      tail = null;
    }
  }

  /** Passes the accumulated bytes to the caller. This object must not be used afterwards. */
  ByteBuf takeBuffer() {
    closeBlock();
    return blocks;
  }

  /** Releases all blocks. */
  void release() {
    takeBuffer().release();
  }
}
