package heathswitch.testbed.platform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What passed between discovery and one balancer, and when by that a change of the list counts as
 * told to it: the earliest time that any sentence of the operators' pages gives. Not thread-safe.
 */
final class PortalHistory {
  /** A change counts as told so long after discovery had it and could be reached. */
  static final long TOLD_NANOS = 6_000_000_000L;

  /** And so long after a new configuration that has the balancer ask elsewhere. */
  static final long MOVE_NANOS = 4_000_000_000L;

  /** An agent's change may come so soon before a move that it is told with it. */
  private static final long NEAR_MOVE_NANOS = 2_000_000_000L;

  /** A call that failed holds a balancer to its list for so many times as long. */
  private static final int FAILED_FACTOR = 4;

  /** The balancer's start, a call of it, or the end of a watch: from here on it has not asked. */
  private static final class Ask {
    private final long nanos;
    private boolean failed;

    Ask(long nanos) {
      this.nanos = nanos;
    }
  }

  private static final class Watch {
    private final long fromNanos;
    private long untilNanos = Long.MAX_VALUE;

    Watch(long fromNanos) {
      this.fromNanos = fromNanos;
    }
  }

  private final Map<Long, Long> written = new HashMap<>();
  private final List<Long> moves = new ArrayList<>();
  private final List<Long> silences = new ArrayList<>();
  private final List<Ask> asks = new ArrayList<>();
  private final List<Watch> watches = new ArrayList<>();

  void started(long nanos) {
    asks.add(new Ask(nanos));
  }

  void moved(long nanos) {
    moves.add(nanos);
  }

  void silenced(long nanos) {
    silences.add(nanos);
  }

  /** A call has come; what is returned tells that it failed. */
  Runnable called(long nanos) {
    Ask call = new Ask(nanos);
    asks.add(call);
    return () -> call.failed = true;
  }

  /** A watch is open; what is returned tells of its end. */
  Runnable watching(long nanos) {
    Watch watch = new Watch(nanos);
    watches.add(watch);
    return () -> {
      watch.untilNanos = System.nanoTime();
      asks.add(new Ask(watch.untilNanos));
    };
  }

  void wrote(long revision, long nanos) {
    written.putIfAbsent(revision, nanos);
  }

  /** When a change counts as told where discovery is asked. */
  long askedToldNanos(ListService.Change change, Reachability reach, long mustAskNanos) {
    long told = reach.after(change.nanos(), TOLD_NANOS);
    for (long silence : silences) {
      if (silence <= change.nanos() && !answered(silence, change.nanos())) {
        told = Math.min(told, Math.max(change.nanos(), reach.after(silence, TOLD_NANOS)));
      }
    }
    for (long move : moves) {
      long atMove = reach.after(move, MOVE_NANOS);
      boolean near = change.nanos() <= move + MOVE_NANOS;
      if (near && !answered(move, Math.max(change.nanos(), move + MOVE_NANOS))) {
        told = Math.min(told, Math.max(change.nanos(), atMove));
      }
    }
    told = Math.min(told, unaskedToldNanos(change, reach, mustAskNanos));
    return Math.min(told, written.getOrDefault(change.revision(), Long.MAX_VALUE));
  }

  /**
   * A balancer with no watch is held to the list that it has for a time from its last call; from
   * then on a change counts as told so long after it was made.
   */
  private long unaskedToldNanos(ListService.Change change, Reachability reach, long mustAskNanos) {
    for (int i = 0; i < asks.size(); i++) {
      Ask ask = asks.get(i);
      long next = i + 1 < asks.size() ? asks.get(i + 1).nanos : Long.MAX_VALUE;
      long held = reach.after(ask.nanos, mustAskNanos * (ask.failed ? FAILED_FACTOR : 1));
      long told = Math.max(reach.after(change.nanos(), mustAskNanos), held);
      if (told < next && !watchedAt(told)) {
        return told;
      }
    }
    return Long.MAX_VALUE;
  }

  private boolean watchedAt(long nanos) {
    return watches.stream().anyMatch(it -> it.fromNanos <= nanos && nanos < it.untilNanos);
  }

  /** Whether a call was answered in a span. */
  private boolean answered(long afterNanos, long untilNanos) {
    return watches.stream().anyMatch(it -> it.fromNanos > afterNanos && it.fromNanos <= untilNanos);
  }

  /** When a change counts as told that an agent had at a time. */
  long pushedToldNanos(ListService.Change change, long hadNanos) {
    long told = hadNanos;
    for (long silence : silences) {
      told = silence <= hadNanos ? Math.max(told, silence + TOLD_NANOS) : told;
    }
    for (long move : moves) {
      boolean near = move <= hadNanos + NEAR_MOVE_NANOS;
      told = near ? Math.max(told, move + MOVE_NANOS) : told;
    }
    return Math.min(told, written.getOrDefault(change.revision(), Long.MAX_VALUE));
  }
}
