package heathswitch.proxy.maintenance;

import heathswitch.policy.maintenance.MaintenanceState;
import heathswitch.proxy.runtime.Log;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Logs the phase changes of each machine of an order, as this instance learns of them. */
final class OrderProgressLogger {
  /** The machines of the last call by id; bounded, as the rules limit how many are out. */
  private Map<String, MaintenanceState.AwayMachine> previous = Map.of();

  /** Logs what has changed since the last call; always called on the same thread. */
  void update(List<MaintenanceState.AwayMachine> machines) {
    Map<String, MaintenanceState.AwayMachine> current = new HashMap<>();
    for (MaintenanceState.AwayMachine each : machines) {
      current.put(each.machine(), each);
      MaintenanceState.AwayMachine before = previous.get(each.machine());
      if (before == null || before.order() != each.order() || before.phase() != each.phase()) {
        logStep(each, each.phase().name().toLowerCase(Locale.ROOT));
      }
      boolean wasWantedBack = before != null && before.wantedBack();
      if (each.wantedBack() && !wasWantedBack) {
        Log.warn(
            "work order",
            each.machine() + " is wanted back: capacity is below its floor",
            "order",
            Long.toString(each.order()),
            "server",
            each.machine(),
            "reason",
            "capacity is below its floor");
      } else if (wasWantedBack && !each.wantedBack()) {
        logStep(each, "no longer wanted back");
      }
    }
    for (MaintenanceState.AwayMachine each : previous.values()) {
      if (!current.containsKey(each.machine())) {
        logStep(each, each.phase().held() ? "called off" : "done");
      }
    }
    previous = current;
  }

  private static void logStep(MaintenanceState.AwayMachine machine, String step) {
    Log.info(
        "work order",
        machine.machine() + " of order " + machine.order() + ": " + step,
        "order",
        Long.toString(machine.order()),
        "server",
        machine.machine(),
        "step",
        step);
  }
}
