package heathswitch.proxy.http1;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;
import java.util.function.IntSupplier;

/**
 * Limits the reads from one connection, so that none delays the others or holds much memory, and
 * costly ones can be cut short.
 */
final class ShortReadAllocator implements RecvByteBufAllocator {
  private static final int MIN_BYTES = 256;
  private static final int INITIAL_BYTES = 2 << 10;
  private static final int MAX_BYTES = 64 << 10;

  private final AdaptiveRecvByteBufAllocator adaptive =
      new AdaptiveRecvByteBufAllocator(MIN_BYTES, INITIAL_BYTES, MAX_BYTES);
  private final IntSupplier maxBytes;

  /** Creates an allocator for reads up to a length that may vary. */
  ShortReadAllocator(IntSupplier maxBytes) {
    this.maxBytes = maxBytes;
  }

  @Override
  public Handle newHandle() {
    return new DelegatingHandle(adaptive.newHandle()) {
      @Override
      public int guess() {
        return Math.min(super.guess(), maxBytes.getAsInt());
      }

      @Override
      public ByteBuf allocate(ByteBufAllocator allocator) {
        return allocator.ioBuffer(guess());
      }
    };
  }
}
