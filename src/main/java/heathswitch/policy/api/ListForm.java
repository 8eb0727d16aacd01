package heathswitch.policy.api;

/** The forms in which discovery's news arrives. */
public enum ListForm {
  /** Only the changed entries. */
  CHANGES,
  /**
   * Only the changed entries, and no answer to a call: of an older watch, or an operator's mark.
   */
  UNASKED,
  /** The whole list. */
  WHOLE,
  /** The whole list as this instance last had it, possibly old. */
  STALE,
  /** A call failed or the subscription broke; no entries. */
  BROKEN,
  /** Discovery answered a call, and turned it away; no entries. */
  TURNED_AWAY,
  /** Discovery began to answer a call, and the answer broke off before it told anything. */
  CUT_SHORT,
  /** A call was taken or a watch was open, and nothing came any more; no entries. */
  SILENT,
  /** A call could not be made from here, which tells nothing of discovery; no entries. */
  NOT_MADE;

  /** Whether what is not among the entries is gone. */
  public boolean whole() {
    return this == WHOLE || this == STALE;
  }

  /** Whether discovery has answered with it, if it was called. */
  public boolean answer() {
    return this == CHANGES || this == WHOLE;
  }

  /** Whether a call or a subscription has failed; such news has no entries. */
  public boolean failure() {
    return this == BROKEN
        || this == TURNED_AWAY
        || this == CUT_SHORT
        || this == SILENT
        || this == NOT_MADE;
  }
}
