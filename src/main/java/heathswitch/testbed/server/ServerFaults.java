package heathswitch.testbed.server;

/**
 * Faults injected by a simulated server. They can be changed from any thread while it runs. Shares
 * are between 0 and 1. If several faults apply to a request, the first in the order of the fields
 * wins.
 */
public final class ServerFaults {
  private volatile boolean unresponsive;
  private volatile boolean refusing;
  private volatile double resetShare;
  private volatile double errorShare;
  private volatile double malformedShare;
  private volatile double slowdown = 1;

  /** Accepts requests and never answers. */
  public ServerFaults unresponsive(boolean enabled) {
    unresponsive = enabled;
    return this;
  }

  /** Refuses all requests without running them, as a draining server does. */
  public ServerFaults refusing(boolean enabled) {
    refusing = enabled;
    return this;
  }

  /** Sets the share of requests whose connection is reset after they are received. */
  public ServerFaults resetShare(double share) {
    resetShare = share;
    return this;
  }

  /** Sets the share of requests that are answered with status 500 after their work. */
  public ServerFaults errorShare(double share) {
    errorShare = share;
    return this;
  }

  /** Sets the share of requests with a malformed answer. */
  public ServerFaults malformedShare(double share) {
    malformedShare = share;
    return this;
  }

  /** Sets the factor by which work takes longer. */
  public ServerFaults slowdown(double factor) {
    slowdown = factor;
    return this;
  }

  boolean unresponsive() {
    return unresponsive;
  }

  boolean refusing() {
    return refusing;
  }

  double resetShare() {
    return resetShare;
  }

  double errorShare() {
    return errorShare;
  }

  double malformedShare() {
    return malformedShare;
  }

  double slowdown() {
    return slowdown;
  }
}
