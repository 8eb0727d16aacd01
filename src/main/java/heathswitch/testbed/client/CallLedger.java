package heathswitch.testbed.client;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;

/**
 * Records the outcome of each call by its id, at its client and at the servers. Sums are not
 * enough: one call run twice and another never run add up to two. Thread-safe.
 */
public final class CallLedger {
  /** Record of one call. */
  private static final class Entry {
    private int runs;
    private LoadStats.Result result;
  }

  private final Map<String, Entry> calls = new ConcurrentHashMap<>();

  /** Records that a server received the whole call. */
  public void recordRun(String id) {
    Entry entry = calls.computeIfAbsent(id, key -> new Entry());
    synchronized (entry) {
      entry.runs++;
    }
  }

  /** Records the result that the client got. */
  public void recordResult(String id, LoadStats.Result result) {
    Entry entry = calls.computeIfAbsent(id, key -> new Entry());
    synchronized (entry) {
      entry.result = result;
    }
  }

  /**
   * Counts the calls whose client got no complete answer, and the calls that ran without a client
   * result.
   */
  public long lostCount() {
    return lostCount(id -> true);
  }

  /** Counts the lost calls whose ids match. */
  public long lostCount(Predicate<String> ids) {
    return calls.entrySet().stream()
        .filter(call -> ids.test(call.getKey()))
        .map(Map.Entry::getValue)
        .filter(entry -> entry.result == null || entry.result == LoadStats.Result.LOST)
        .count();
  }

  /** Counts the calls that ran more than once among those whose ids match. */
  public long duplicateRunCount(Predicate<String> unsafe) {
    return calls.entrySet().stream()
        .filter(call -> unsafe.test(call.getKey()) && call.getValue().runs > 1)
        .count();
  }

  /**
   * Counts the calls that a client saw as served although no server ran them, and the unsafe calls
   * that were refused as safe to retry although they had run.
   */
  public long falseResultCount(Predicate<String> unsafe) {
    return calls.entrySet().stream()
        .filter(
            call ->
                call.getValue().result == LoadStats.Result.SERVED && call.getValue().runs == 0
                    || unsafe.test(call.getKey())
                        && call.getValue().result == LoadStats.Result.REFUSED
                        && call.getValue().runs > 0)
        .count();
  }
}
