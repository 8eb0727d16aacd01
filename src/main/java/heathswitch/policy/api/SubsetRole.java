package heathswitch.policy.api;

/** Whether a balancer among others is to use a server. */
public enum SubsetRole {
  /** Nothing is said: all servers alike, near ones first. */
  ANY,
  /** One of those that it uses; its weight says how much against the others of these. */
  OWN,
  /** Others use it: nothing goes there while one of its own has room. */
  SPARE
}
