package heathswitch.policy.gateway;

import heathswitch.policy.core.DelayWindow;

/**
 * What a site takes of others: as many calls at a time as a delay window allows that is cut when
 * the site turns anybody away, and none while it is isCongested or has just refused a call of its
 * own.
 */
final class PeerAdmission {
  /**
   * After a call of its own was refused, nothing is taken for so long. At a quarter of it a site at
   * 97% of its servers, which refused seven of its own a second, lent in the gaps, and each call
   * that it took cost it one of its own.
   */
  static final long REFUSAL_HOLD_NANOS = 1_000_000_000L;

  /** The window is cut once in so long. */
  private static final long CUT_NANOS = 250_000_000L;

  private final DelayWindow window = new DelayWindow();
  private final CongestionDetector strain;
  private int lent;
  private long refusedNanos = Long.MIN_VALUE / 2;

  PeerAdmission(CongestionDetector strain) {
    this.strain = strain;
  }

  int room(long nowNanos) {
    boolean closed = nowNanos - refusedNanos < REFUSAL_HOLD_NANOS || strain.isCongested(nowNanos);
    return closed ? 0 : Math.max(0, window.size() - lent);
  }

  boolean take(long nowNanos) {
    boolean room = room(nowNanos) > 0;
    lent += room ? 1 : 0;
    return room;
  }

  /**
   * A call that was taken is over.
   *
   * @param ratio of its delay to what its class takes here; 0 where it was not served
   */
  void ended(long nowNanos, long takenNanos, double ratio) {
    if (ratio > 0) {
      window.onCompletion(nowNanos, takenNanos, ratio, lent);
    }
    lent--;
  }

  void refused(long nowNanos, boolean own) {
    if (own) {
      refusedNanos = nowNanos;
    }
    if (!window.cutSince(nowNanos - CUT_NANOS)) {
      window.cut(nowNanos);
    }
  }

  int lent() {
    return lent;
  }

  int size() {
    return window.size();
  }
}
