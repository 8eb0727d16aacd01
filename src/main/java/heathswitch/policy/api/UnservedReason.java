package heathswitch.policy.api;

/** Why a request got its final answer without having been served, for the log. */
public enum UnservedReason {
  /** The entry takes no more of its worth at present. */
  NOT_ADMITTED,
  /** No server could take it. */
  NO_ROOM,
  /** The list of servers may not be acted on. */
  LIST_NOT_CURRENT,
  /** It waited for room, and none came. */
  WAITED_IN_VAIN,
  /** Its attempt failed, and there is no time, no allowance or no attempt left for another. */
  NO_FURTHER_ATTEMPT
}
