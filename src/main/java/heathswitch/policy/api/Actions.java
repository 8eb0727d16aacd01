package heathswitch.policy.api;

/** The actions that a balancer requests from its host, to be carried out in order. */
public interface Actions {
  /**
   * Sends an attempt of a request to a server. The attempts of a request are numbered from 0 in the
   * order of these calls.
   *
   * @param attemptDeadlineNanos clock time at which the attempt times out; 0 for the deadline of
   *     the request
   */
  void send(long requestId, long serverId, long attemptDeadlineNanos);

  /** Cancels an attempt. */
  void cancel(long requestId, int attempt);

  /**
   * Refuses a request as its final answer; the client may safely retry it.
   *
   * @param retryAfterNanos advised wait before a retry; 0 for no advice
   */
  void refuse(long requestId, long retryAfterNanos);

  /** Fails a request as its final answer; the request may or may not have taken effect. */
  void fail(long requestId);

  /** Reports the reason for the refusal or failure that follows. */
  default void reportUnserved(long requestId, UnservedReason reason) {}

  /** Sets a timer; {@code onTimer} is called with the token when it fires. */
  void setTimer(long delayNanos, long token);

  /** Opens or ends the subscription to changes of the list at discovery. */
  void watch(boolean enable);

  /** Requests the full list from discovery once. */
  void fetch();

  /** Writes a line to the operators' log. */
  void log(String message);
}
