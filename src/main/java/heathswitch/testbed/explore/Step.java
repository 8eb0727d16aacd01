package heathswitch.testbed.explore;

/** The events that the explorer plays; printed sequences of their names can be used in tests. */
public enum Step {
  REQUEST_A,
  REQUEST_B,
  /** The oldest attempt in flight ends this way; steps named NEWEST end the newest attempt. */
  OK,
  ERROR,
  ERROR_WITH_ANSWER,
  REFUSED,
  CONNECT_FAILED,
  RESET,
  OK_NEWEST,
  ERROR_NEWEST,
  /** The answer of the oldest attempt starts streaming. */
  BEGIN_STREAMING,
  /** An attempt that has ended reports a second outcome. */
  LATE_OK,
  DISCONNECT_A,
  DISCONNECT_B,
  /** The caller disconnects, but this has not been read yet at the next step. */
  UNREAD_DISCONNECT_A,
  /** The next timer expires. */
  TIMER,
  /** The deadline of the oldest open request passes. */
  DEADLINE,
  DRAIN_SERVER,
  REMOVE_SERVER,
  /** The drained or removed server is listed again under its id, as a restarted process. */
  RELIST_SERVER,
  /** New settings swap the effects of the two kinds of requests. */
  RELOAD,
  /** From now on no descriptor is available for an attempt. */
  DESCRIPTOR_SHORTAGE,
  /** From now on attempts fail inside the call that starts them. */
  FAIL_SYNCHRONOUSLY,
  /** From now on the other site is not available. */
  NO_OVERFLOW_SITE
}
