package heathswitch.policy.api;

/** Role of a server for one balancer, where each balancer uses a subset of the servers. */
public enum SubsetRole {
  /** No subset is assigned: all servers are used alike, near ones first. */
  ANY,
  /** In the balancer's subset; its weight is relative to the others in the subset. */
  OWN,
  /** Outside the subset: gets calls only when no server in the subset has room. */
  SPARE
}
