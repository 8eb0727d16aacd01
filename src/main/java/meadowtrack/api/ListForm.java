package meadowtrack.api;

/** The forms in which discovery's news arrives. */
public enum ListForm {
  /** Only the changed entries. */
  CHANGES,
  /** The whole list. */
  WHOLE,
  /** The whole list as this instance last had it, possibly old. */
  STALE,
  /** A call failed or the subscription broke; no entries. */
  BROKEN
}
