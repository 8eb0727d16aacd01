package heathswitch.testbed.platform;

import java.util.ArrayList;
import java.util.List;

/** The outages of discovery, and time limits that they extend. */
final class DiscoveryOutages {
  /** One outage; it has no end while it lasts. */
  private static final class Outage {
    private final long fromNanos;
    private long untilNanos = Long.MAX_VALUE;

    Outage(long fromNanos) {
      this.fromNanos = fromNanos;
    }
  }

  private final List<Outage> outages = new ArrayList<>();

  void setDown(boolean on, long nowNanos) {
    if (on) {
      outages.add(new Outage(nowNanos));
    } else if (!outages.isEmpty()) {
      outages.get(outages.size() - 1).untilNanos = nowNanos;
    }
  }

  /** The end of a time span, which starts over at the end of each outage that overlaps it. */
  long endOfSpan(long fromNanos, long spanNanos) {
    long start = fromNanos;
    for (Outage outage : outages) {
      if (outage.untilNanos > start && outage.fromNanos < start + spanNanos) {
        start = outage.untilNanos;
        if (start == Long.MAX_VALUE) {
          return start;
        }
      }
    }
    return start + spanNanos;
  }
}
