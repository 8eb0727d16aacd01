package heathswitch.proxy.runtime;

import java.util.HashMap;
import java.util.Map;
import java.util.function.ObjIntConsumer;

/**
 * So many lines of each kind in a period; what is left out is counted and told. From any thread.
 */
public final class LogRateLimiter {
  static final int LINES_PER_KIND = 5;
  static final long PERIOD_NANOS = 5_000_000_000L;

  /** Kinds are words of the program, and beyond so many one falls in with the others. */
  private static final int MAX_KINDS = 256;

  private static final String OVERFLOW_KIND = "others";

  private final Map<String, Integer> counts = new HashMap<>();
  private long periodStartNanos = System.nanoTime();

  /**
   * Whether a line may be written now.
   *
   * @param leftOut told, when a period is over, how many lines of a kind were left out in it
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
    boolean known = counts.size() < MAX_KINDS || counts.containsKey(kind);
    return counts.merge(known ? kind : OVERFLOW_KIND, 1, Integer::sum) <= LINES_PER_KIND;
  }
}
