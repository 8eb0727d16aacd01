package heathswitch.policy.api;

/** How an attempt ended. */
public enum Outcome {
  /** Served. */
  OK(false),
  /** The server answered with an error; the request may have run. */
  ERROR(false),
  /** The server says that the request itself is at fault; another would say the same. */
  BAD_REQUEST(false),
  /** Turned away before the server looked at it. */
  REFUSED(true),
  /** No answer in time. */
  TIMEOUT(false),
  /** No connection could be made. */
  CONNECT_FAILED(true),
  /** The connection broke while the attempt was out. */
  RESET(false),
  /** Called off by the balancer. */
  CANCELLED(false),
  /** Never sent. */
  MOOT(true),
  /** A code that this version does not know; taken as one that may have run. */
  UNKNOWN(false);

  private final boolean neverRan;

  Outcome(boolean neverRan) {
    this.neverRan = neverRan;
  }

  /** True where the outcome proves that the request did not run. */
  public boolean neverRan() {
    return neverRan;
  }
}
