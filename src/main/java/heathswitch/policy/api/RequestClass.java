package heathswitch.policy.api;

/** One class of requests, as the settings state it. */
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

  /** Whether a request may run again. */
  public enum Effect {
    /** May be repeated freely. */
    SAFE,
    /** Repeats are dropped inside a group of servers, for a while. */
    KEYED,
    /** Must never run twice. */
    UNSAFE
  }

  /** Which servers drop each other's repeats of a keyed request. */
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
