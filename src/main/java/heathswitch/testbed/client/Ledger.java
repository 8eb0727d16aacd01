package heathswitch.testbed.client;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;

/**
 * What became of each call by its id, at its client and at the servers. Sums would not do: one call
 * run twice and another never run add up to two. May be told from any thread.
 */
public final class Ledger {
  private static final class Entry {
    private int runs;
    private Tally.Result result;
  }

  private final Map<String, Entry> calls = new ConcurrentHashMap<>();

  /** A server has got the whole call. */
  public void ran(String id) {
    Entry entry = calls.computeIfAbsent(id, any -> new Entry());
    synchronized (entry) {
      entry.runs++;
    }
  }

  /** The client has its result. */
  public void ended(String id, Tally.Result result) {
    Entry entry = calls.computeIfAbsent(id, any -> new Entry());
    synchronized (entry) {
      entry.result = result;
    }
  }

  /** Calls whose client got no whole answer, and those that ran and of which no client knows. */
  public long lost() {
    return lost(id -> true);
  }

  /** The same of those whose ids are named. */
  public long lost(Predicate<String> of) {
    return calls.entrySet().stream()
        .filter(call -> of.test(call.getKey()))
        .map(Map.Entry::getValue)
        .filter(entry -> entry.result == null || entry.result == Tally.Result.LOST)
        .count();
  }

  /** Calls that ran more than once, of those whose ids are named. */
  public long doubles(Predicate<String> unsafe) {
    return calls.entrySet().stream()
        .filter(call -> unsafe.test(call.getKey()) && call.getValue().runs > 1)
        .count();
  }

  /** Calls that were served by nobody, or refused as harmless though they had run. */
  public long untrue(Predicate<String> unsafe) {
    return calls.entrySet().stream()
        .filter(
            call ->
                call.getValue().result == Tally.Result.SERVED && call.getValue().runs == 0
                    || unsafe.test(call.getKey())
                        && call.getValue().result == Tally.Result.REFUSED
                        && call.getValue().runs > 0)
        .count();
  }
}
