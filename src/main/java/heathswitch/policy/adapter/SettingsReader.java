package heathswitch.policy.adapter;

import heathswitch.policy.api.RequestClass;
import heathswitch.policy.api.Settings;
import heathswitch.policy.api.Tenant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Reads the settings object of the wire into {@link Settings}; unknown keys are ignored. */
public final class SettingsReader {
  private SettingsReader() {}

  /**
   * Reads the settings.
   *
   * @throws IllegalArgumentException naming the field that is invalid
   */
  public static Settings read(Map<String, Object> env) {
    List<RequestClass> classes = new ArrayList<>();
    for (Object item : list(env, "classes")) {
      classes.add(requestClass(map(item, "classes")));
    }
    List<Tenant> tenants = new ArrayList<>();
    for (Object item : list(env, "tenants")) {
      Map<String, Object> tenant = map(item, "tenants");
      tenants.add(
          new Tenant(
              text(tenant, "name", null),
              number(tenant, "portion", 0),
              number(tenant, "quota_rps", 0)));
    }
    return new Settings(
        classes,
        tenants,
        number(env, "over_share_worth", 1),
        "work".equals(text(env, "worth_by", "request")),
        (int) whole(env, "tier", 0),
        (int) whole(env, "me", 0),
        (int) whole(env, "replicas_of_me", 1),
        text(env, "zone", null),
        "subscribe".equals(text(env, "membership_mode", "automatic")),
        limits(map(env.getOrDefault("limits", Map.of()), "limits")),
        obligations(map(env.getOrDefault("obligations", Map.of()), "obligations")));
  }

  private static RequestClass requestClass(Map<String, Object> item) {
    return new RequestClass(
        text(item, "name", null),
        effect(text(item, "idempotency", "non_idempotent")),
        group(text(item, "group", "all")),
        whole(item, "aim_ns", 0),
        whole(item, "hard_limit_ns", 0),
        whole(item, "window_ns", 0),
        number(item, "importance", 1),
        number(item, "late_worth", 0),
        Boolean.TRUE.equals(item.get("stream")));
  }

  private static RequestClass.Effect effect(String name) {
    return switch (name) {
      case "read_like" -> RequestClass.Effect.SAFE;
      case "idempotency_key" -> RequestClass.Effect.KEYED;
      // For a value that this version does not know a request must not run twice.
      default -> RequestClass.Effect.UNSAFE;
    };
  }

  private static RequestClass.Group group(String name) {
    return switch (name) {
      case "all" -> RequestClass.Group.ALL;
      case "zone" -> RequestClass.Group.ZONE;
      default -> RequestClass.Group.CELL;
    };
  }

  private static Settings.Limits limits(Map<String, Object> limits) {
    return new Settings.Limits(
        (int) whole(limits, "most_tries", 1),
        Boolean.TRUE.equals(limits.get("may_duplicate")),
        Boolean.TRUE.equals(limits.get("cancelling")),
        whole(limits, "keepalive_ns", 10_000_000_000L),
        whole(limits, "dial_timeout_ns", 0),
        Boolean.FALSE.equals(limits.get("retry_after"))
            ? 0
            : whole(limits, "max_retry_after_ns", 0));
  }

  private static Settings.Obligations obligations(Map<String, Object> rules) {
    return new Settings.Obligations(
        whole(rules, "grace_to_answer_ns", 0),
        whole(rules, "stop_sending_within_ns", 0),
        whole(rules, "must_ask_in_ns", 10_000_000_000L),
        number(rules, "start_capacity", 0),
        whole(rules, "warm_up_ns", 0),
        number(rules, "tip_multiple", 1),
        whole(rules, "fall_ns", 0));
  }

  @SuppressWarnings("unchecked")
  private static Map<String, Object> map(Object value, String field) {
    if (value instanceof Map<?, ?> map) {
      return (Map<String, Object>) map;
    }
    throw new IllegalArgumentException("invalid setting: " + field + " is not an object");
  }

  private static List<?> list(Map<String, Object> map, String key) {
    Object value = map.get(key);
    if (value == null) {
      return List.of();
    }
    if (value instanceof List<?> list) {
      return list;
    }
    throw new IllegalArgumentException("invalid setting: " + key + " is not a list");
  }

  private static String text(Map<String, Object> map, String key, String defaultValue) {
    return map.get(key) instanceof String text ? text : defaultValue;
  }

  private static double number(Map<String, Object> map, String key, double defaultValue) {
    return map.get(key) instanceof Number number ? number.doubleValue() : defaultValue;
  }

  private static long whole(Map<String, Object> map, String key, long defaultValue) {
    return map.get(key) instanceof Number number ? number.longValue() : defaultValue;
  }
}
