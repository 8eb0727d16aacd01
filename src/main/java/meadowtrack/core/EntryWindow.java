package meadowtrack.core;

/**
 * The same window over all calls of an entry balancer, which alone can turn work away before any
 * was spent on it. Departure: the normal delay is a stated part of the aim, and a cut goes straight
 * to the new threshold, since most calls of the flight are still served.
 */
final class EntryWindow {
  /** Part of the aim that the recent delays may take on average. */
  static final double AIM_SHARE = 0.8;

  /** What a cut leaves of the window. */
  static final double KEEP = 0.8;

  static final double START = 64;

  static final double LEAST = 2;

  /** Weight of one completion in the recent delay. */
  static final double WEIGHT = 0.04;

  /** Bound of one sample, in aims. */
  static final double SAMPLE_BOUND = 1.5;

  double window = START;
  private double delay;
  private int inFlight;
  private long cutAtNanos = Long.MIN_VALUE;

  /** The window is for what is worth least; room beyond it, as much again, goes by worth. */
  boolean hasRoom(double relativeWorth) {
    return inFlight <= window * (1 + relativeWorth);
  }

  @Override
  public String toString() {
    return inFlight + " of " + (int) window + " at " + Math.round(delay * 100) / 100.0;
  }

  void onStart() {
    inFlight++;
  }

  /** The request is over; one that was never sent tells nothing. */
  void onEnd(long nowNanos, Request request, boolean sent) {
    boolean used = 2 * inFlight >= window;
    inFlight--;
    if (!sent) {
      return;
    }
    double shareOfAim = (double) (nowNanos - request.arrivedNanos) / request.type.aimNanos();
    delay += WEIGHT * (Math.min(SAMPLE_BOUND, shareOfAim) - delay);
    if (delay < AIM_SHARE) {
      window += !used ? 0 : delay < AIM_SHARE / 2 ? 1 : 3 / window;
    } else if (request.arrivedNanos >= cutAtNanos) { // One cut a flight.
      window = Math.max(LEAST, KEEP * Math.min(window, inFlight + 1));
      cutAtNanos = nowNanos;
    }
  }
}
