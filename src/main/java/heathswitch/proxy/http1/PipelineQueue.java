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

  /** The estimated heap of the heads in the queue. */
  private long headBytes;

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
    headBytes += SizedHttpHeaders.heapBytesOf(part);
    if (parts.size() > MAX_PARTS) {
      overflow();
    }
  }

  /** Drops all queued parts; later ones are discarded. */
  void overflow() {
    overflowed = true;
    release();
  }

  /** Counts input that arrived after an overflow and is discarded undecoded. */
  void countDiscarded(int bytes) {
    overflowBytes += bytes;
  }

  /** The estimated heap of the heads in the queue. */
  long headBytes() {
    return headBytes;
  }

  private void countOverflow(HttpObject part) {
    if (part instanceof HttpContent content) {
      overflowBytes += content.content().readableBytes();
    }
    overflowBytes += PART_OVERHEAD_BYTES;
  }

  /** Removes the oldest part and passes its ownership to the caller; null if the queue is empty. */
  HttpObject poll() {
    HttpObject part = parts.poll();
    if (part != null) {
      headBytes -= SizedHttpHeaders.heapBytesOf(part);
    }
    return part;
  }

  /** Releases all queued parts. */
  void release() {
    while (!parts.isEmpty()) {
      ReferenceCountUtil.release(parts.poll());
    }
    headBytes = 0;
  }
}
