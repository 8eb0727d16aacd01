package heathswitch.policy.core;

import heathswitch.policy.api.ListUpdate;
import heathswitch.policy.api.ServerEntry;
import java.util.List;

/**
 * How old a start of a server is when it is first heard of. Its time was taken from the clock of
 * another machine, and either clock may be an hour off. What a later list tells for the first time
 * has started since the list before, or a little earlier, as lists come late: the two clocks are
 * believed within that span, and beyond it the start is held to be just now. For the servers of the
 * first list there is no such span; of these the newest start is held to be just now, unless that
 * would make a large part of the fleet cold.
 */
final class StartTimeEstimator {
  /** One in so many servers may be held to be cold for want of a better clock. */
  private static final int PRESUMED_COLD_DIVISOR = 3;

  /** A server may run for so long before discovery tells of it. */
  static final long DISCOVERY_LAG_NANOS = 3_000_000_000L;

  /** Whether discovery has told a list in this instance's life. */
  private boolean listReceived;

  /** When discovery last said anything of the list, and the span from then to the newest list. */
  private long lastContactNanos;

  private long maxAgeNanos;

  private boolean firstList = true;
  private boolean newestIsNow;
  private long newestStartNanos;

  /** A list is about to be taken. */
  void onListUpdate(long nowNanos, ListUpdate update, List<ServerEntry> entries, long warmUpNanos) {
    firstList = !listReceived;
    listReceived |= update.answersCall();
    maxAgeNanos = nowNanos - lastContactNanos + DISCOVERY_LAG_NANOS;
    if (update != ListUpdate.UNSOLICITED_DELTA) {
      onContact(nowNanos);
    }
    if (!firstList) {
      return;
    }
    newestStartNanos = entries.stream().mapToLong(ServerEntry::startedNanos).max().orElse(0);
    long recent = entries.stream().filter(entry -> startedRecently(entry, warmUpNanos)).count();
    newestIsNow = recent * PRESUMED_COLD_DIVISOR <= entries.size();
  }

  /** Discovery has told all that it knew. */
  void onContact(long nowNanos) {
    lastContactNanos = nowNanos;
  }

  private boolean startedRecently(ServerEntry entry, long warmUpNanos) {
    return entry.startedNanos() > 0 && newestStartNanos - entry.startedNanos() < warmUpNanos;
  }

  /** How long ago a start was that the newest list tells for the first time, by no clock's word. */
  long ageNanos(long nowNanos, long startedNanos) {
    long ageNanos = Math.max(0, nowNanos - startedNanos);
    if (!firstList) {
      return ageNanos <= maxAgeNanos ? ageNanos : 0;
    }
    return newestIsNow ? Math.min(ageNanos, newestStartNanos - startedNanos) : ageNanos;
  }
}
