package heathswitch.testbed.platform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What passed between discovery and one balancer, and when by that a change of the list counts as
 * delivered to it: the earliest time that any sentence of the operators' pages gives. Not
 * thread-safe.
 */
final class EndpointHistory {
  /** A change counts as delivered so long after discovery had it and could be reached. */
  static final long DELIVERY_NANOS = 6_000_000_000L;

  /** And so long after a new configuration that has the balancer contact elsewhere. */
  static final long MOVE_NANOS = 4_000_000_000L;

  /** An agent's change may come so soon before a move that it is delivered with it. */
  private static final long NEAR_MOVE_NANOS = 2_000_000_000L;

  /** A call that failed holds a balancer to its list for so many times as long. */
  private static final int FAILED_FACTOR = 4;

  /** The balancer's start, a call of it, or the end of a watch: from here on it has not asked. */
  private static final class Contact {
    private final long nanos;
    private boolean failed;

    Contact(long nanos) {
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

  private final Map<Long, Long> sentNanos = new HashMap<>();
  private final List<Long> moves = new ArrayList<>();
  private final List<Long> silences = new ArrayList<>();
  private final List<Contact> contacts = new ArrayList<>();
  private final List<Watch> watches = new ArrayList<>();

  void balancerStarted(long nanos) {
    contacts.add(new Contact(nanos));
  }

  void endpointMoved(long nanos) {
    moves.add(nanos);
  }

  void watchesSilenced(long nanos) {
    silences.add(nanos);
  }

  /** A call has come; what is returned tells that it failed. */
  Runnable callReceived(long nanos) {
    Contact call = new Contact(nanos);
    contacts.add(call);
    return () -> call.failed = true;
  }

  /** A watch is open; what is returned tells of its end. */
  Runnable watchOpened(long nanos) {
    Watch watch = new Watch(nanos);
    watches.add(watch);
    return () -> {
      watch.untilNanos = System.nanoTime();
      contacts.add(new Contact(watch.untilNanos));
    };
  }

  void changeSent(long revision, long nanos) {
    sentNanos.putIfAbsent(revision, nanos);
  }

  /** When a change counts as delivered where discovery is asked. */
  long polledDeliveryNanos(
      DiscoveryStub.Change change, DiscoveryOutages outages, long mustAskNanos) {
    long delivered = outages.endOfSpan(change.nanos(), DELIVERY_NANOS);
    for (long silence : silences) {
      if (silence <= change.nanos() && !answered(silence, change.nanos())) {
        delivered =
            Math.min(
                delivered, Math.max(change.nanos(), outages.endOfSpan(silence, DELIVERY_NANOS)));
      }
    }
    for (long move : moves) {
      long atMove = outages.endOfSpan(move, MOVE_NANOS);
      boolean near = change.nanos() <= move + MOVE_NANOS;
      if (near && !answered(move, Math.max(change.nanos(), move + MOVE_NANOS))) {
        delivered = Math.min(delivered, Math.max(change.nanos(), atMove));
      }
    }
    delivered = Math.min(delivered, deliveryNanosWithoutCall(change, outages, mustAskNanos));
    return Math.min(delivered, sentNanos.getOrDefault(change.revision(), Long.MAX_VALUE));
  }

  /**
   * A balancer with no watch is listValidUntil to the list that it has for a time from its last
   * call; from then on a change counts as delivered so long after it was made.
   */
  private long deliveryNanosWithoutCall(
      DiscoveryStub.Change change, DiscoveryOutages outages, long mustAskNanos) {
    for (int i = 0; i < contacts.size(); i++) {
      Contact contact = contacts.get(i);
      long next = i + 1 < contacts.size() ? contacts.get(i + 1).nanos : Long.MAX_VALUE;
      long listValidUntil =
          outages.endOfSpan(contact.nanos, mustAskNanos * (contact.failed ? FAILED_FACTOR : 1));
      long delivered = Math.max(outages.endOfSpan(change.nanos(), mustAskNanos), listValidUntil);
      if (delivered < next && !watchOpenAt(delivered)) {
        return delivered;
      }
    }
    return Long.MAX_VALUE;
  }

  private boolean watchOpenAt(long nanos) {
    return watches.stream().anyMatch(it -> it.fromNanos <= nanos && nanos < it.untilNanos);
  }

  /** Whether a call was answered in a span. */
  private boolean answered(long afterNanos, long untilNanos) {
    return watches.stream().anyMatch(it -> it.fromNanos > afterNanos && it.fromNanos <= untilNanos);
  }

  /** When a change counts as delivered that an agent had at a time. */
  long pushedDeliveryNanos(DiscoveryStub.Change change, long agentNanos) {
    long delivered = agentNanos;
    for (long silence : silences) {
      delivered = silence <= agentNanos ? Math.max(delivered, silence + DELIVERY_NANOS) : delivered;
    }
    for (long move : moves) {
      boolean near = move <= agentNanos + NEAR_MOVE_NANOS;
      delivered = near ? Math.max(delivered, move + MOVE_NANOS) : delivered;
    }
    return Math.min(delivered, sentNanos.getOrDefault(change.revision(), Long.MAX_VALUE));
  }
}
