package meadowtrack.core;

import java.util.List;
import meadowtrack.api.ListForm;
import meadowtrack.api.ServerEntry;

/**
 * How old a start of a server is when it is first heard of. Its time was taken from the clock of
 * another machine, and either clock may be an hour off. What a later list tells for the first time
 * has started since the list before, so its age counts from then on by this balancer's own clock.
 * Only for the servers of the first list the two clocks are compared, and then the newest start is
 * held to be just now, unless that would make a large part of the fleet cold.
 */
final class StartTimes {
  /** One in so many servers may be held to be cold for want of a better clock. */
  private static final int PRESUMED_ONE_IN = 3;

  /** Whether discovery has told a list in this instance's life. */
  private boolean listed;

  private boolean first = true;
  private boolean presumed;
  private long newestNanos;

  /** A list is about to be taken. */
  void onList(ListForm form, List<ServerEntry> entries, long warmUpNanos) {
    first = !listed;
    listed |= form != ListForm.STALE;
    if (!first) {
      return;
    }
    newestNanos = entries.stream().mapToLong(ServerEntry::startedNanos).max().orElse(0);
    long young = entries.stream().filter(entry -> young(entry, warmUpNanos)).count();
    presumed = young * PRESUMED_ONE_IN <= entries.size();
  }

  private boolean young(ServerEntry entry, long warmUpNanos) {
    return entry.startedNanos() > 0 && newestNanos - entry.startedNanos() < warmUpNanos;
  }

  /** How long ago a start was that the newest list tells for the first time, by no clock's word. */
  long ageNanos(long nowNanos, long startedNanos) {
    if (!first) {
      return 0;
    }
    long ageNanos = nowNanos - startedNanos;
    return Math.max(0, presumed ? Math.min(ageNanos, newestNanos - startedNanos) : ageNanos);
  }
}
