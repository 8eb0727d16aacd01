package heathswitch.policy.core;

/** To which servers a balancer may send, given the age of its list. */
enum ListTrust {
  /** To all servers that the list has in service. */
  CURRENT,
  /**
   * The list may be out of date, and discovery may be down: only to servers that have just served a
   * new request, which a draining server refuses.
   */
  SERVING_ONLY,
  /** The list may be out of date, and there is no sign of an outage of discovery: to none. */
  NONE
}
