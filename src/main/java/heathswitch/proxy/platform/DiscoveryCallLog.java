package heathswitch.proxy.platform;

import heathswitch.proxy.runtime.Log;
import java.net.InetSocketAddress;

/**
 * Logs and counts the calls to discovery. Each call has a number; the line logged at its end says
 * why the call was made, how long it took and how old the list was by then. The log's rate limit
 * would drop most of a series of failures, so consecutive failures are counted and the count is
 * logged with the next answer. Used on the event loop only.
 */
final class DiscoveryCallLog {
  private static final String KIND = "discovery call";
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** A logged call: its number, its cause, its address and the time at which it started. */
  static final class Entry {
    private final int number;
    private final String cause;
    private final InetSocketAddress address;
    private final long revision;
    private final long startNanos = System.nanoTime();

    private Entry(int number, String cause, InetSocketAddress address, long revision) {
      this.number = number;
      this.cause = cause;
      this.address = address;
      this.revision = revision;
    }

    private String elapsed() {
      return millis(System.nanoTime() - startNanos);
    }

    @Override
    public String toString() {
      return "call " + number + " (" + cause + ", after revision " + revision + ") to " + address;
    }
  }

  private int started;
  private int answered;
  private int failed;
  private int consecutiveFailures;
  private int cancelled;
  private long revision = -1;

  /** When the last complete line was received; until then, when the balancer started. */
  private long lastLineNanos = System.nanoTime();

  /** Counts a new call and returns its entry. */
  Entry start(String cause, InetSocketAddress address, long afterRevision) {
    return new Entry(++started, cause, address, afterRevision);
  }

  /** Records that a complete line was received. */
  void onLine() {
    lastLineNanos = System.nanoTime();
  }

  /** Logs the answer to a call: the first line of a watch, or a fetched list. */
  void onAnswer(Entry entry, DiscoveryList list) {
    answered++;
    revision = list.revision();
    Log.info(
        KIND,
        entry
            + " answered after "
            + entry.elapsed()
            + ": revision "
            + list.revision()
            + (list.whole() ? ", whole, " : ", changes, ")
            + list.entries().size()
            + " entries; failed before it "
            + consecutiveFailures);
    consecutiveFailures = 0;
  }

  /**
   * Logs a call that ended without an answer, or a watch that broke after its first line.
   *
   * @param lineReceived whether the call had received a complete line
   */
  void onFailure(Entry entry, String reason, boolean lineReceived) {
    failed++;
    consecutiveFailures++;
    Log.info(
        KIND,
        entry
            + (lineReceived ? " broke after " : " failed after ")
            + entry.elapsed()
            + ": "
            + reason
            + "; list confirmed "
            + millis(System.nanoTime() - lastLineNanos)
            + " ago, failed in a row "
            + consecutiveFailures);
  }

  /** Logs a call that the balancer itself ended. */
  void onCancel(Entry entry, String reason) {
    cancelled++;
    Log.info(KIND, entry + " given up after " + entry.elapsed() + ": " + reason);
  }

  /** The revision, the age of the list and the counts since the start, for the figures line. */
  String figures(long nowNanos) {
    return String.format(
        "discovery revision %d, confirmed %s ago, calls %d, answered %d, failed %d, given up %d",
        revision, millis(nowNanos - lastLineNanos), started, answered, failed, cancelled);
  }

  private static String millis(long nanos) {
    return nanos / NANOS_PER_MILLI + " ms";
  }
}
