package heathswitch.policy.gateway;

import heathswitch.policy.core.DelayWindow;

/**
 * Admission of calls from peer sites. A delay window limits how many are in flight; it is cut when
 * this site refuses any call. No call is admitted while this site is congested or shortly after it
 * refused a call of its own clients.
 */
final class PeerAdmission {
  /**
   * Time without admission after a call of this site's own clients was refused. With a quarter of
   * this, a site at 97% of its servers' capacity, which refused seven calls of its own clients a
   * second, admitted calls in between, and each of them cost it one call of its own.
   */
  static final long REFUSAL_HOLD_NANOS = 1_000_000_000L;

  /** The window is cut at most once in this period. */
  private static final long CUT_INTERVAL_NANOS = 250_000_000L;

  private final DelayWindow window = new DelayWindow();
  private final CongestionDetector congestion;
  private int admitted;
  private long ownRefusalNanos = Long.MIN_VALUE / 2;

  PeerAdmission(CongestionDetector congestion) {
    this.congestion = congestion;
  }

  /** Returns the number of calls that would be admitted now. */
  int room(long nowNanos) {
    boolean closed =
        nowNanos - ownRefusalNanos < REFUSAL_HOLD_NANOS || congestion.isCongested(nowNanos);
    return closed ? 0 : Math.max(0, window.size() - admitted);
  }

  boolean tryAdmit(long nowNanos) {
    boolean hasRoom = room(nowNanos) > 0;
    admitted += hasRoom ? 1 : 0;
    return hasRoom;
  }

  /**
   * An admitted call has ended.
   *
   * @param delayRatio its delay relative to the mean of its class at this site; 0 if not served
   */
  void onEnd(long nowNanos, long admittedNanos, double delayRatio) {
    if (delayRatio > 0) {
      window.onCompletion(nowNanos, admittedNanos, delayRatio, admitted);
    }
    admitted--;
  }

  /**
   * The servers of this site had no room for a call.
   *
   * @param own whether the call came from a client of this site, not from a peer site
   */
  void onRefusal(long nowNanos, boolean own) {
    if (own) {
      ownRefusalNanos = nowNanos;
    }
    if (!window.cutSince(nowNanos - CUT_INTERVAL_NANOS)) {
      window.cut(nowNanos);
    }
  }

  /** Returns the number of admitted calls that have not ended. */
  int admitted() {
    return admitted;
  }

  int windowSize() {
    return window.size();
  }
}
