package heathswitch.testbed.explore;

/** One event of a world, named so that a sequence of them can be read and pasted. */
public enum Step {
  REQUEST_A,
  REQUEST_B,
  /** The oldest attempt that is out ends so; the newest for those that say so. */
  OK,
  ERROR,
  ERROR_WITH_ANSWER,
  REFUSED,
  CONNECT_FAILED,
  RESET,
  OK_NEWEST,
  ERROR_NEWEST,
  BEGIN_STREAMING,
  /** A second end of an attempt that is over already. */
  LATE_OK,
  DISCONNECT_A,
  DISCONNECT_B,
  /** The caller leaves, which has not been read yet when the next step comes. */
  UNREAD_DISCONNECT_A,
  /** The next timer comes due. */
  TIMER,
  /** The deadline of the oldest request that is open passes. */
  DEADLINE,
  DRAIN_SERVER,
  REMOVE_SERVER,
  /** Server one is on the list again under its id, as a process that started anew. */
  RELIST_SERVER,
  /** Other settings, in which the two kinds of requests have changed places. */
  RELOAD,
  /** From now on no attempt gets a descriptor. */
  DESCRIPTOR_SHORTAGE,
  /** From now on attempts fail inside the call that starts them. */
  FAIL_SYNCHRONOUSLY,
  /** From now on there is no other place to send to. */
  NO_OVERFLOW_SITE
}
