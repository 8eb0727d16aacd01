package heathswitch.testbed.platform;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The settings that all balancers of a fleet have in common.
 *
 * @param deadlineMillis the deadline of every class of requests, and how long clients wait
 * @param graceMillis how long a server may be sent requests after its drain was delivered
 * @param sockets the number of descriptors that each process may have open
 * @param pushed whether lists are pushed to an agent beside each balancer, instead of called for
 * @param mustAskMillis how long a balancer without a watch may use its list after its last call
 */
public record PlatformSettings(
    long deadlineMillis, long graceMillis, int sockets, boolean pushed, long mustAskMillis) {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long DEFAULT_MUST_ASK_MILLIS = 10_000;

  /** Settings with the interval between calls for the list that most deployments have. */
  public PlatformSettings(long deadlineMillis, long graceMillis, int sockets, boolean pushed) {
    this(deadlineMillis, graceMillis, sockets, pushed, DEFAULT_MUST_ASK_MILLIS);
  }

  /** The platform's settings object for one balancer, by its index among all balancers. */
  Map<String, Object> toJson(int index, int balancers) {
    Map<String, Object> settings = new LinkedHashMap<>();
    settings.put(
        "classes",
        List.of(
            requestClass("view", "read_like", 1.0),
            requestClass("publish", "non_idempotent", 2.0)));
    settings.put("tenants", List.of(Map.of("name", "school", "portion", 1.0, "quota_rps", 1000.0)));
    settings.put("membership_mode", pushed ? "automatic" : "subscribe");
    settings.put("me", index);
    settings.put("replicas_of_me", Math.max(1, balancers));
    settings.put("tier", 0);
    settings.put("zone", "a");
    settings.put("limits", limits());
    settings.put("obligations", obligations());
    return settings;
  }

  private Map<String, Object> requestClass(String name, String effect, double importance) {
    Map<String, Object> requestClass = new LinkedHashMap<>();
    requestClass.put("name", name);
    requestClass.put("idempotency", effect);
    requestClass.put("group", "all");
    requestClass.put("aim_ns", deadlineMillis * NANOS_PER_MILLI / 2);
    requestClass.put("hard_limit_ns", deadlineMillis * NANOS_PER_MILLI);
    requestClass.put("window_ns", 5_000 * NANOS_PER_MILLI);
    requestClass.put("importance", importance);
    return requestClass;
  }

  private static Map<String, Object> limits() {
    Map<String, Object> limits = new LinkedHashMap<>();
    limits.put("most_tries", 4);
    limits.put("may_duplicate", true);
    limits.put("cancelling", true);
    limits.put("keepalive_ns", 5_000 * NANOS_PER_MILLI);
    limits.put("dial_timeout_ns", 250 * NANOS_PER_MILLI);
    limits.put("max_retry_after_ns", 2_000 * NANOS_PER_MILLI);
    limits.put("retry_after", true);
    return limits;
  }

  private Map<String, Object> obligations() {
    Map<String, Object> obligations = new LinkedHashMap<>();
    obligations.put("grace_to_answer_ns", 20 * NANOS_PER_MILLI);
    obligations.put("stop_sending_within_ns", graceMillis * NANOS_PER_MILLI);
    obligations.put("must_ask_in_ns", mustAskMillis * NANOS_PER_MILLI);
    obligations.put("start_capacity", 0.2);
    obligations.put("warm_up_ns", 10_000 * NANOS_PER_MILLI);
    obligations.put("tip_multiple", 2.5);
    obligations.put("fall_ns", 2_000 * NANOS_PER_MILLI);
    return obligations;
  }
}
