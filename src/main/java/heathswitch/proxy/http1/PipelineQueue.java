package heathswitch.proxy.http1;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;

/**
 * What a client has sent behind a request that is not answered yet. A client sends one request at a
 * time; a few parts ahead are kept and served in turn, more are a flood: all of them are dropped,
 * and what follows is counted and thrown away.
 */
final class PipelineQueue {
  static final int MAX_PARTS = 8;

  /** What each part of a flood counts for beside its body. */
  private static final int PART_OVERHEAD_BYTES = 64;

  /** Of a flood; no more is read, although only reading shows that the client has gone. */
  private static final long MAX_OVERFLOW_BYTES = 1L << 20;

  private final ArrayDeque<HttpObject> parts = new ArrayDeque<>();
  private boolean overflowed;
  private long overflowBytes;

  boolean isEmpty() {
    return parts.isEmpty();
  }

  /** Whether too many have come, ever. */
  boolean hasOverflowed() {
    return overflowed;
  }

  /** Whether a flood has gone on for so long that no more of it is to be read. */
  boolean overflowLimitExceeded() {
    return overflowBytes > MAX_OVERFLOW_BYTES;
  }

  /** Takes over a part. */
  void add(HttpObject part) {
    if (overflowed) {
      countOverflow(part);
      ReferenceCountUtil.release(part);
      return;
    }
    parts.add(part);
    if (parts.size() > MAX_PARTS) {
      overflowed = true;
      release();
    }
  }

  private void countOverflow(HttpObject part) {
    if (part instanceof HttpContent content) {
      overflowBytes += content.content().readableBytes();
    }
    overflowBytes += PART_OVERHEAD_BYTES;
  }

  /** The oldest, which belongs to the caller; null if there is none. */
  HttpObject poll() {
    return parts.poll();
  }

  /** Drops what is kept. */
  void release() {
    while (!parts.isEmpty()) {
      ReferenceCountUtil.release(parts.poll());
    }
  }
}
