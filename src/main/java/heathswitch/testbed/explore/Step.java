package heathswitch.testbed.explore;

/** One event of a world, named so that a sequence of them can be read and pasted. */
public enum Step {
  ASK_A,
  ASK_B,
  /** The oldest attempt that is out ends so; the newest for those that say so. */
  OK,
  ERROR,
  ERROR_WITH_ANSWER,
  REFUSED,
  CONNECT_FAILED,
  RESET,
  OK_NEWEST,
  ERROR_NEWEST,
  BEGIN,
  /** A second end of an attempt that is over already. */
  LATE_OK,
  GONE_A,
  GONE_B,
  /** The caller leaves, which has not been read yet when the next step comes. */
  LEAVE_UNSEEN_A,
  /** The next timer comes due. */
  TIMER,
  /** The deadline of the oldest request that is open passes. */
  DEADLINE,
  DRAIN_ONE,
  REMOVE_ONE,
  /** Server one is on the list again under its id, as a process that started anew. */
  RELIST_ONE,
  /** Other settings, in which the two kinds of requests have changed places. */
  RELOAD,
  /** From now on no attempt gets a descriptor. */
  SHORTAGE,
  /** From now on attempts fail inside the call that starts them. */
  FAILS_AT_ONCE,
  /** From now on there is no other place to send to. */
  NOWHERE_ELSE
}
