package heathswitch.policy.core;

/**
 * Admission window over all requests of a balancer at tier 0, the only place where work can be
 * refused before any has been spent on it. Differs from {@link DelayWindow} in three ways. The
 * normal delay is a fixed share of the aim. A cut reduces the window to the new threshold and not
 * to one, since most requests in flight are still served. The delay is computed from the requests
 * in flight by Little's law, since finished requests show congestion only seconds late.
 */
final class EntryWindow {
  /** Mean delay above which the window is cut, as a share of the aim. */
  static final double NORMAL_DELAY_SHARE = 0.8;

  /** Share of the window that a cut leaves. */
  static final double CUT_FACTOR = 0.8;

  /** Window at the start. */
  static final double INITIAL = 64;

  /** Smallest window. */
  static final double MIN = 2;

  /**
   * Time constant of the decaying averages. Long enough to cover several requests where one of many
   * balancers gets ten a second.
   */
  static final double AVERAGING_NANOS = 5e8;

  double window = INITIAL;
  private double meanDelay;
  private int inFlight;
  private long cutAtNanos = Long.MIN_VALUE;

  /** Sum of 1 / aim over the requests in flight. */
  private double load;

  /** Decaying integral of the load over time, as of integratedNanos. */
  private double loadIntegral;

  /** Decaying number of requests that have ended, as of integratedNanos. */
  private double decayedEnds;

  private long integratedNanos;

  /**
   * Whether a request is admitted. The least worth (0) may use the window, the highest (1) twice as
   * much.
   */
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

  /**
   * A request has ended.
   *
   * @param sent whether an attempt was made; a request that was never sent says nothing about load
   */
  void onEnd(long nowNanos, Request request, boolean sent) {
    boolean used = 2 * inFlight >= window;
    integrate(nowNanos);
    load = --inFlight == 0 ? 0 : load - 1.0 / request.requestClass.aimNanos();
    if (!sent) {
      return;
    }
    meanDelay = loadIntegral / ++decayedEnds;
    // After a pause, when the first request of a burst ends, the integral already holds the time of
    // all of them, but only one has ended: the mean is too high. So a cut needs a slow request too.
    boolean slow =
        nowNanos - request.arrivedNanos > NORMAL_DELAY_SHARE / 2 * request.requestClass.aimNanos();
    if (meanDelay < NORMAL_DELAY_SHARE) {
      window += !used ? 0 : meanDelay < NORMAL_DELAY_SHARE / 2 ? 1 : 3 / window;
    } else if (slow && request.arrivedNanos >= cutAtNanos) { // One cut per flight.
      window = Math.max(MIN, CUT_FACTOR * Math.min(window, inFlight + 1));
      cutAtNanos = nowNanos;
    }
  }
}
