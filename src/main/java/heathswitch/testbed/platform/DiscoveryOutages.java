package heathswitch.testbed.platform;

import java.util.ArrayList;
import java.util.List;

/** When discovery was down. */
final class DiscoveryOutages {
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

  /** The end of a span that begins at a time, counted anew after each outage that it meets. */
  long endOfSpan(long fromNanos, long spanNanos) {
    long from = fromNanos;
    for (Outage outage : outages) {
      if (outage.untilNanos > from && outage.fromNanos < from + spanNanos) {
        from = outage.untilNanos;
        if (from == Long.MAX_VALUE) {
          return from;
        }
      }
    }
    return from + spanNanos;
  }
}
