package heathswitch.testbed.explore;

/** What has to hold in every order of events; the page for maintainers says each in full. */
public enum Invariant {
  /** Exactly one final answer to each request whose caller has not gone. */
  EXACTLY_ONE_ANSWER,
  /** The final answer comes by the deadline and a grace. */
  ANSWER_BY_DEADLINE,
  /** An answer that is served was made for this request. */
  ANSWER_BELONGS_TO_REQUEST,
  /**
   * A request that may not be repeated is not sent after an attempt that is out or may have run.
   */
  UNSAFE_NOT_RETRIED,
  /** Nor refused after one. */
  UNSAFE_NOT_REFUSED,
  /** A keyed one is repeated only within its group and time. */
  KEYED_RETRY_IN_WINDOW,
  /** A call with more of it to come has one attempt at a time. */
  STREAM_NOT_HEDGED,
  /** Nothing new is sent after the final answer. */
  NO_SEND_AFTER_ANSWER,
  /** Nothing new is sent for a caller that has left, though that was not read before. */
  NO_SEND_AFTER_DISCONNECT,
  /** Nothing new is sent past the deadline. */
  NO_SEND_AFTER_DEADLINE,
  /** Nothing new is sent to a server that drains or is gone. */
  NO_SEND_TO_DRAINED_SERVER,
  /** No more attempts than the limit. */
  ATTEMPT_LIMIT,
  /**
   * At rest each attempt has ended: none is out at a server, in the module or in the dispatcher.
   */
  NO_ATTEMPT_LEAK,
  /** At rest no request, no wait and no place in the entry window is left. */
  NO_REQUEST_LEAK,
  /** At rest no timer is left that comes back. */
  NO_TIMER_LEAK,
  /** Each payload and each answer is released exactly once. */
  RELEASED_ONCE,
  /** An attempt that nobody waits for any more has been called off. */
  UNNEEDED_ATTEMPT_CANCELLED,
  /** An attempt whose answer goes on is not called off while its caller waits. */
  STREAMING_ATTEMPT_KEPT,
  /** Sent to another place only if no attempt here is out or may have run. */
  NO_OVERFLOW_AFTER_RUN,
  /** What came from another place is served here or nowhere. */
  NO_SECOND_OVERFLOW,
  /** No more than two attempts elsewhere. */
  OVERFLOW_ATTEMPT_LIMIT,
  /** Once sent elsewhere, a request is sent to no server here. */
  NO_LOCAL_SEND_AFTER_OVERFLOW,
  /** The place is told once of the end of each attempt there, and of each request served here. */
  OVERFLOW_ROUTER_NOTIFIED,
  /** No exception out of an event. */
  NO_EXCEPTION
}
