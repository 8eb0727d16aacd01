package heathswitch.policy.core;

import heathswitch.policy.api.Settings;

/**
 * Decides for how long the newest list of servers may be used. A change counts as delivered some
 * time after discovery had it, whether or not it arrived, and nothing may be sent to a drained
 * server once the grace period after that has passed. Only a confirmation by discovery that the
 * list is current renews the lease. A failed call does not: seen from the balancer, an outage of
 * discovery looks the same as a wrong or unreachable address, where all other balancers are
 * informed. The one exception is what the platform documents as the sign of an outage: a call that
 * was accepted, held and rejected.
 *
 * <p>Once the lease is over, the calls made so far decide how far the list is trusted. If they were
 * not answered there may be an outage, in which no change is delivered, and a balancer that refused
 * everything would turn it into an outage of the service. Servers that keep serving may then be
 * used for as long as a change could be undelivered in an outage, and longer while further calls
 * are not answered. Otherwise nothing may be sent.
 */
final class ListLease {
  /**
   * Safety margin before the end of the grace period. A process may stall for 0.15 s between
   * reading the clock and writing, and a line takes some time from discovery to the balancer.
   */
  static final long SEND_MARGIN_NANOS = 250_000_000L;

  /** A call that was rejected after more than this had been queued by discovery. */
  static final long PROMPT_REJECTION_NANOS = 1_000_000_000L;

  /**
   * Changes made before the address of discovery changed count as delivered this long after the new
   * configuration.
   */
  static final long MOVE_DELIVERY_NANOS = 4_000_000_000L;

  private static final long NEVER = Long.MAX_VALUE;

  private final long deliveryNanos;
  private final boolean pushed;

  /** When the list was last confirmed. */
  private long confirmedNanos;

  /** When the address of discovery first changed after the last confirmation. */
  private long movedNanos = NEVER;

  /**
   * When discovery last showed the documented signs of an outage, in which no change is delivered:
   * a call that was held for seconds and rejected, or an agent that accepted a call and sent
   * nothing. The time of the last confirmation if that is later.
   */
  private long lastDownNanos;

  /** When the watch at the agent was first lost after the last confirmation. */
  private long pushLostNanos = NEVER;

  /** Start of the newest call that was not answered, in what may be an outage. */
  private long lastUnansweredNanos = NEVER;

  /** Whether a watch has confirmed the list and has not failed since. */
  private boolean watched;

  /** Whether a call or a watch has failed since the list was confirmed. */
  private boolean failed;

  /** Whether the newest failed call has shown that discovery is running. */
  private boolean discoveryRuns;

  /**
   * Creates the lease of a list that has not been confirmed yet.
   *
   * @param deliveryNanos how long after discovery had a change it counts as delivered
   * @param pushed whether a local agent has the list, so that a change counts as delivered at once
   *     when no watch is open
   */
  ListLease(long nowNanos, long deliveryNanos, boolean pushed) {
    this.deliveryNanos = deliveryNanos;
    this.pushed = pushed;
    this.confirmedNanos = nowNanos;
    this.lastDownNanos = nowNanos;
    this.pushLostNanos = pushed ? nowNanos : NEVER;
  }

  /** Discovery has confirmed that the list is current. */
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

  /** The address of discovery has changed. */
  void onDiscoveryMoved(long nowNanos) {
    movedNanos = Math.min(movedNanos, nowNanos);
  }

  /** A watch that had confirmed the list has broken, or a call failed on this machine. */
  void onWatchBroken(long nowNanos) {
    markFailed();
    if (pushed) {
      pushLostNanos = Math.min(pushLostNanos, nowNanos);
      lastUnansweredNanos = nowNanos;
    }
  }

  /**
   * An agent has accepted a call and sent nothing, as it does while discovery is down. The agent
   * gets no changes then; later ones count from when it gets them. Changes that it had before still
   * count if no watch was open at that time.
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

  /** The answer to a call broke off before it contained any of the list. */
  void onAnswerTruncated() {
    markFailed();
    discoveryRuns = true;
  }

  /** A call was rejected, at once or after it had been held for a while. */
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
   * A call has ended with no sign that discovery is running. The first such call after a rejected
   * one is attributed to a long queue, not to an outage. Nor does a call show an outage that was
   * made when a change could already count as delivered.
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

  /** How far the list may be used. */
  ListTrust trust(long nowNanos, Settings.Obligations obligations) {
    long graceNanos = obligations.stopSendingWithinNanos() - SEND_MARGIN_NANOS;
    if (nowNanos < earliestDeliveryNanos(obligations) + graceNanos) {
      return ListTrust.CURRENT;
    }
    boolean mayBeOutage = nowNanos < outageDeliveryNanos(obligations) + graceNanos;
    return mayBeOutage ? ListTrust.SERVING_ONLY : ListTrust.NONE;
  }

  /**
   * Whether a server has served an attempt so recently that it may be sent to without a current
   * list. If it has begun to drain it did so after that attempt, and the grace period of the drain
   * is not over.
   */
  static boolean recentlyServed(
      long lastServedSentNanos, long nowNanos, Settings.Obligations obligations) {
    return nowNanos
        < lastServedSentNanos + obligations.stopSendingWithinNanos() - SEND_MARGIN_NANOS;
  }

  /** The earliest time at which a change that did not arrive can count as delivered. */
  private long earliestDeliveryNanos(Settings.Obligations obligations) {
    long withoutMoveNanos = lastDownNanos + effectiveDeliveryNanos(obligations);
    return Math.min(Math.min(withoutMoveNanos, pushLostNanos), moveDeliveryNanos());
  }

  /** The same on the assumption that discovery was down at the newest unanswered call. */
  private long outageDeliveryNanos(Settings.Obligations obligations) {
    if (!failed) {
      // Without a failed call the balancer has to follow its list for as long as it need not call.
      return Math.min(confirmedNanos + obligations.subscribeWithinNanos(), moveDeliveryNanos());
    }
    if (lastUnansweredNanos == NEVER || discoveryRuns) {
      return confirmedNanos;
    }
    long limitNanos = effectiveDeliveryNanos(obligations);
    return lastUnansweredNanos
        + (movedNanos == NEVER ? limitNanos : Math.min(limitNanos, MOVE_DELIVERY_NANOS));
  }

  /** When changes made before the address changed count as delivered. */
  private long moveDeliveryNanos() {
    if (movedNanos == NEVER) {
      return NEVER;
    }
    return (pushed ? movedNanos : Math.max(movedNanos, lastDownNanos)) + MOVE_DELIVERY_NANOS;
  }

  /** Time to delivery; without a watch at most the time in which the balancer must subscribe. */
  private long effectiveDeliveryNanos(Settings.Obligations obligations) {
    boolean subscribedOrPushed = watched || pushed;
    return subscribedOrPushed
        ? deliveryNanos
        : Math.min(deliveryNanos, obligations.subscribeWithinNanos());
  }

  /** Time since the last confirmation. */
  long ageNanos(long nowNanos) {
    return nowNanos - confirmedNanos;
  }
}
