package heathswitch.policy.maintenance;

/** Where one machine of an order stands. */
public enum Phase {
  /** Not yet granted. */
  WAITING,
  /** Granted: nothing new goes there, what is in flight ends. */
  EMPTYING,
  /** Every balancer has let go of it: a person may work on it. */
  OUT,
  /** Back in service, cold. */
  RETURNING,
  /** As warm as before for every balancer. */
  DONE,
  /** Never went out: called off, or its time was over. */
  ABANDONED;

  /** Whether balancers must send it nothing. */
  public boolean held() {
    return this == EMPTYING || this == OUT;
  }

  boolean ended() {
    return this == DONE || this == ABANDONED;
  }
}
