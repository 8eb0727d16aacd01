package heathswitch.proxy.gateway;

import heathswitch.policy.gateway.Gateway;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Counts the calls from one peer site since the start, by trail verdict and by result. */
final class PeerCounters {
  private final long[] verdicts = new long[Gateway.TrailVerdict.values().length];
  private final long[] results = new long[SiteHeaders.Result.values().length];

  void onTrailChecked(Gateway.TrailVerdict verdict) {
    verdicts[verdict.ordinal()]++;
  }

  void onEnd(SiteHeaders.Result result) {
    results[result.ordinal()]++;
  }

  Map<String, Object> json() {
    Map<String, Object> json = new LinkedHashMap<>();
    for (Gateway.TrailVerdict verdict : Gateway.TrailVerdict.values()) {
      String name = verdict == Gateway.TrailVerdict.GOOD ? "calls" : lowerCase(verdict);
      json.put(name, verdicts[verdict.ordinal()]);
    }
    for (SiteHeaders.Result result : SiteHeaders.Result.values()) {
      json.put(lowerCase(result), results[result.ordinal()]);
    }
    return json;
  }

  private static String lowerCase(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT);
  }
}
