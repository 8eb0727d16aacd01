package heathswitch.proxy.dispatch;

import heathswitch.policy.api.Outcome;
import heathswitch.policy.api.RequestClass;
import heathswitch.proxy.spi.Attempt;
import heathswitch.proxy.spi.Payload;
import heathswitch.proxy.spi.Upstream;

/**
 * Where a request may go that the servers here have no room for and none of them has begun to run.
 * Whether one goes, where to and how often is decided there. All calls come on the loop.
 */
public interface OverflowRouter {
  /**
   * A place for a request, or null for none.
   *
   * @param leftNanos of its caller's time
   * @param tries how often it was sent elsewhere before
   */
  Upstream chooseSite(RequestClass type, Payload payload, long leftNanos, int tries);

  /** Starts an attempt at a place that was chosen; false if nothing was sent. */
  boolean start(Attempt attempt, RequestClass type, Payload payload);

  /** An attempt is over; told for each that was chosen. */
  void onEnd(Upstream at, RequestClass type, Outcome outcome, long tookNanos);

  /**
   * A request was turned away here.
   *
   * @param own whether its caller is one of this place's own, not another place
   */
  void onLocalRefusal(boolean own);

  /** A request was served here, so long after it had come whole. */
  void onLocalAnswer(RequestClass type, long tookNanos);
}
