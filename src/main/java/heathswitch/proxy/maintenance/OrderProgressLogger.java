package heathswitch.proxy.maintenance;

import heathswitch.policy.maintenance.MaintenanceState;
import heathswitch.proxy.runtime.Log;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Writes to the log what became of each machine of an order, as this instance hears of it. */
final class OrderProgressLogger {
  /** As many as are away, which the rules bound. */
  private Map<String, MaintenanceState.AwayMachine> before = Map.of();

  /** Takes all that orders have a hand on, again and again; on one thread. */
  void tell(List<MaintenanceState.AwayMachine> now) {
    Map<String, MaintenanceState.AwayMachine> away = new HashMap<>();
    for (MaintenanceState.AwayMachine each : now) {
      away.put(each.machine(), each);
      MaintenanceState.AwayMachine then = before.get(each.machine());
      if (then == null || then.order() != each.order() || then.phase() != each.phase()) {
        line(each, each.phase().name().toLowerCase(Locale.ROOT));
      }
      boolean wanted = then != null && then.wanted();
      if (each.wanted() && !wanted) {
        Log.warn(
            "work order",
            each.machine() + " is wanted back: capacity is under its floor",
            "order",
            Long.toString(each.order()),
            "server",
            each.machine(),
            "reason",
            "capacity is under its floor");
      } else if (wanted && !each.wanted()) {
        line(each, "no longer wanted back");
      }
    }
    for (MaintenanceState.AwayMachine each : before.values()) {
      if (!away.containsKey(each.machine())) {
        line(each, each.phase().held() ? "called off" : "done");
      }
    }
    before = away;
  }

  private static void line(MaintenanceState.AwayMachine each, String step) {
    Log.info(
        "work order",
        each.machine() + " of order " + each.order() + ": " + step,
        "order",
        Long.toString(each.order()),
        "server",
        each.machine(),
        "step",
        step);
  }
}
