package heathswitch.proxy.http1;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.util.function.Consumer;

/**
 * Joins the short pieces of a streamed body that arrive in one read, such as chunks of one byte,
 * since each piece that is passed on costs objects, and possibly a system call, of its own.
 */
final class PieceCollector {
  /** Shorter pieces are copied. */
  private static final int SHORT_BYTES = 1024;

  private static final long UNKNOWN_LENGTH = -1;

  private final ByteBufAllocator allocator;

  /** Joined short pieces, or null. */
  private BodyBuffer joined;

  PieceCollector(ByteBufAllocator allocator) {
    this.allocator = allocator;
  }

  /** Adds a piece; the caller keeps its ownership. */
  void add(ByteBuf piece, Consumer<ByteBuf> receiver) {
    if (piece.readableBytes() >= SHORT_BYTES) {
      flush(receiver);
      receiver.accept(piece.retain());
    } else if (piece.isReadable()) {
      if (joined == null) {
        joined = new BodyBuffer(allocator, UNKNOWN_LENGTH);
      }
      joined.append(piece);
    }
  }

  /** Passes on what has been joined, with its ownership. */
  void flush(Consumer<ByteBuf> receiver) {
    if (joined != null) {
      BodyBuffer complete = joined;
      joined = null;
      receiver.accept(complete.takeBuffer());
    }
  }

  void release() {
    if (joined != null) {
      joined.release();
      joined = null;
    }
  }
}
