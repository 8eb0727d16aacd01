package heathswitch.testbed.explore;

/**
 * The invariants that must hold for every sequence of events; the maintainers' documentation states
 * each in full.
 */
public enum Invariant {
  /** Each request whose caller has not disconnected gets exactly one final answer. */
  EXACTLY_ONE_ANSWER,
  /** The final answer arrives by the deadline plus a grace period. */
  ANSWER_BY_DEADLINE,
  /** An answer is delivered only to the request it was made for. */
  ANSWER_BELONGS_TO_REQUEST,
  /** An unsafe request is not sent again after an attempt that is in flight or may have run. */
  UNSAFE_NOT_RETRIED,
  /** An unsafe request is not refused after an attempt that is in flight or may have run. */
  UNSAFE_NOT_REFUSED,
  /** A keyed request is repeated only within its group and its window. */
  KEYED_RETRY_IN_WINDOW,
  /** A call with more request messages to come has one attempt at a time. */
  STREAM_NOT_HEDGED,
  /** Nothing is sent after the final answer. */
  NO_SEND_AFTER_ANSWER,
  /** Nothing is sent for a caller that has disconnected, even if that was not read before. */
  NO_SEND_AFTER_DISCONNECT,
  /** Nothing is sent after the deadline. */
  NO_SEND_AFTER_DEADLINE,
  /** Nothing is sent to a server that is draining or removed. */
  NO_SEND_TO_DRAINED_SERVER,
  /** The number of attempts does not exceed the limit. */
  ATTEMPT_LIMIT,
  /** At rest no attempt is in flight at a server, in the module or in the dispatcher. */
  NO_ATTEMPT_LEAK,
  /** At rest there is no open or waiting request, and the entry window is empty. */
  NO_REQUEST_LEAK,
  /** At rest there is no recurring timer. */
  NO_TIMER_LEAK,
  /** Each payload and each answer is released exactly once. */
  RELEASED_ONCE,
  /** An attempt whose result is no longer needed is cancelled. */
  UNNEEDED_ATTEMPT_CANCELLED,
  /** An attempt whose answer is being streamed is not cancelled while its caller waits. */
  STREAMING_ATTEMPT_KEPT,
  /** A request overflows only if no local attempt is in flight or may have run. */
  NO_OVERFLOW_AFTER_RUN,
  /** A request that came from another site is not forwarded to a further one. */
  NO_SECOND_OVERFLOW,
  /** A request has at most two attempts at other sites. */
  OVERFLOW_ATTEMPT_LIMIT,
  /** A request that has been sent to another site is not sent to a local server. */
  NO_LOCAL_SEND_AFTER_OVERFLOW,
  /** The overflow router is told once of each end of its attempts and each local answer. */
  OVERFLOW_ROUTER_NOTIFIED,
  /** No event handler throws an exception. */
  NO_EXCEPTION
}
