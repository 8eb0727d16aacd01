package heathswitch.proxy.http1;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;

/**
 * Limits the share of the event loop's time that goes into decoding input of very many small parts,
 * such as chunks of one byte, on all connections together. Without it one peer that sends at full
 * speed could take all of the time.
 */
final class DecodingThrottle {
  /** Decoding a piece of a body of this length costs little for its length. */
  private static final int LARGE_BYTES = 512;

  /**
   * Usual messages have fewer small parts in one read, headers included; they are never delayed.
   */
  private static final int USUAL_PARTS = 64;

  /** After each costly read, no further one is made for this multiple of its time. */
  private static final int PAUSE_FACTOR = 3;

  private long nextCostlyReadNanos = Long.MIN_VALUE;

  /** How many small parts a decoded object consists of. */
  static int smallPartsOf(HttpObject part) {
    if (part instanceof HttpMessage message) {
      return 1 + message.headers().size();
    }
    boolean large =
        part instanceof HttpContent content && content.content().readableBytes() >= LARGE_BYTES;
    return large ? 0 : 1;
  }

  /** Whether a read that was decoded into so many parts falls under the limit. */
  static boolean isCostly(int parts) {
    return parts > USUAL_PARTS;
  }

  /**
   * Returns how long a connection must not be read after a costly read.
   *
   * @param nowNanos the end of the read
   */
  long pauseNanos(long startNanos, long nowNanos) {
    long earliest = Math.max(nowNanos, nextCostlyReadNanos);
    nextCostlyReadNanos = earliest + (1 + PAUSE_FACTOR) * (nowNanos - startNanos);
    return earliest - nowNanos + PAUSE_FACTOR * (nowNanos - startNanos);
  }
}
