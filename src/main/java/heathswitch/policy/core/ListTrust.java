package heathswitch.policy.core;

/** To which servers a balancer may send by the list that it has. */
enum ListTrust {
  /** To each that the list names as in service. */
  CURRENT,
  /**
   * The list may be out of date, and discovery may be down: only to those that have just taken and
   * served new work, which a server that drains turns away.
   */
  SERVING_ONLY,
  /** The list may be out of date, and nothing speaks for an outage of discovery: to none. */
  NONE
}
