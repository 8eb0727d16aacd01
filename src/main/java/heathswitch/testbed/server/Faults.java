package heathswitch.testbed.server;

/**
 * What goes wrong at a stand-in; may be switched from any thread while it runs. Shares are from 0
 * to 1, and a request meets the first fault that strikes it in the order of the fields.
 */
public final class Faults {
  private volatile boolean silent;
  private volatile boolean turnsAway;
  private volatile double resets;
  private volatile double errors;
  private volatile double spoilt;
  private volatile double slowness = 1;

  /** Takes requests and never answers. */
  public Faults silent(boolean on) {
    silent = on;
    return this;
  }

  /** Turns all requests away unrun, as a server does that drains. */
  public Faults turnsAway(boolean on) {
    turnsAway = on;
    return this;
  }

  /** Share of requests whose connection is reset when they have come. */
  public Faults resets(double share) {
    resets = share;
    return this;
  }

  /** Share of requests that are answered 500 after their work. */
  public Faults errors(double share) {
    errors = share;
    return this;
  }

  /** Share of requests whose answer cannot be read. */
  public Faults spoilt(double share) {
    spoilt = share;
    return this;
  }

  /** Work takes so many times as long. */
  public Faults slowness(double factor) {
    slowness = factor;
    return this;
  }

  boolean silent() {
    return silent;
  }

  boolean turnsAway() {
    return turnsAway;
  }

  double resets() {
    return resets;
  }

  double errors() {
    return errors;
  }

  double spoilt() {
    return spoilt;
  }

  double slowness() {
    return slowness;
  }
}
