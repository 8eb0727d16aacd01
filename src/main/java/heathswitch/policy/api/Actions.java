package heathswitch.policy.api;

/** What a balancer asks of its host. Calls are carried out in the order in which they are made. */
public interface Actions {
  /** Starts an attempt of the request; attempts are numbered from 0 in this order. */
  void send(long requestId, long serverId, long attemptDeadlineNanos);

  /** Stops waiting for one attempt. */
  void cancel(long requestId, int attempt);

  /** Final answer: turned away, and a retry is harmless. Zero advice means none. */
  void refuse(long requestId, long retryAfterNanos);

  /** Final answer: failed, with no promise about the effect. */
  void fail(long requestId);

  /** Says why the refusal or failure that follows is the answer. */
  default void reportUnserved(long requestId, UnservedReason reason) {}

  /** Asks for a timer event with this token. */
  void setTimer(long delayNanos, long token);

  /** Asks discovery for changes from now on. */
  void watch(boolean enable);

  /** Asks discovery for the whole list once. */
  void fetch();

  /** Leaves a line for the people on call. */
  void log(String message);
}
