package heathswitch.policy.grpc;

/**
 * When a call or its answer is no longer held back but goes on as it comes. What is held back can
 * be taken back: a call can go to another server, an answer can be replaced by that of another
 * attempt. The wire does not say which kind a method is; only what has come of it does.
 */
public enum BufferingMode {
  /** Told from the traffic: it is one message until it shows that it is not. */
  AUTO,
  /** Held back whole, within the bound of a message. */
  UNARY,
  /** Never held back. */
  STREAM;

  /**
   * Whether it goes on from here, not having ended.
   *
   * @param messages begun so far
   * @param bytes held back so far
   * @param most bytes that are held back of what may be a stream
   */
  public boolean shouldForward(long messages, long bytes, long most) {
    return this == STREAM || this == AUTO && (messages > 1 || bytes > most);
  }

  /** Whether it goes on when it has not ended after the time for which it is held back. */
  public boolean forwardsAfterTimeout() {
    return this != UNARY;
  }
}
