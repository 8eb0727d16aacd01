package heathswitch.proxy.http1;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;

/**
 * Decoded parts that a client pipelined behind a request that has not been answered yet. Clients
 * are expected to send one request at a time. A few parts are queued and served in order; if there
 * are more, the queue overflows: all queued parts are dropped, and later ones are counted and
 * discarded.
 */
final class PipelineQueue {
  static final int MAX_PARTS = 8;

  /** Counted for each part after an overflow, in addition to its body. */
  private static final int PART_OVERHEAD_BYTES = 64;

  /**
   * After an overflow of this size reading stops, although a disconnect of the client is only
   * detected by reading.
   */
  private static final long MAX_OVERFLOW_BYTES = 1L << 20;

  private final ArrayDeque<HttpObject> parts = new ArrayDeque<>();
  private boolean overflowed;
  private long overflowBytes;

  boolean isEmpty() {
    return parts.isEmpty();
  }

  /** Whether the queue has ever overflowed. */
  boolean hasOverflowed() {
    return overflowed;
  }

  /** Whether so much has arrived after the overflow that reading must stop. */
  boolean overflowLimitExceeded() {
    return overflowBytes > MAX_OVERFLOW_BYTES;
  }

  /** Adds a part and takes ownership of it. */
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

  /** Removes the oldest part and passes its ownership to the caller; null if the queue is empty. */
  HttpObject poll() {
    return parts.poll();
  }

  /** Releases all queued parts. */
  void release() {
    while (!parts.isEmpty()) {
      ReferenceCountUtil.release(parts.poll());
    }
  }
}
