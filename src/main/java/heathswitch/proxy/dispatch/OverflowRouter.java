package heathswitch.proxy.dispatch;

import heathswitch.policy.api.Outcome;
import heathswitch.policy.api.RequestClass;
import heathswitch.proxy.spi.Attempt;
import heathswitch.proxy.spi.Payload;
import heathswitch.proxy.spi.Upstream;

/**
 * Routes requests to other sites if the local servers have no capacity and none of them has started
 * to process the request. The implementation decides whether, where and how often a request is
 * forwarded. All calls are made on the event loop.
 */
public interface OverflowRouter {
  /**
   * Chooses a site for a request, or returns null for none.
   *
   * @param leftNanos the time left until the caller's deadline
   * @param earlierAttempts how often the request has been forwarded before
   */
  Upstream chooseSite(
      RequestClass requestClass, Payload payload, long leftNanos, int earlierAttempts);

  /** Starts an attempt at a chosen site; returns false if nothing was sent. */
  boolean start(Attempt attempt, RequestClass requestClass, Payload payload);

  /** Reports the end of an attempt; called once for each chosen site. */
  void onEnd(Upstream site, RequestClass requestClass, Outcome outcome, long tookNanos);

  /**
   * Reports that a request was refused by the local servers.
   *
   * @param own whether the request comes from a client of this site, not from another site
   */
  void onLocalRefusal(boolean own);

  /**
   * Reports that a request was served by a local server.
   *
   * @param tookNanos the time since the request was complete
   */
  void onLocalAnswer(RequestClass requestClass, long tookNanos);
}
