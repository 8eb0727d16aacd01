package heathswitch.proxy.http1;

import io.netty.channel.WriteBufferWaterMark;

/**
 * Divides a limited memory among the answers that are being streamed: the more there are, the less
 * each may hold until its client reads it, and the less is read from its upstream at once.
 */
final class StreamMemory {
  private static final int TOTAL_BYTES = 4 << 20;
  private static final int MAX_BYTES_PER_STREAM = 64 << 10;
  private static final int MIN_BYTES_PER_STREAM = 16 << 10;

  /** A paused answer is resumed when its client has read all but this fraction. */
  private static final int LOW_WATER_MARK_FRACTION = 4;

  private int streams;

  void streamStarted() {
    streams++;
  }

  void streamEnded() {
    streams--;
  }

  /** What one streamed answer may hold at present. */
  int bytesPerStream() {
    int share = TOTAL_BYTES / Math.max(1, streams);
    return Math.max(MIN_BYTES_PER_STREAM, Math.min(MAX_BYTES_PER_STREAM, share));
  }

  /** An answer is paused while more than the high water mark waits for its client. */
  WriteBufferWaterMark waterMark() {
    int high = bytesPerStream();
    return new WriteBufferWaterMark(high / LOW_WATER_MARK_FRACTION, high);
  }
}
