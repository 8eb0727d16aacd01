package heathswitch.policy.core;

import heathswitch.policy.api.ListUpdate;
import heathswitch.policy.api.ServerEntry;
import java.util.List;

/**
 * Estimates how long ago a server started when its start is first reported. The start time comes
 * from the clock of another machine, and either clock may be off by an hour. A start that a later
 * list reports first happened after the list before, or a little earlier since lists arrive late.
 * The clocks are trusted within that span; a start beyond it is taken to be now. The first list has
 * no such span: its newest start is taken to be now, unless that would make a large part of the
 * fleet cold.
 */
final class StartTimeEstimator {
  /** At most one in this many servers may be presumed cold by the first list. */
  private static final int PRESUMED_COLD_DIVISOR = 3;

  /** Longest time from the start of a server until discovery reports it. */
  static final long DISCOVERY_LAG_NANOS = 3_000_000_000L;

  /** Whether discovery has sent a list to this balancer. */
  private boolean listReceived;

  /** When discovery last sent or confirmed the list. */
  private long lastContactNanos;

  /** Largest plausible age of a start that the newest list reports first. */
  private long maxAgeNanos;

  private boolean firstList = true;

  /** Whether the newest start of the first list is taken to be now. */
  private boolean newestIsNow;

  private long newestStartNanos;

  /** A list is about to be applied. */
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

  /** Discovery has sent all changes that it knows of. */
  void onContact(long nowNanos) {
    lastContactNanos = nowNanos;
  }

  /** Whether a start is less than the warm-up time before the newest one. */
  private boolean startedRecently(ServerEntry entry, long warmUpNanos) {
    return entry.startedNanos() > 0 && newestStartNanos - entry.startedNanos() < warmUpNanos;
  }

  /** Estimated age of a start that the newest list reports for the first time. */
  long ageNanos(long nowNanos, long startedNanos) {
    long ageNanos = Math.max(0, nowNanos - startedNanos);
    if (!firstList) {
      return ageNanos <= maxAgeNanos ? ageNanos : 0;
    }
    return newestIsNow ? Math.min(ageNanos, newestStartNanos - startedNanos) : ageNanos;
  }
}
