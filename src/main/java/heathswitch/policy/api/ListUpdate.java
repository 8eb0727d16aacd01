package heathswitch.policy.api;

/** The forms in which discovery's news arrives. */
public enum ListUpdate {
  /** Only the changed entries. */
  DELTA,
  /**
   * Only the changed entries, and no answer to a call: of an older watch, or an operator's mark.
   */
  UNSOLICITED_DELTA,
  /** The whole list. */
  FULL,
  /** The whole list as this instance last had it, possibly old. */
  STALE_FULL,
  /** A call failed or the subscription broke; no entries. */
  FAILED,
  /** Discovery answered a call, and turned it away; no entries. */
  REJECTED,
  /** Discovery began to answer a call, and the answer broke off before it told anything. */
  TRUNCATED,
  /** A call was taken or a watch was open, and nothing came any more; no entries. */
  SILENT,
  /** A call could not be made from here, which tells nothing of discovery; no entries. */
  NOT_SENT;

  /** Whether what is not among the entries is gone. */
  public boolean isFull() {
    return this == FULL || this == STALE_FULL;
  }

  /** Whether discovery has answered with it, if it was called. */
  public boolean answersCall() {
    return this == DELTA || this == FULL;
  }

  /** Whether a call or a subscription has failed; such news has no entries. */
  public boolean isFailure() {
    return this == FAILED
        || this == REJECTED
        || this == TRUNCATED
        || this == SILENT
        || this == NOT_SENT;
  }
}
