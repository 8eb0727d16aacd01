package heathswitch.proxy.gateway;

import heathswitch.policy.api.Outcome;
import java.util.LinkedHashMap;
import java.util.Map;

/** What became of the calls of a link since the start. */
final class LinkCounters {
  private long calls;
  private long served;
  private long refused;
  private long failed;
  private long late;
  private long calledOff;

  void ended(Outcome outcome) {
    calls++;
    switch (outcome) {
      case OK -> served++;
      case REFUSED, CONNECT_FAILED, MOOT -> refused++;
      case TIMEOUT -> late++;
      case CANCELLED -> calledOff++;
      default -> failed++;
    }
  }

  Map<String, Object> json() {
    Map<String, Object> json = new LinkedHashMap<>();
    json.put("calls", calls);
    json.put("served", served);
    json.put("refused", refused);
    json.put("failed", failed);
    json.put("late", late);
    json.put("called_off", calledOff);
    return json;
  }
}
