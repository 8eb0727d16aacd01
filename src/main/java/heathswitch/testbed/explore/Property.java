package heathswitch.testbed.explore;

/** What has to hold in every order of events; the page for maintainers says each in full. */
public enum Property {
  /** Exactly one final answer to each request whose caller has not gone. */
  ONE_ANSWER,
  /** The final answer comes by the deadline and a grace. */
  ANSWER_IN_TIME,
  /** An answer that is served was made for this request. */
  OWN_ANSWER,
  /**
   * A request that may not be repeated is not sent after an attempt that is out or may have run.
   */
  UNSAFE_SENT_AGAIN,
  /** Nor refused after one. */
  UNSAFE_REFUSED,
  /** A keyed one is repeated only within its group and time. */
  KEYED_BOUND,
  /** A call with more of it to come has one attempt at a time. */
  SENT_BESIDE,
  /** Nothing new is sent after the final answer. */
  SENT_AFTER_ANSWER,
  /** Nothing new is sent for a caller that has left, though that was not read before. */
  SENT_AFTER_LEAVING,
  /** Nothing new is sent past the deadline. */
  SENT_LATE,
  /** Nothing new is sent to a server that drains or is gone. */
  SENT_TO_DRAINED,
  /** No more attempts than the limit. */
  TOO_MANY_ATTEMPTS,
  /**
   * At rest each attempt has ended: none is out at a server, in the module or in the dispatcher.
   */
  ATTEMPT_LEFT,
  /** At rest no request, no wait and no place in the entry window is left. */
  REQUEST_LEFT,
  /** At rest no timer is left that comes back. */
  TIMER_LEFT,
  /** Each payload and each answer is released exactly once. */
  RELEASED_ONCE,
  /** An attempt that nobody waits for any more has been called off. */
  CALLED_OFF,
  /** An attempt whose answer goes on is not called off while its caller waits. */
  GOES_ON,
  /** Sent to another place only if no attempt here is out or may have run. */
  AWAY_AFTER_RUN,
  /** What came from another place is served here or nowhere. */
  SENT_ON,
  /** No more than two attempts elsewhere. */
  TOO_OFTEN_AWAY,
  /** Once sent elsewhere, a request is sent to no server here. */
  HOME_AGAIN,
  /** The place is told once of the end of each attempt there, and of each request served here. */
  AWAY_TOLD,
  /** No exception out of an event. */
  NO_EXCEPTION
}
