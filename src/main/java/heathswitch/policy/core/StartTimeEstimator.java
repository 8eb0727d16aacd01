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
  private static final int PRESUMED_ONE_IN = 3;

  /** A server may run for so long before discovery tells of it. */
  static final long NOTICE_NANOS = 3_000_000_000L;

  /** Whether discovery has told a list in this instance's life. */
  private boolean listed;

  /** When discovery last said anything of the list, and the span from then to the newest list. */
  private long heardNanos;

  private long spanNanos;

  private boolean first = true;
  private boolean presumed;
  private long newestNanos;

  /** A list is about to be taken. */
  void onList(long nowNanos, ListUpdate form, List<ServerEntry> entries, long warmUpNanos) {
    first = !listed;
    listed |= form.answersCall();
    spanNanos = nowNanos - heardNanos + NOTICE_NANOS;
    if (form != ListUpdate.UNSOLICITED_DELTA) {
      heard(nowNanos);
    }
    if (!first) {
      return;
    }
    newestNanos = entries.stream().mapToLong(ServerEntry::startedNanos).max().orElse(0);
    long young = entries.stream().filter(entry -> young(entry, warmUpNanos)).count();
    presumed = young * PRESUMED_ONE_IN <= entries.size();
  }

  /** Discovery has told all that it knew. */
  void heard(long nowNanos) {
    heardNanos = nowNanos;
  }

  private boolean young(ServerEntry entry, long warmUpNanos) {
    return entry.startedNanos() > 0 && newestNanos - entry.startedNanos() < warmUpNanos;
  }

  /** How long ago a start was that the newest list tells for the first time, by no clock's word. */
  long ageNanos(long nowNanos, long startedNanos) {
    long ageNanos = Math.max(0, nowNanos - startedNanos);
    if (!first) {
      return ageNanos <= spanNanos ? ageNanos : 0;
    }
    return presumed ? Math.min(ageNanos, newestNanos - startedNanos) : ageNanos;
  }
}
