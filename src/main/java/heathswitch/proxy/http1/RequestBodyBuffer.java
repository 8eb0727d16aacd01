package heathswitch.proxy.http1;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.CompositeByteBuf;

/**
 * Accumulates the body of a request. Pieces are copied into blocks, because a retained short piece
 * would keep alive the whole buffer that it was read into, and a body of many pieces would have to
 * be consolidated repeatedly.
 */
final class RequestBodyBuffer {
  private static final int BLOCK_BYTES = 32 << 10;
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
   * @param declaredLength Content-Length of the request, or -1 if it has none
   */
  RequestBodyBuffer(ByteBufAllocator allocator, long declaredLength) {
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
    long remaining = declaredLength < 0 ? BLOCK_BYTES : declaredLength - blocks.readableBytes();
    return (int) Math.max(MIN_BLOCK_BYTES, Math.min(remaining, BLOCK_BYTES));
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
