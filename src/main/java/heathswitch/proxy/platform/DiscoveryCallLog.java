package heathswitch.proxy.platform;

import heathswitch.proxy.runtime.Log;
import java.net.InetSocketAddress;

/**
 * The log of calls to discovery: each has a number, and its end says why it was made, how long it
 * was out and how old the list is by then. Calls that fail in a row are counted, and the count is
 * written when one is answered, as the limit on lines would swallow most of them. On the loop.
 */
final class DiscoveryCallLog {
  private static final String KIND = "discovery call";
  private static final long NANOS_A_MILLI = 1_000_000;

  /** One call. */
  static final class Entry {
    private final int number;
    private final String cause;
    private final InetSocketAddress to;
    private final long revision;
    private final long beganNanos = System.nanoTime();

    private Entry(int number, String cause, InetSocketAddress to, long revision) {
      this.number = number;
      this.cause = cause;
      this.to = to;
      this.revision = revision;
    }

    private String took() {
      return millis(System.nanoTime() - beganNanos);
    }

    @Override
    public String toString() {
      return "call " + number + " (" + cause + ", after revision " + revision + ") to " + to;
    }
  }

  private int made;
  private int answered;
  private int failed;
  private int failedInRow;
  private int givenUp;
  private long revision = -1;

  /** When the last whole line was read; at first when the balancer started. */
  private long heardNanos = System.nanoTime();

  Entry planned(String cause, InetSocketAddress to, long after) {
    return new Entry(++made, cause, to, after);
  }

  /** A whole line has come. */
  void heard() {
    heardNanos = System.nanoTime();
  }

  /** The first line of a call, or its whole list. */
  void answered(Entry entry, DiscoveryList list) {
    answered++;
    revision = list.revision();
    Log.info(
        KIND,
        entry
            + " answered after "
            + entry.took()
            + ": revision "
            + list.revision()
            + (list.whole() ? ", whole, " : ", changes, ")
            + list.entries().size()
            + " entries; failed before it "
            + failedInRow);
    failedInRow = 0;
  }

  /**
   * A call has ended without its answer, or a watch that had spoken has broken.
   *
   * @param spoken whether it had brought a line
   */
  void failed(Entry entry, String why, boolean spoken) {
    failed++;
    failedInRow++;
    Log.info(
        KIND,
        entry
            + (spoken ? " broke after " : " failed after ")
            + entry.took()
            + ": "
            + why
            + "; list confirmed "
            + millis(System.nanoTime() - heardNanos)
            + " ago, failed in a row "
            + failedInRow);
  }

  /** The balancer has ended it. */
  void givenUp(Entry entry, String why) {
    givenUp++;
    Log.info(KIND, entry + " given up after " + entry.took() + ": " + why);
  }

  /** Counts since the start. */
  String figures(long nowNanos) {
    return String.format(
        "discovery revision %d, confirmed %s ago, calls %d, answered %d, failed %d, given up %d",
        revision, millis(nowNanos - heardNanos), made, answered, failed, givenUp);
  }

  private static String millis(long nanos) {
    return nanos / NANOS_A_MILLI + " ms";
  }
}
