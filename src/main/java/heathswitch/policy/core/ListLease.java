package heathswitch.policy.core;

import heathswitch.policy.api.Settings;

/**
 * For how long the newest list of servers may be acted on. A change counts as told some time after
 * discovery had it, whether or not it arrived, and nothing may be sent to a drained server once the
 * grace has passed after that. Only discovery's own word that the list is current begins that time
 * anew. A call that fails does not: from here an outage of discovery looks the same as an address
 * that is wrong or cannot be reached, at which all others are told. The one exception is the form
 * that the pages give an outage: a call that was taken, held and turned away.
 *
 * <p>What calls have shown decides how far the list is trusted once its time is over. If they were
 * not answered it may be an outage, in which nothing is told, and a balancer that turned everything
 * away would make it one of the service: servers that go on serving may be used, for as long as a
 * change could stay untold if it was one, and on while further calls are not answered. Else nothing
 * may be sent.
 */
final class ListLease {
  /**
   * A process may be held up for 0.15 s between a look at the clock and its write, and a line takes
   * its time from discovery to here.
   */
  static final long SEND_MARGIN_NANOS = 250_000_000L;

  /** A call that was turned away after more than this had its place in the queue. */
  static final long PROMPT_REJECTION_NANOS = 1_000_000_000L;

  /** What has changed before counts as told so long after a new configuration moved discovery. */
  static final long MOVE_DELIVERY_NANOS = 4_000_000_000L;

  private static final long NEVER = Long.MAX_VALUE;

  private final long deliveryNanos;
  private final boolean pushed;

  /** When the list was last known to be current. */
  private long confirmedNanos;

  /** When discovery first moved since then. */
  private long movedNanos = NEVER;

  /**
   * When discovery was last seen to be down by its own showing, as the pages have it: a call that
   * it held for seconds and turned away, an agent that took one and was silent. Nothing is told
   * then. When the list was confirmed if that is later.
   */
  private long lastDownNanos;

  /** When an agent first stopped telling since then. */
  private long pushLostNanos = NEVER;

  /** When the newest call was made that was not answered in what may be an outage. */
  private long lastUnansweredNanos = NEVER;

  /** Whether a watch has confirmed the list and not failed since. */
  private boolean watched;

  /** Whether a call or a watch has failed since the list was confirmed. */
  private boolean failed;

  /** Whether the newest failed call shows that discovery runs. */
  private boolean discoveryRuns;

  /**
   * Begins a lease on a list that nobody has confirmed yet.
   *
   * @param toldNanos after which a change counts as told that discovery had all that time
   * @param pushed whether an agent beside the balancer has the list, so that a change counts as
   *     told at once where no watch is open
   */
  ListLease(long nowNanos, long deliveryNanos, boolean pushed) {
    this.deliveryNanos = deliveryNanos;
    this.pushed = pushed;
    this.confirmedNanos = nowNanos;
    this.lastDownNanos = nowNanos;
    this.pushLostNanos = pushed ? nowNanos : NEVER;
  }

  /** Discovery has said that the list is current. */
  void onListConfirmed(long nowNanos) {
    confirmedNanos = nowNanos;
    lastDownNanos = nowNanos;
    movedNanos = NEVER;
    pushLostNanos = NEVER;
    lastUnansweredNanos = NEVER;
    watched = true;
    failed = false;
    discoveryRuns = false;
  }

  /** Discovery is asked at another address from now on. */
  void onDiscoveryMoved(long nowNanos) {
    movedNanos = Math.min(movedNanos, nowNanos);
  }

  /**
   * A watch has broken that had confirmed the list until then, or a call could not even be made
   * from here.
   */
  void onWatchBroken(long nowNanos) {
    markFailed();
    if (pushed) {
      pushLostNanos = Math.min(pushLostNanos, nowNanos);
      lastUnansweredNanos = nowNanos;
    }
  }

  /**
   * An agent has taken a call and said nothing, as it does while discovery is down: it learns
   * nothing then, and what it gets later counts from then on. What it had before that counts all
   * the same, if nobody was listening to it then.
   */
  void onAgentSilent(long nowNanos) {
    markFailed();
    lastUnansweredNanos = nowNanos;
    if (pushLostNanos == NEVER) {
      lastDownNanos = nowNanos;
    }
  }

  private void markFailed() {
    watched = false;
    failed = true;
  }

  /** A call was answered, and its answer broke off before it told anything. */
  void onAnswerTruncated() {
    markFailed();
    discoveryRuns = true;
  }

  /** A call was turned away, so long after it was made. */
  void onCallRejected(long callStartedNanos, long nowNanos, Settings.Obligations obligations) {
    if (nowNanos - callStartedNanos > PROMPT_REJECTION_NANOS) {
      boolean down = !discoveryRuns && callStartedNanos < earliestDeliveryNanos(obligations);
      onCallUnanswered(callStartedNanos, obligations);
      lastDownNanos = down ? Math.max(lastDownNanos, callStartedNanos) : lastDownNanos;
      return;
    }
    markFailed();
    discoveryRuns = true;
  }

  /**
   * A call has ended with nothing that shows that discovery runs. After one that was turned away
   * the first such call is taken for a long queue. One that was made when a change may have counted
   * as told already shows no outage in which it was not.
   */
  void onCallUnanswered(long callStartedNanos, Settings.Obligations obligations) {
    long outageSinceNanos = lastUnansweredNanos == NEVER ? confirmedNanos : lastUnansweredNanos;
    long limitNanos =
        failed ? deliveryNanos : Math.max(deliveryNanos, obligations.subscribeWithinNanos());
    boolean outage = !discoveryRuns && callStartedNanos < outageSinceNanos + limitNanos;
    markFailed();
    if (outage) {
      lastUnansweredNanos = Math.max(outageSinceNanos, callStartedNanos);
    }
    discoveryRuns = false;
  }

  /** How far the list may be acted on. */
  ListTrust trust(long nowNanos, Settings.Obligations obligations) {
    long graceNanos = obligations.stopSendingWithinNanos() - SEND_MARGIN_NANOS;
    if (nowNanos < earliestDeliveryNanos(obligations) + graceNanos) {
      return ListTrust.CURRENT;
    }
    boolean mayBeOutage = nowNanos < outageDeliveryNanos(obligations) + graceNanos;
    return mayBeOutage ? ListTrust.SERVING_ONLY : ListTrust.NONE;
  }

  /**
   * Whether a server may be sent to that took an attempt at a time and served it. If it began to
   * drain it did so later, and the grace lasts from then at least.
   */
  static boolean recentlyServed(
      long lastServedSentNanos, long nowNanos, Settings.Obligations obligations) {
    return nowNanos
        < lastServedSentNanos + obligations.stopSendingWithinNanos() - SEND_MARGIN_NANOS;
  }

  /** The earliest time at which a change that was not heard can count as told. */
  private long earliestDeliveryNanos(Settings.Obligations obligations) {
    long withoutMoveNanos = lastDownNanos + effectiveDeliveryNanos(obligations);
    return Math.min(Math.min(withoutMoveNanos, pushLostNanos), moveDeliveryNanos());
  }

  /** The same if discovery was down when the newest call was made that was not answered. */
  private long outageDeliveryNanos(Settings.Obligations obligations) {
    if (!failed) {
      // With no call that failed a balancer is held to its list for as long as it may not ask.
      return Math.min(confirmedNanos + obligations.subscribeWithinNanos(), moveDeliveryNanos());
    }
    if (lastUnansweredNanos == NEVER || discoveryRuns) {
      return confirmedNanos;
    }
    long limitNanos = effectiveDeliveryNanos(obligations);
    return lastUnansweredNanos
        + (movedNanos == NEVER ? limitNanos : Math.min(limitNanos, MOVE_DELIVERY_NANOS));
  }

  private long moveDeliveryNanos() {
    if (movedNanos == NEVER) {
      return NEVER;
    }
    return (pushed ? movedNanos : Math.max(movedNanos, lastDownNanos)) + MOVE_DELIVERY_NANOS;
  }

  /** With no watch a balancer is held to its list for as long as it may leave off asking. */
  private long effectiveDeliveryNanos(Settings.Obligations obligations) {
    boolean subscribedOrPushed = watched || pushed;
    return subscribedOrPushed
        ? deliveryNanos
        : Math.min(deliveryNanos, obligations.subscribeWithinNanos());
  }

  /** For how long the list has not been confirmed. */
  long ageNanos(long nowNanos) {
    return nowNanos - confirmedNanos;
  }
}
