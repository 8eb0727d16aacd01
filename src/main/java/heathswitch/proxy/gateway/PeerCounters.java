package heathswitch.proxy.gateway;

import heathswitch.policy.gateway.Gateway;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** What became of the calls of another site since the start. */
final class PeerCounters {
  private final long[] entries = new long[Gateway.TrailVerdict.values().length];
  private final long[] results = new long[SiteHeaders.Result.values().length];

  void entered(Gateway.TrailVerdict entry) {
    entries[entry.ordinal()]++;
  }

  void ended(SiteHeaders.Result result) {
    results[result.ordinal()]++;
  }

  Map<String, Object> json() {
    Map<String, Object> json = new LinkedHashMap<>();
    for (Gateway.TrailVerdict entry : Gateway.TrailVerdict.values()) {
      String name = entry == Gateway.TrailVerdict.GOOD ? "calls" : lower(entry);
      json.put(name, entries[entry.ordinal()]);
    }
    for (SiteHeaders.Result result : SiteHeaders.Result.values()) {
      json.put(lower(result), results[result.ordinal()]);
    }
    return json;
  }

  private static String lower(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT);
  }
}
