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
 * Lays what is settled over the lists of servers: what is held gets nothing new, what comes back is
 * cold. On the loop alone.
 */
final class MaintenanceOverlay implements Dispatcher.Overlay {
  /** As the files list them; as long as their lists. */
  private final Map<String, Member> listed = new LinkedHashMap<>();

  /** Machines that orders have a hand on, by id. */
  private Map<String, MaintenanceState.AwayMachine> away = Map.of();

  /** Addresses of those that are held: another id there is the same machine. */
  private final Map<String, String> heldAt = new HashMap<>();

  /** When listed machines came back, milliseconds of the node's own clock. */
  private final Map<String, Long> back = new HashMap<>();

  /** Those that rested when last looked at. */
  private Set<String> rested = new HashSet<>();

  @Override
  public List<Member> apply(ListUpdate form, List<Member> entries) {
    if (form.isFull()) {
      listed.clear();
    }
    List<Member> laidOver = new ArrayList<>(entries.size());
    for (Member entry : entries) {
      if (entry.health() == Health.GONE) {
        listed.remove(entry.id());
        back.remove(entry.id());
      } else {
        listed.put(entry.id(), entry);
      }
      laidOver.add(standing(entry));
    }
    back.keySet().retainAll(listed.keySet());
    return laidOver;
  }

  static String text(InetSocketAddress address) {
    return address == null ? "" : address.getAddress().getHostAddress() + ':' + address.getPort();
  }

  /** Where a machine is reached; the one address that stands for it. */
  private static String place(Member entry) {
    return text(entry.address() == null ? entry.grpcAddress() : entry.address());
  }

  private Member standing(Member entry) {
    if (entry.health() == Health.GONE) {
      return entry;
    }
    MaintenanceState.AwayMachine held = away.get(entry.id());
    if (held != null && held.phase().held() || heldAt.containsKey(place(entry))) {
      return entry.withHealth(Health.DRAINING, entry.startedMillis());
    }
    long since = back.getOrDefault(entry.id(), 0L);
    return entry.withHealth(entry.health(), Math.max(since, entry.startedMillis()));
  }

  /**
   * Takes what is settled now and tells the dispatcher of whatever that changes.
   *
   * @param nowMillis by the node's own clock, which goes on when the machine's is set
   */
  void update(List<MaintenanceState.AwayMachine> now, Dispatcher dispatcher, long nowMillis) {
    Map<String, MaintenanceState.AwayMachine> before = away;
    Set<String> addresses = new HashSet<>(heldAt.keySet());
    away = new HashMap<>();
    heldAt.clear();
    for (MaintenanceState.AwayMachine each : now) {
      if (Machine.instance(each.machine()) != null) {
        continue; // A balancer is on no list.
      }
      away.put(each.machine(), each);
      if (each.phase().held()) {
        heldAt.put(each.address(), each.machine());
        back.remove(each.machine());
      }
    }
    addresses.addAll(heldAt.keySet());
    List<Member> changed = new ArrayList<>();
    for (Member entry : listed.values()) {
      MaintenanceState.AwayMachine then = before.get(entry.id());
      MaintenanceState.AwayMachine here = away.get(entry.id());
      boolean wasHeld = then != null && then.phase().held();
      if (here != null && here.phase() == Phase.RETURNING && !back.containsKey(entry.id())) {
        back.put(entry.id(), nowMillis);
        changed.add(standing(entry));
      } else if (wasHeld != (here != null && here.phase().held())
          || addresses.contains(place(entry))) {
        changed.add(standing(entry));
      }
    }
    if (!changed.isEmpty()) {
      dispatcher.onOverlayChanged(this, changed);
    }
  }

  /** The machines that are being emptied and have nothing of this balancer's in flight. */
  List<MaintenanceState.AwayMachine> free(Dispatcher dispatcher) {
    List<MaintenanceState.AwayMachine> free = new ArrayList<>();
    for (MaintenanceState.AwayMachine each : away.values()) {
      if (each.phase() == Phase.EMPTYING
          && dispatcher.inFlight(upstream -> is(upstream, each)) == 0) {
        free.add(each);
      }
    }
    return free;
  }

  private static boolean is(Upstream upstream, MaintenanceState.AwayMachine machine) {
    return upstream.name.equals(machine.machine())
        || text(upstream.address).equals(machine.address())
        || text(upstream.grpcAddress).equals(machine.address());
  }

  /**
   * What is in service as this balancer sees it.
   *
   * @param upTo the entry of the log up to which all has been laid over the lists
   * @param nowMillis by the node's own clock
   */
  CapacityReport report(long upTo, Dispatcher dispatcher, MaintenanceConfig table, long nowMillis) {
    Map<String, int[]> loads = dispatcher.loads(Integer.MAX_VALUE);
    Map<ServerGroup, double[]> groups = new HashMap<>();
    Set<String> resting = new HashSet<>();
    for (Member entry : listed.values()) {
      ServerGroup group = new ServerGroup(entry.kind(), entry.zone());
      double[] sums = groups.computeIfAbsent(group, any -> new double[2]);
      sums[0] += entry.weight();
      Member now = standing(entry);
      int[] load = loads.get(entry.id());
      if (load != null && load[2] > 0) {
        resting.add(entry.id());
      }
      // One rest may be a false alarm, and is over in half a second; two looks in a row are not.
      // One that is dead stays ill between its rests, until it answers.
      boolean ill = resting.contains(entry.id()) && rested.contains(entry.id());
      if (now.health() == Health.READY && !ill) {
        sums[1] += entry.weight() * warmth(now, table, nowMillis);
      }
    }
    rested = resting;
    Set<String> warm = new HashSet<>();
    for (MaintenanceState.AwayMachine each : away.values()) {
      Member entry = listed.get(each.machine());
      if (each.phase() == Phase.RETURNING
          && (entry == null
              || entry.health() == Health.READY
                  && !rested.contains(entry.id())
                  && warmth(standing(entry), table, nowMillis) >= 1)) {
        warm.add(each.machine());
      }
    }
    Map<ServerGroup, CapacityReport.Capacity> capacities = new HashMap<>();
    groups.forEach(
        (group, sums) -> capacities.put(group, new CapacityReport.Capacity(sums[0], sums[1])));
    return new CapacityReport(upTo, capacities, warm);
  }

  private static double warmth(Member entry, MaintenanceConfig table, long nowMillis) {
    if (entry.startedMillis() <= 0 || table.warmMillis() <= 0) {
      return 1;
    }
    double age = (double) (nowMillis - entry.startedMillis()) / table.warmMillis();
    return table.coldShare() + (1 - table.coldShare()) * Math.max(0, Math.min(1, age));
  }

  /** The servers that a choice names; each word of it may be left empty. */
  List<Machine> choose(Set<String> ids, String kind, String zone, String cell) {
    List<Machine> chosen = new ArrayList<>();
    for (Member entry : listed.values()) {
      boolean named = ids.contains(entry.id());
      boolean fits =
          !(kind.isEmpty() && zone.isEmpty() && cell.isEmpty())
              && (kind.isEmpty() || kind.equals(entry.kind()))
              && (zone.isEmpty() || zone.equals(entry.zone()))
              && (cell.isEmpty() || cell.equals(Long.toString(entry.cell())));
      if (named || fits) {
        chosen.add(
            new Machine(
                entry.id(),
                entry.kind(),
                entry.zone(),
                entry.cell(),
                entry.weight(),
                place(entry)));
      }
    }
    return chosen;
  }

  boolean listsNothing() {
    return listed.isEmpty();
  }
}
