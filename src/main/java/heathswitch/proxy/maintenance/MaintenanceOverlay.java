package heathswitch.proxy.maintenance;

import heathswitch.policy.api.Health;
import heathswitch.policy.api.ListUpdate;
import heathswitch.policy.maintenance.CapacityReport;
import heathswitch.policy.maintenance.Machine;
import heathswitch.policy.maintenance.MaintenanceState;
import heathswitch.policy.maintenance.Phase;
import heathswitch.policy.maintenance.ServerGroup;
import heathswitch.proxy.dispatch.Dispatcher;
import heathswitch.proxy.dispatch.Member;
import heathswitch.proxy.spi.Upstream;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Applies maintenance orders to the server list: machines that an order holds are draining, and
 * machines that return start cold. Used on the event loop only.
 */
final class MaintenanceOverlay implements Dispatcher.Overlay {
  /** The listed servers without the overlay, by id. */
  private final Map<String, Member> listed = new LinkedHashMap<>();

  /** Servers that are held by an order or returning, by id. */
  private Map<String, MaintenanceState.AwayMachine> away = Map.of();

  /**
   * Id of each held machine by address; a server listed there under another id is the same machine.
   */
  private final Map<String, String> heldAt = new HashMap<>();

  /** When listed machines came back, in milliseconds of the node's own clock, by id. */
  private final Map<String, Long> returnedMillis = new HashMap<>();

  /** Servers that were resting after failures when the last report was made. */
  private Set<String> restingAtLastReport = new HashSet<>();

  @Override
  public List<Member> apply(ListUpdate update, List<Member> entries) {
    if (update.isFull()) {
      listed.clear();
    }
    List<Member> result = new ArrayList<>(entries.size());
    for (Member entry : entries) {
      if (entry.health() == Health.GONE) {
        listed.remove(entry.id());
        returnedMillis.remove(entry.id());
      } else {
        listed.put(entry.id(), entry);
      }
      result.add(overlaid(entry));
    }
    returnedMillis.keySet().retainAll(listed.keySet());
    return result;
  }

  /** The address as ADDRESS:PORT, empty for none. */
  static String text(InetSocketAddress address) {
    return address == null ? "" : address.getAddress().getHostAddress() + ':' + address.getPort();
  }

  /** The address that identifies a machine. */
  private static String addressKey(Member entry) {
    return text(entry.address() == null ? entry.grpcAddress() : entry.address());
  }

  /** A listed server as the dispatcher is to see it. */
  private Member overlaid(Member entry) {
    if (entry.health() == Health.GONE) {
      return entry;
    }
    MaintenanceState.AwayMachine held = away.get(entry.id());
    if (held != null && held.phase().held() || heldAt.containsKey(addressKey(entry))) {
      return entry.withHealth(Health.DRAINING, entry.startedMillis());
    }
    long since = returnedMillis.getOrDefault(entry.id(), 0L);
    return entry.withHealth(entry.health(), Math.max(since, entry.startedMillis()));
  }

  /**
   * Takes over the machines that are away now and tells the dispatcher which servers that changes.
   *
   * @param nowMillis by the node's own clock, which setting the machine's clock does not affect
   */
  void update(List<MaintenanceState.AwayMachine> machines, Dispatcher dispatcher, long nowMillis) {
    Map<String, MaintenanceState.AwayMachine> previous = away;
    Set<String> addresses = new HashSet<>(heldAt.keySet());
    away = new HashMap<>();
    heldAt.clear();
    for (MaintenanceState.AwayMachine each : machines) {
      if (Machine.instance(each.machine()) != null) {
        continue; // Balancers are not on the server list.
      }
      away.put(each.machine(), each);
      if (each.phase().held()) {
        heldAt.put(each.address(), each.machine());
        returnedMillis.remove(each.machine());
      }
    }
    addresses.addAll(heldAt.keySet());
    List<Member> changed = new ArrayList<>();
    for (Member entry : listed.values()) {
      MaintenanceState.AwayMachine before = previous.get(entry.id());
      MaintenanceState.AwayMachine current = away.get(entry.id());
      boolean wasHeld = before != null && before.phase().held();
      if (current != null
          && current.phase() == Phase.RETURNING
          && !returnedMillis.containsKey(entry.id())) {
        returnedMillis.put(entry.id(), nowMillis);
        changed.add(overlaid(entry));
      } else if (wasHeld != (current != null && current.phase().held())
          || addresses.contains(addressKey(entry))) {
        changed.add(overlaid(entry));
      }
    }
    if (!changed.isEmpty()) {
      dispatcher.onOverlayChanged(this, changed);
    }
  }

  /** The machines being emptied at which this balancer has nothing in flight. */
  List<MaintenanceState.AwayMachine> drained(Dispatcher dispatcher) {
    List<MaintenanceState.AwayMachine> drained = new ArrayList<>();
    for (MaintenanceState.AwayMachine each : away.values()) {
      if (each.phase() == Phase.EMPTYING
          && dispatcher.inFlight(upstream -> matches(upstream, each)) == 0) {
        drained.add(each);
      }
    }
    return drained;
  }

  private static boolean matches(Upstream upstream, MaintenanceState.AwayMachine machine) {
    return upstream.name.equals(machine.machine())
        || text(upstream.address).equals(machine.address())
        || text(upstream.grpcAddress).equals(machine.address());
  }

  /**
   * Reports the capacity that this balancer sees.
   *
   * @param appliedIndex index of the last log entry that {@link #update} has taken over
   * @param nowMillis by the node's own clock
   */
  CapacityReport report(
      long appliedIndex, Dispatcher dispatcher, MaintenanceConfig config, long nowMillis) {
    Map<String, int[]> loads = dispatcher.loads(Integer.MAX_VALUE);
    Map<ServerGroup, double[]> groups = new HashMap<>();
    Set<String> resting = new HashSet<>();
    for (Member entry : listed.values()) {
      ServerGroup group = new ServerGroup(entry.kind(), entry.zone());
      double[] sums = groups.computeIfAbsent(group, any -> new double[2]);
      sums[0] += entry.weight();
      Member current = overlaid(entry);
      int[] load = loads.get(entry.id());
      if (load != null && load[2] > 0) {
        resting.add(entry.id());
      }
      // A single rest may be a false alarm and ends within half a second, so a server counts as
      // failing only if it rests in two successive reports. A dead server stays failing between its
      // rests, until it answers.
      boolean failing = resting.contains(entry.id()) && restingAtLastReport.contains(entry.id());
      if (current.health() == Health.READY && !failing) {
        sums[1] += entry.weight() * warmth(current, config, nowMillis);
      }
    }
    restingAtLastReport = resting;
    Set<String> warm = new HashSet<>();
    for (MaintenanceState.AwayMachine each : away.values()) {
      Member entry = listed.get(each.machine());
      if (each.phase() == Phase.RETURNING
          && (entry == null
              || entry.health() == Health.READY
                  && !restingAtLastReport.contains(entry.id())
                  && warmth(overlaid(entry), config, nowMillis) >= 1)) {
        warm.add(each.machine());
      }
    }
    Map<ServerGroup, CapacityReport.Capacity> capacities = new HashMap<>();
    groups.forEach(
        (group, sums) -> capacities.put(group, new CapacityReport.Capacity(sums[0], sums[1])));
    return new CapacityReport(appliedIndex, capacities, warm);
  }

  /** The share of its capacity that a server has reached since its start. */
  private static double warmth(Member entry, MaintenanceConfig config, long nowMillis) {
    if (entry.startedMillis() <= 0 || config.warmUpMillis() <= 0) {
      return 1;
    }
    double age = (double) (nowMillis - entry.startedMillis()) / config.warmUpMillis();
    return config.coldShare() + (1 - config.coldShare()) * Math.max(0, Math.min(1, age));
  }

  /** The servers with the given ids, and those that match all non-empty ones of the criteria. */
  List<Machine> choose(Set<String> ids, String kind, String zone, String cell) {
    List<Machine> chosen = new ArrayList<>();
    for (Member entry : listed.values()) {
      boolean chosenById = ids.contains(entry.id());
      boolean matches =
          !(kind.isEmpty() && zone.isEmpty() && cell.isEmpty())
              && (kind.isEmpty() || kind.equals(entry.kind()))
              && (zone.isEmpty() || zone.equals(entry.zone()))
              && (cell.isEmpty() || cell.equals(Long.toString(entry.cell())));
      if (chosenById || matches) {
        chosen.add(
            new Machine(
                entry.id(),
                entry.kind(),
                entry.zone(),
                entry.cell(),
                entry.weight(),
                addressKey(entry)));
      }
    }
    return chosen;
  }

  boolean isListEmpty() {
    return listed.isEmpty();
  }
}
