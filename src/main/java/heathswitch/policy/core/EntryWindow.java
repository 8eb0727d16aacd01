package heathswitch.policy.core;

/**
 * The same window over all calls of an entry balancer, which alone can turn work away before any
 * was spent on it. Departures: the normal delay is a stated part of the aim, and a cut goes
 * straight to the new threshold, since most calls of the flight are still served. And the delay is
 * that of the calls in flight (Little's law): those that are over tell of a jam seconds late.
 */
final class EntryWindow {
  /** Part of the aim that calls may take on average. */
  static final double AIM_SHARE = 0.8;

  /** What a cut leaves of the window. */
  static final double KEEP = 0.8;

  static final double START = 64;

  static final double LEAST = 2;

  /** The average is over so long: some calls even where one of many balancers sees ten a second. */
  static final double TAU_NANOS = 5e8;

  double window = START;
  private double delay;
  private int inFlight;
  private long cutAtNanos = Long.MIN_VALUE;

  /** Sum over the calls in flight of 1 / aim; its integral; and how many calls have ended. */
  private double load;

  private double passed;
  private double ended;
  private long passedNanos;

  /** The window is for what is worth least; room beyond it, as much again, goes by worth. */
  boolean hasRoom(double relativeWorth) {
    return inFlight <= window * (1 + relativeWorth);
  }

  @Override
  public String toString() {
    return inFlight + " of " + (int) window + " at " + Math.round(delay * 100) / 100.0;
  }

  void onStart(long nowNanos, Request request) {
    pass(nowNanos);
    inFlight++;
    load += 1.0 / request.type.aimNanos();
  }

  private void pass(long nowNanos) {
    double kept = Math.exp((passedNanos - nowNanos) / TAU_NANOS);
    passed = kept * passed + load * (nowNanos - passedNanos);
    ended *= kept;
    passedNanos = nowNanos;
  }

  /** The request is over; one that was never sent tells nothing. */
  void onEnd(long nowNanos, Request request, boolean sent) {
    boolean used = 2 * inFlight >= window;
    pass(nowNanos);
    load = --inFlight == 0 ? 0 : load - 1.0 / request.type.aimNanos();
    if (!sent) {
      return;
    }
    delay = passed / ++ended;
    // After a pause the first of many that came at once ends with all their time behind it.
    boolean slow = nowNanos - request.arrivedNanos > AIM_SHARE / 2 * request.type.aimNanos();
    if (delay < AIM_SHARE) {
      window += !used ? 0 : delay < AIM_SHARE / 2 ? 1 : 3 / window;
    } else if (slow && request.arrivedNanos >= cutAtNanos) { // One cut a flight.
      window = Math.max(LEAST, KEEP * Math.min(window, inFlight + 1));
      cutAtNanos = nowNanos;
    }
  }
}
