package heathswitch.policy.api;

import java.util.List;

/** All that an instance is told at its start. Times are in nanoseconds. */
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

  /** What the site allows. */
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

  /** The figures of the rules. */
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
