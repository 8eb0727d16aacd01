package heathswitch.testbed.platform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The exchanges between discovery and one balancer. From them it derives when a change of the list
 * counts as delivered to the balancer: the earliest time that any rule in the operators'
 * documentation gives. Not thread-safe.
 */
final class EndpointHistory {
  /** Time from a change, with discovery reachable, until it counts as delivered. */
  static final long DELIVERY_NANOS = 6_000_000_000L;

  /** Time from a reload that changes discovery's address until a change counts as delivered. */
  static final long MOVE_NANOS = 4_000_000_000L;

  /** A change pushed at most so long before a reload counts as delivered with that reload. */
  private static final long NEAR_MOVE_NANOS = 2_000_000_000L;

  /** After a failed call a balancer may use its list for so many times as long. */
  private static final int FAILED_FACTOR = 4;

  /** The balancer's start, a call by it or the end of a watch; a time without calls may follow. */
  private static final class Contact {
    private final long nanos;
    private boolean failed;

    Contact(long nanos) {
      this.nanos = nanos;
    }
  }

  /** The time for which a watch was open. */
  private static final class Watch {
    private final long fromNanos;
    private long untilNanos = Long.MAX_VALUE;

    Watch(long fromNanos) {
      this.fromNanos = fromNanos;
    }
  }

  /** The time at which each revision was first sent. */
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

  /** Records a call; the returned task marks it as failed. */
  Runnable callReceived(long nanos) {
    Contact call = new Contact(nanos);
    contacts.add(call);
    return () -> call.failed = true;
  }

  /** Records the opening of a watch; the returned task records its end. */
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

  /** When a change counts as delivered to a balancer that calls discovery for the list. */
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
      long moveLimit = outages.endOfSpan(move, MOVE_NANOS);
      boolean near = change.nanos() <= move + MOVE_NANOS;
      if (near && !answered(move, Math.max(change.nanos(), move + MOVE_NANOS))) {
        delivered = Math.min(delivered, Math.max(change.nanos(), moveLimit));
      }
    }
    delivered = Math.min(delivered, deliveryNanosWithoutCall(change, outages, mustAskNanos));
    return Math.min(delivered, sentNanos.getOrDefault(change.revision(), Long.MAX_VALUE));
  }

  /**
   * When a change counts as delivered to a balancer without a watch. For {@code mustAskNanos} from
   * its last call (longer if that failed) it may use the list that it has; after that a change
   * counts as delivered {@code mustAskNanos} after it was made.
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

  /** Whether a call was answered after one time and until another. */
  private boolean answered(long afterNanos, long untilNanos) {
    return watches.stream().anyMatch(it -> it.fromNanos > afterNanos && it.fromNanos <= untilNanos);
  }

  /**
   * When a change counts as delivered to a balancer with an agent.
   *
   * @param agentNanos when its agent had the change
   */
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
