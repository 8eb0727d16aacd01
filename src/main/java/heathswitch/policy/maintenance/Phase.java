package heathswitch.policy.maintenance;

/** The phase of one machine of an order. */
public enum Phase {
  /** Not yet granted. */
  WAITING,
  /** Granted; balancers send it no new attempts and wait for those in flight to end. */
  EMPTYING,
  /** No balancer has anything in flight there; maintenance may begin. */
  OUT,
  /** Back in service, cold. */
  RETURNING,
  /** Every balancer sees the machine in full service again. */
  DONE,
  /** Never went out: the order was cancelled, or its time limit for grants has passed. */
  ABANDONED;

  /** Whether the order holds the machine, so that balancers must not send it anything new. */
  public boolean held() {
    return this == EMPTYING || this == OUT;
  }

  boolean ended() {
    return this == DONE || this == ABANDONED;
  }
}
