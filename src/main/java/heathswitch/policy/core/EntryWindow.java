package heathswitch.policy.core;

/**
 * The same window over all calls of an entry balancer, which alone can turn work away before any
 * was spent on it. Departures: the normal delay is a stated part of the aim, and a cut goes
 * straight to the new threshold, since most calls of the flight are still served. And the delay is
 * that of the calls in flight (Little's law): those that are over tell of a jam seconds late.
 */
final class EntryWindow {
  /** Part of the aim that calls may take on average. */
  static final double NORMAL_DELAY_SHARE = 0.8;

  /** What a cut leaves of the window. */
  static final double CUT_FACTOR = 0.8;

  static final double INITIAL = 64;

  static final double MIN = 2;

  /** The average is over so long: some calls even where one of many balancers sees ten a second. */
  static final double AVERAGING_NANOS = 5e8;

  double window = INITIAL;
  private double meanDelay;
  private int inFlight;
  private long cutAtNanos = Long.MIN_VALUE;

  /** Sum over the calls in flight of 1 / aim; its integral; and how many calls have ended. */
  private double load;

  private double loadIntegral;
  private double decayedEnds;
  private long integratedNanos;

  /** The window is for what is worth least; room beyond it, as much again, goes by worth. */
  boolean hasRoom(double relativeWorth) {
    return inFlight <= window * (1 + relativeWorth);
  }

  @Override
  public String toString() {
    return inFlight + " of " + (int) window + " at " + Math.round(meanDelay * 100) / 100.0;
  }

  void onStart(long nowNanos, Request request) {
    integrate(nowNanos);
    inFlight++;
    load += 1.0 / request.requestClass.aimNanos();
  }

  private void integrate(long nowNanos) {
    double decay = Math.exp((integratedNanos - nowNanos) / AVERAGING_NANOS);
    loadIntegral = decay * loadIntegral + load * (nowNanos - integratedNanos);
    decayedEnds *= decay;
    integratedNanos = nowNanos;
  }

  /** The request is over; one that was never sent tells nothing. */
  void onEnd(long nowNanos, Request request, boolean sent) {
    boolean used = 2 * inFlight >= window;
    integrate(nowNanos);
    load = --inFlight == 0 ? 0 : load - 1.0 / request.requestClass.aimNanos();
    if (!sent) {
      return;
    }
    meanDelay = loadIntegral / ++decayedEnds;
    // After a pause the first of many that came at once ends with all their time behind it.
    boolean slow =
        nowNanos - request.arrivedNanos > NORMAL_DELAY_SHARE / 2 * request.requestClass.aimNanos();
    if (meanDelay < NORMAL_DELAY_SHARE) {
      window += !used ? 0 : meanDelay < NORMAL_DELAY_SHARE / 2 ? 1 : 3 / window;
    } else if (slow && request.arrivedNanos >= cutAtNanos) { // One cut a flight.
      window = Math.max(MIN, CUT_FACTOR * Math.min(window, inFlight + 1));
      cutAtNanos = nowNanos;
    }
  }
}
