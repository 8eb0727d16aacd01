package meadowtrack.core;

/** To which servers a balancer may send by the list that it has. */
enum ListTrust {
  /** To each that the list names as in service. */
  CURRENT,
  /**
   * The list may be out of date, and it cannot be told whether discovery runs: only to those that
   * have just taken and served new work, which a server that drains turns away.
   */
  SERVING_ONLY,
  /** Discovery runs and has not confirmed the list: to none. */
  NONE
}
