package heathswitch.proxy.gateway;

import heathswitch.policy.api.Outcome;
import java.util.LinkedHashMap;
import java.util.Map;

/** Counts how the calls over one link have ended since the start. */
final class LinkCounters {
  private long calls;
  private long served;
  private long refused;
  private long failed;
  private long timedOut;
  private long cancelled;

  void onEnd(Outcome outcome) {
    calls++;
    switch (outcome) {
      case OK -> served++;
      case REFUSED, CONNECT_FAILED, MOOT -> refused++;
      case TIMEOUT -> timedOut++;
      case CANCELLED -> cancelled++;
      default -> failed++;
    }
  }

  Map<String, Object> json() {
    Map<String, Object> json = new LinkedHashMap<>();
    json.put("calls", calls);
    json.put("served", served);
    json.put("refused", refused);
    json.put("failed", failed);
    json.put("late", timedOut);
    json.put("called_off", cancelled);
    return json;
  }
}
