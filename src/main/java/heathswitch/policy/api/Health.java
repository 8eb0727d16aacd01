package heathswitch.policy.api;

/** State of a server as discovery lists it. */
public enum Health {
  /** In service. */
  READY,
  /** Finishing its work; nothing new may be sent to it. */
  DRAINING,
  /** Removed. */
  GONE
}
