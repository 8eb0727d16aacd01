package heathswitch.policy.api;

/** Why a request was refused or failed without having been served; for the log. */
public enum UnservedReason {
  /** Admission control refuses requests of its worth at present. */
  NOT_ADMITTED,
  /** No server had room. */
  NO_ROOM,
  /** The list of servers is too old to be used. */
  LIST_NOT_CURRENT,
  /** It was queued, and no server had room in time. */
  WAITED_IN_VAIN,
  /** Its attempt failed, and no time, no retry budget or no further attempt is left. */
  NO_FURTHER_ATTEMPT
}
