package heathswitch.proxy.maintenance;

import heathswitch.policy.maintenance.CapacityFloor;
import heathswitch.policy.maintenance.InstanceSession;
import heathswitch.policy.maintenance.ServerGroup;
import heathswitch.policy.members.ListedServer;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Checks the maintenance configuration for orders that would wait forever, by the floors and a
 * server list, and for a lease that is shorter than the election of a new leader takes.
 */
public final class MaintenanceConfigCheck {
  private MaintenanceConfigCheck() {}

  /** Worst-case time until another instance leads after a leader has died. */
  private static final long TAKEOVER_MILLIS = 2000;

  /**
   * Findings, one line each, for operators.
   *
   * @param faults floors that cannot be intended
   * @param notes settings that may be intended: servers too heavy for a floor, or a short lease
   */
  public record Found(List<String> faults, List<String> notes) {}

  /**
   * Reports for each floor which servers could never go out, and whether the lease is short.
   *
   * @param listed all servers of the list, including those that are out of service
   */
  public static Found check(MaintenanceConfig config, List<ListedServer> listed) {
    List<String> faults = new ArrayList<>();
    List<String> notes = new ArrayList<>();
    for (CapacityFloor floor : config.rules().floors()) {
      double total = 0;
      double heaviest = 0;
      double lightest = Double.MAX_VALUE;
      String heaviestId = "";
      for (ListedServer each : listed) {
        if (floor.covers(new ServerGroup(each.kind(), each.zone()))) {
          total += each.weight();
          lightest = Math.min(lightest, each.weight());
          if (each.weight() > heaviest) {
            heaviest = each.weight();
            heaviestId = each.id();
          }
        }
      }
      double spare = total - floor.minShare() * total;
      String left = String.format(Locale.ROOT, "%.2f of %.2f can be spared", spare, total);
      if (total == 0) {
        faults.add(
            "work."
                + floor
                + ": no server of the list is covered; a listed kind and zone expected");
      } else if (lightest > spare) {
        faults.add("work." + floor + ": " + left + ", so none of its servers could ever go out");
      } else if (heaviest > spare) {
        notes.add("work." + floor + ": " + left + ", so " + heaviestId + " could never go out");
      }
    }
    long lease = config.rules().leaseMillis();
    long left = lease - InstanceSession.renewalIntervalMillis(lease) - config.stopMarginMillis();
    if (config.stopsWhenCutOff() && left < TAKEOVER_MILLIS) {
      notes.add(
          String.format(
              Locale.ROOT,
              "work.rules.lease: %d ms, of which as little as %d ms is left before clients are sent"
                  + " away; a new leader can take up to %d ms, so healthy instances would stop",
              lease,
              left,
              TAKEOVER_MILLIS));
    }
    return new Found(faults, notes);
  }
}
