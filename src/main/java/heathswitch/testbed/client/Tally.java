package heathswitch.testbed.client;

import org.HdrHistogram.Histogram;
import org.HdrHistogram.Recorder;

/** What became of the requests of a load. Written by its loop, read from any thread. */
public final class Tally {
  /** What a client saw of one request. */
  public enum Result {
    /** 200. */
    SERVED,
    /** 429 or 503: trying again is harmless. */
    REFUSED,
    /** Any other whole answer. */
    FAILED,
    /** No whole answer by the deadline and a margin, or the connection ended under the request. */
    LOST
  }

  private static final long MOST_MICROS = 3_600_000_000L;

  private final Recorder latencies = new Recorder(MOST_MICROS, 3);
  private final long[] counts = new long[Result.values().length];

  synchronized void add(Result result, long nanosSinceIntended) {
    counts[result.ordinal()]++;
    if (result == Result.SERVED) {
      latencies.recordValue(Math.min(MOST_MICROS, Math.max(0, nanosSinceIntended / 1000)));
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

  /** Latencies of served requests in microseconds since the last call, from the intended times. */
  public Histogram interval() {
    return latencies.getIntervalHistogram();
  }
}
