package heathswitch.proxy.maintenance;

import heathswitch.policy.maintenance.CapacityFloor;
import heathswitch.policy.maintenance.InstanceSession;
import heathswitch.policy.maintenance.ServerGroup;
import heathswitch.policy.members.ListedServer;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Holds a table against what it meets: floors against a list of servers, whose orders would wait
 * for good, and a lease against the time until somebody else leads.
 */
public final class MaintenanceConfigCheck {
  private MaintenanceConfigCheck() {}

  /** Until another one leads after whoever led has died, at worst. */
  private static final long TAKEOVER_MILLIS = 2000;

  /**
   * What was found, in lines for people.
   *
   * @param faults floors that can't be meant so
   * @param notes servers that are too heavy for one, a short lease; somebody may want that
   */
  public record Found(List<String> faults, List<String> notes) {}

  /**
   * Says of each floor which servers could never go, and whether the lease is short.
   *
   * @param listed all servers of the list, those that are out of service among them
   */
  public static Found check(MaintenanceConfig table, List<ListedServer> listed) {
    List<String> faults = new ArrayList<>();
    List<String> notes = new ArrayList<>();
    for (CapacityFloor floor : table.rules().floors()) {
      double all = 0;
      double heaviest = 0;
      double lightest = Double.MAX_VALUE;
      String heavy = "";
      for (ListedServer each : listed) {
        if (floor.covers(new ServerGroup(each.kind(), each.zone()))) {
          all += each.weight();
          lightest = Math.min(lightest, each.weight());
          if (each.weight() > heaviest) {
            heaviest = each.weight();
            heavy = each.id();
          }
        }
      }
      double spare = all - floor.minShare() * all;
      String left = String.format(Locale.ROOT, "%.2f of %.2f can be spared", spare, all);
      if (all == 0) {
        faults.add(
            "work." + floor + ": no server of the list; a kind and zone of the list expected");
      } else if (lightest > spare) {
        faults.add("work." + floor + ": " + left + ", so none of its servers could ever go");
      } else if (heaviest > spare) {
        notes.add("work." + floor + ": " + left + ", so " + heavy + " could never go");
      }
    }
    long lease = table.rules().leaseMillis();
    long left = lease - InstanceSession.renewalIntervalMillis(lease) - table.stoppingMillis();
    if (table.stops() && left < TAKEOVER_MILLIS) {
      notes.add(
          String.format(
              Locale.ROOT,
              "work.rules.lease: %d ms, of which %d ms are left at times before clients are sent away;"
                  + " another one leads after up to %d ms, so that instances that are well would stop",
              lease,
              left,
              TAKEOVER_MILLIS));
    }
    return new Found(faults, notes);
  }
}
