package heathswitch.proxy.platform;

import heathswitch.policy.api.Health;
import heathswitch.proxy.dispatch.Member;
import heathswitch.proxy.runtime.Addresses;
import heathswitch.proxy.runtime.Log;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * A list of upstreams as received from discovery.
 *
 * @param revision the revision of discovery's list; grows with each change
 * @param whole whether this is the complete list, so that an upstream missing from it is gone;
 *     otherwise it has only the changed entries
 * @param entries the upstreams
 */
record DiscoveryList(long revision, boolean whole, List<Member> entries) {
  /** Later start times would overflow a long in the nanoseconds of the policy module. */
  private static final long MAX_START_TIME_MILLIS = 9_000_000_000_000L;

  /** A list without changes since a revision. */
  static DiscoveryList unchanged(long revision) {
    return new DiscoveryList(revision, false, List.of());
  }

  /**
   * Reads a list. An entry that cannot be read is logged and skipped.
   *
   * @throws IllegalArgumentException if the JSON object is not a list
   */
  static DiscoveryList parse(Map<String, Object> json) {
    if (!(json.get("revision") instanceof Number revision)
        || !(json.get("members") instanceof List<?> members)) {
      throw new IllegalArgumentException("expected an object with \"revision\" and \"members\"");
    }
    List<Member> entries = new ArrayList<>();
    for (Object member : members) {
      Member entry = member instanceof Map<?, ?> map ? entry(map) : null;
      if (entry == null) {
        Log.warn("discovery entry", "skipped: " + truncate(String.valueOf(member)));
      } else {
        entries.add(entry);
      }
    }
    return new DiscoveryList(
        revision.longValue(), !Boolean.FALSE.equals(json.get("complete")), entries);
  }

  private static Member entry(Map<?, ?> map) {
    Health health = health(map.get("phase"));
    InetSocketAddress address =
        map.get("host_port") instanceof String text ? Addresses.parse(text) : null;
    if (!(map.get("id") instanceof String id)
        || health == null
        || (address == null && health == Health.READY)) {
      return null;
    }
    return new Member(
        id,
        address,
        null,
        health,
        map.get("locality") instanceof String zone ? zone : "",
        map.get("flavor") instanceof String kind ? kind : "",
        map.get("cell") instanceof Number cell ? cell.longValue() : 0,
        map.get("size") instanceof Number size ? size.doubleValue() : 1,
        map.get("up_since_ms") instanceof Number startTime
            ? Math.max(0, Math.min(startTime.longValue(), MAX_START_TIME_MILLIS))
            : 0);
  }

  private static Health health(Object phase) {
    return switch (String.valueOf(phase)) {
      case "in_service" -> Health.READY;
      case "terminating" -> Health.DRAINING;
      case "terminated" -> Health.GONE;
      default -> null;
    };
  }

  /** Cuts a text to 200 characters for the log. */
  static String truncate(String text) {
    return text.length() <= 200 ? text : text.substring(0, 200) + "...";
  }
}
