package heathswitch.policy.api;

/** How an attempt ended. */
public enum Outcome {
  /** Served. */
  OK(false),
  /** The server answered with an error; the request may have run. */
  ERROR(false),
  /** The server rejected the request as invalid; any other server would do the same. */
  BAD_REQUEST(false),
  /** Refused by the server before it processed the request. */
  REFUSED(true),
  /** No answer in time. */
  TIMEOUT(false),
  /** No connection could be made. */
  CONNECT_FAILED(true),
  /** The connection broke while the attempt was in flight. */
  RESET(false),
  /** Cancelled by the balancer. */
  CANCELLED(false),
  /** Never sent. */
  MOOT(true),
  /** A code that this version does not know; the request may have run. */
  UNKNOWN(false);

  private final boolean neverRan;

  Outcome(boolean neverRan) {
    this.neverRan = neverRan;
  }

  /** Whether the outcome proves that the request did not run. */
  public boolean neverRan() {
    return neverRan;
  }
}
