package heathswitch.proxy.gateway;

import heathswitch.policy.gateway.Gateway;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** What became of the calls of another site since the start. */
final class PeerCounts {
  private final long[] entries = new long[Gateway.Entry.values().length];
  private final long[] results = new long[SiteHeaders.Result.values().length];

  void entered(Gateway.Entry entry) {
    entries[entry.ordinal()]++;
  }

  void ended(SiteHeaders.Result result) {
    results[result.ordinal()]++;
  }

  Map<String, Object> json() {
    Map<String, Object> json = new LinkedHashMap<>();
    for (Gateway.Entry entry : Gateway.Entry.values()) {
      String name = entry == Gateway.Entry.GOOD ? "calls" : lower(entry);
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
