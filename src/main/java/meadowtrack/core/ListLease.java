package meadowtrack.core;

import meadowtrack.api.Settings;

/**
 * Until when the newest list of servers may be acted on. A change counts as told some seconds after
 * discovery had it and could be reached, whether or not it arrived, and nothing may be sent to a
 * drained server once the grace has passed after that. So a list that nobody has confirmed for so
 * long tells of no server that it may be sent to.
 *
 * <p>Time in which discovery cannot be reached does not count: nothing is told then, and a balancer
 * that turned everything away would make an outage of the list one of the service. A call that is
 * turned away at once proves that discovery runs. One that ends without an answer after a long wait
 * may have met an outage or a long queue: if the call before it was turned away, the first such
 * call is taken for the queue, and only the next one for an outage. An outage that begins when a
 * change may have counted as told already gives nothing back: that change stays told.
 */
final class ListLease {
  /**
   * A process may be held up for 0.15 s between a look at the clock and its write, and a line takes
   * its time from discovery to here.
   */
  static final long MARGIN_NANOS = 250_000_000L;

  /** A call that was turned away after more than this had its place in the queue. */
  static final long PROMPT_NANOS = 1_000_000_000L;

  private final long toldNanos;

  /** The last time at which the list was known to be current, or discovery to be out of reach. */
  private long anchorNanos;

  /** Whether a call or a watch has failed since the list was confirmed. */
  private boolean failed;

  /** Whether the newest failed call shows that discovery runs. */
  private boolean busy;

  /**
   * Begins a lease.
   *
   * @param toldNanos after which a change counts as told that discovery had all that time
   */
  ListLease(long nowNanos, long toldNanos) {
    this.toldNanos = toldNanos;
    this.anchorNanos = nowNanos;
  }

  /** Discovery has said that the list is current. */
  void confirmed(long nowNanos) {
    anchorNanos = nowNanos;
    failed = false;
    busy = false;
  }

  /**
   * A watch has broken that had confirmed the list until then, or a call could not even be made
   * from here.
   */
  void broken() {
    failed = true;
  }

  /** A call was answered, and its answer broke off before it told anything. */
  void cutShort() {
    failed = true;
    busy = true;
  }

  /** A call was turned away, so long after it was made. */
  void turnedAway(long calledNanos, long nowNanos, Settings.Obligations obligations) {
    if (nowNanos - calledNanos > PROMPT_NANOS) {
      unanswered(calledNanos, obligations);
      return;
    }
    failed = true;
    busy = true;
  }

  /**
   * A call has ended with nothing that shows that discovery runs.
   *
   * @return whether it is taken for an outage, so that the list's time begins anew
   */
  boolean unanswered(long calledNanos, Settings.Obligations obligations) {
    boolean told = calledNanos >= anchorNanos + untilToldNanos(obligations);
    boolean outage = !busy && !told;
    failed = true;
    if (outage) {
      anchorNanos = Math.max(anchorNanos, calledNanos);
    }
    busy = false;
    return outage;
  }

  /** Whether the list may be acted on. */
  boolean valid(long nowNanos, Settings.Obligations obligations) {
    return nowNanos < endNanos(obligations);
  }

  /** Until when it may be acted on if nothing more is heard. */
  long endNanos(Settings.Obligations obligations) {
    return anchorNanos
        + untilToldNanos(obligations)
        + obligations.stopSendingWithinNanos()
        - MARGIN_NANOS;
  }

  /**
   * Without a failed call a balancer is held to its list for as long as it may leave off asking.
   */
  private long untilToldNanos(Settings.Obligations obligations) {
    return failed ? toldNanos : Math.max(toldNanos, obligations.mustAskInNanos());
  }

  /** For how long the list has not been confirmed, outages left out. */
  long ageNanos(long nowNanos) {
    return nowNanos - anchorNanos;
  }
}
