package heathswitch.policy.api;

import java.util.List;

/**
 * The settings of a balancer. Times are in nanoseconds.
 *
 * @param overQuotaFactor factor on the worth of requests whose tenant is over its quota
 * @param worthByWork whether worth is per unit of work rather than per request
 * @param tier depth in the chain of services; 0 receives requests from outside
 * @param instance index of this balancer among those of the same service
 * @param instances number of balancers of the same service
 * @param subscribes whether the balancer has to subscribe at discovery itself
 */
public record Settings(
    List<RequestClass> classes,
    List<Tenant> tenants,
    double overQuotaFactor,
    boolean worthByWork,
    int tier,
    int instance,
    int instances,
    String zone,
    boolean subscribes,
    Limits limits,
    Obligations obligations) {

  /** Limits set by the site. */
  public record Limits(
      int maxAttempts,
      boolean mayHedge,
      boolean mayCancel,
      long keepAliveNanos,
      long dialTimeoutNanos,
      long maxRetryAfterNanos) {
    public Limits {
      require(maxAttempts >= 1, "limits.most_tries");
      require(keepAliveNanos >= 0, "limits.keepalive_ns");
      require(dialTimeoutNanos >= 0, "limits.dial_timeout_ns");
      require(maxRetryAfterNanos >= 0, "limits.max_retry_after_ns");
    }
  }

  /**
   * Rules that every balancer must keep.
   *
   * @param answerGraceNanos time before the deadline that a refusal needs to arrive in time
   * @param stopSendingWithinNanos grace period in which attempts may still go to a draining server
   * @param subscribeWithinNanos time within which the balancer must subscribe at discovery
   * @param startCapacity share of its capacity that a server has when it starts
   * @param warmUpNanos time after its start in which a server is cold
   * @param coldBudgetMultiple calls that may go to a cold server in a stretch of time, as a
   *     multiple of its capacity
   * @param coldBudgetWindowNanos length of that stretch
   */
  public record Obligations(
      long answerGraceNanos,
      long stopSendingWithinNanos,
      long subscribeWithinNanos,
      double startCapacity,
      long warmUpNanos,
      double coldBudgetMultiple,
      long coldBudgetWindowNanos) {
    public Obligations {
      require(answerGraceNanos >= 0, "obligations.grace_to_answer_ns");
      require(stopSendingWithinNanos >= 0, "obligations.stop_sending_within_ns");
      require(subscribeWithinNanos >= 0, "obligations.must_ask_in_ns");
      require(startCapacity >= 0 && startCapacity <= 1, "obligations.start_capacity");
      require(warmUpNanos >= 0, "obligations.warm_up_ns");
      require(coldBudgetMultiple >= 0, "obligations.tip_multiple");
      require(coldBudgetWindowNanos >= 0, "obligations.fall_ns");
    }
  }

  public Settings {
    require(classes != null && !classes.isEmpty(), "classes");
    require(tenants != null, "tenants");
    require(limits != null, "limits");
    require(obligations != null, "obligations");
    require(tier >= 0, "tier");
    require(instances >= 1, "replicas_of_me");
    classes = List.copyOf(classes);
    tenants = List.copyOf(tenants);
  }

  static void require(boolean holds, String field) {
    if (!holds) {
      throw new IllegalArgumentException("invalid setting: " + field);
    }
  }
}
