package heathswitch.testbed.client;

import org.HdrHistogram.Histogram;
import org.HdrHistogram.Recorder;

/** Result counts and latencies of a load. Written by its event loop, read from any thread. */
public final class LoadStats {
  /** Result of one request as seen by its client. */
  public enum Result {
    /** Status 200. */
    SERVED,
    /** Status 429 or 503, which are safe to retry. */
    REFUSED,
    /** Any other complete answer. */
    FAILED,
    /** No complete answer by the deadline plus a margin, or the connection closed before it. */
    LOST
  }

  private static final long MAX_LATENCY_MICROS = 3_600_000_000L;

  private final Recorder latencies = new Recorder(MAX_LATENCY_MICROS, 3);
  private final long[] counts = new long[Result.values().length];

  synchronized void add(Result result, long nanosSinceIntended) {
    counts[result.ordinal()]++;
    if (result == Result.SERVED) {
      latencies.recordValue(Math.min(MAX_LATENCY_MICROS, Math.max(0, nanosSinceIntended / 1000)));
    }
  }

  public synchronized long count(Result result) {
    return counts[result.ordinal()];
  }

  public synchronized long total() {
    long total = 0;
    for (long count : counts) {
      total += count;
    }
    return total;
  }

  /**
   * Returns the latencies of the requests served since the last call of this method, in
   * microseconds from their intended send times.
   */
  public Histogram takeLatencies() {
    return latencies.getIntervalHistogram();
  }
}
