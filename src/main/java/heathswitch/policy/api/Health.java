package heathswitch.policy.api;

/** What discovery says of a server. */
public enum Health {
  /** In service. */
  READY,
  /** Finishing its work; nothing new may be sent. */
  DRAINING,
  /** Removed. */
  GONE
}
