package heathswitch.proxy.runtime;

import java.util.HashMap;
import java.util.Map;
import java.util.function.ObjIntConsumer;

/**
 * Limits the number of log lines of each kind per period, and counts the suppressed lines.
 * Thread-safe.
 */
public final class LogRateLimiter {
  static final int LINES_PER_KIND = 5;
  static final long PERIOD_NANOS = 5_000_000_000L;

  /** Kinds are literals of the program; beyond this number, further kinds share one limit. */
  private static final int MAX_KINDS = 256;

  private static final String SHARED_KIND = "others";

  private final Map<String, Integer> counts = new HashMap<>();
  private long periodStartNanos = System.nanoTime();

  /**
   * Whether a line may be written now.
   *
   * @param suppressed called after a period with each kind and the number of its suppressed lines
   */
  public synchronized boolean tryAcquire(String kind, ObjIntConsumer<String> suppressed) {
    long now = System.nanoTime();
    if (now - periodStartNanos > PERIOD_NANOS) {
      periodStartNanos = now;
      for (Map.Entry<String, Integer> each : counts.entrySet()) {
        if (each.getValue() > LINES_PER_KIND) {
          suppressed.accept(each.getKey(), each.getValue() - LINES_PER_KIND);
        }
      }
      counts.clear();
    }
    boolean ownCounter = counts.size() < MAX_KINDS || counts.containsKey(kind);
    return counts.merge(ownCounter ? kind : SHARED_KIND, 1, Integer::sum) <= LINES_PER_KIND;
  }
}
