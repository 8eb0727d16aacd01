package heathswitch.policy.api;

/** Kinds of updates of the server list, and of failures to get one. */
public enum ListUpdate {
  /** Only the changed entries. */
  DELTA,
  /**
   * Only the changed entries, not in answer to a call: from an earlier watch, or because an
   * operator has suspended or resumed an upstream.
   */
  UNSOLICITED_DELTA,
  /** The full list. */
  FULL,
  /** The full list as this balancer last knew it, possibly out of date. */
  STALE_FULL,
  /** A call failed or the subscription broke; no entries. */
  FAILED,
  /** Discovery rejected a call; no entries. */
  REJECTED,
  /** The answer to a call broke off before it contained any of the list; no entries. */
  TRUNCATED,
  /** A call was accepted or a watch was open, but nothing arrived in time; no entries. */
  SILENT,
  /** A call failed on this machine, which says nothing about discovery; no entries. */
  NOT_SENT;

  /** Whether servers that are not among the entries have been removed. */
  public boolean isFull() {
    return this == FULL || this == STALE_FULL;
  }

  /** Whether this answers a call that is in flight. */
  public boolean answersCall() {
    return this == DELTA || this == FULL;
  }

  /** Whether a call or a subscription has failed; such an update has no entries. */
  public boolean isFailure() {
    return this == FAILED
        || this == REJECTED
        || this == TRUNCATED
        || this == SILENT
        || this == NOT_SENT;
  }
}
