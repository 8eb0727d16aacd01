package heathswitch.policy.api;

/**
 * The settings of one class of requests.
 *
 * @param aimNanos delay to stay within
 * @param dedupWindowNanos how long servers drop repeats of a keyed request
 * @param worth value of a request that is served within its aim
 * @param lateWorth value of a request that is served later
 */
public record RequestClass(
    String name,
    Effect effect,
    Group group,
    long aimNanos,
    long deadlineNanos,
    long dedupWindowNanos,
    double worth,
    double lateWorth,
    boolean stream) {

  /** Whether a request may run more than once. */
  public enum Effect {
    /** May be repeated freely. */
    SAFE,
    /** Repeats are dropped within a group of servers for a limited time. */
    KEYED,
    /** Must never run twice. */
    UNSAFE
  }

  /** The servers that deduplicate a keyed request together. */
  public enum Group {
    ALL,
    ZONE,
    CELL
  }

  public RequestClass {
    Settings.require(name != null && !name.isEmpty(), "classes[].name");
    Settings.require(effect != null, "classes[].idempotency");
    Settings.require(group != null, "classes[].group");
    Settings.require(aimNanos > 0, "classes[].aim_ns");
    Settings.require(deadlineNanos >= aimNanos, "classes[].hard_limit_ns");
    Settings.require(dedupWindowNanos >= 0, "classes[].window_ns");
    Settings.require(worth >= 0, "classes[].importance");
    Settings.require(lateWorth >= 0, "classes[].late_worth");
  }
}
