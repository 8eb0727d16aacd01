package heathswitch.proxy.maintenance;

import heathswitch.policy.maintenance.CapacityFloor;
import heathswitch.policy.maintenance.MaintenanceRules;
import heathswitch.proxy.config.ConfigDocument;
import heathswitch.proxy.config.ConfigSection;
import heathswitch.proxy.consensus.Peer;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The table {@code [work]} of the configuration.
 *
 * @param instance this balancer's name among the instances
 * @param listen the address at which the other instances reach it
 * @param folder of the log; used by this instance alone
 * @param stopsWhenCutOff whether the instance stops sending when it cannot renew its lease
 * @param stopMarginMillis how long before the end of the lease it accepts no more clients
 * @param warmUpMillis time from the start of a server until it has its full capacity
 * @param coldShare share of its capacity that a server has at its start
 */
public record MaintenanceConfig(
    String instance,
    InetSocketAddress listen,
    Path folder,
    boolean stopsWhenCutOff,
    long stopMarginMillis,
    List<Peer> peers,
    MaintenanceRules rules,
    long warmUpMillis,
    double coldShare) {

  private static final String NOT_PROTECTED =
      "messages between instances are neither authenticated nor encrypted";

  /** What an instance does when it cannot renew its lease; the values of {@code when_cut_off}. */
  private enum CutOff {
    SERVE,
    STOP
  }

  /**
   * Reads and checks the table; null if there is none, in which case maintenance orders are off.
   */
  public static MaintenanceConfig read(
      ConfigDocument document, long warmUpMillis, double coldShare) {
    ConfigSection table = document.root().table("work");
    if (table == null) {
      return null;
    }
    String instance = table.string("instance", null);
    boolean privateNetwork = table.flag("private_network", false);
    InetSocketAddress listen = table.address("listen", true);
    table.requireLoopbackOrPrivate("listen", listen, privateNetwork, NOT_PROTECTED);
    String folder = table.string("folder", null);
    CutOff cutOff = table.enumValue("when_cut_off", CutOff.SERVE, CutOff.class);
    MaintenanceRules rules = rules(table);
    long stopMargin = table.durationMillis("stopping", "1s", "10ms", "10min");
    if (cutOff == CutOff.STOP && stopMargin * 2 > rules.leaseMillis()) {
      table.addError(
          "stopping", "is more than half of the lease; a shorter time or a longer lease expected");
    }
    List<Peer> peers = peers(table, privateNetwork);
    long voters = peers.stream().filter(Peer::votes).count();
    if (voters != 3 && voters != 5 && !peers.isEmpty()) {
      table.addError("instance", voters + " of [[work.peer]] are voters; 3 or 5 expected");
    }
    if (instance != null && peers.stream().noneMatch(peer -> instance.equals(peer.name()))) {
      table.addError(
          "instance", "\"" + instance + "\" is not among [[work.peer]]; the name of one expected");
    }
    table.rejectUnknownKeys();
    return instance == null || listen == null || folder == null
        ? null
        : new MaintenanceConfig(
            instance,
            listen,
            document.resolve(folder),
            cutOff == CutOff.STOP,
            stopMargin,
            peers,
            rules,
            warmUpMillis,
            coldShare);
  }

  private static List<Peer> peers(ConfigSection table, boolean privateNetwork) {
    List<Peer> peers = new ArrayList<>();
    Set<String> names = new HashSet<>();
    Set<InetSocketAddress> addresses = new HashSet<>();
    for (ConfigSection section : table.tables("peer")) {
      String name = section.string("name", null);
      InetSocketAddress address = section.address("address", true);
      section.requireLoopbackOrPrivate("address", address, privateNetwork, NOT_PROTECTED);
      if (name != null && !name.matches("[A-Za-z0-9_.-]{1,64}")) {
        section.addError("name", "is \"" + name + "\"; 1 to 64 of A-Z a-z 0-9 . _ - expected");
      } else if (name != null && !names.add(name)) {
        section.addError("name", "\"" + name + "\" is used twice; another name expected");
      }
      if (address != null && !addresses.add(address)) {
        section.addError("address", "is used twice; another address expected");
      }
      boolean votes = section.flag("votes", false);
      section.rejectUnknownKeys();
      if (name != null && address != null) {
        peers.add(new Peer(name, address, votes));
      }
    }
    if (peers.isEmpty()) {
      table.addError(
          "peer", "missing; a [[work.peer]] for each balancer, including this one, expected");
    }
    return List.copyOf(peers);
  }

  private static MaintenanceRules rules(ConfigSection table) {
    long version = 1;
    long lease = 4000;
    long margin = 1000;
    int maxOut = 1;
    int maxOutInCell = 1;
    ConfigSection section = table.table("rules");
    if (section != null) {
      version = section.integer("version", 1L, 1, Long.MAX_VALUE);
      lease = section.durationMillis("lease", "4s", "500ms", "1h");
      margin = section.durationMillis("margin", "1s", "200ms", "10min");
      maxOut = (int) section.integer("most_out", 1L, 0, 10_000);
      maxOutInCell = (int) section.integer("most_out_in_cell", 1L, 0, 10_000);
      section.rejectUnknownKeys();
    }
    List<CapacityFloor> floors = new ArrayList<>();
    Set<String> seen = new HashSet<>();
    for (ConfigSection floor : table.tables("floor")) {
      String kind = floor.string("kind", "*");
      String zone = floor.string("zone", "*");
      double minShare = floor.number("least", null, 0.0, 1.0);
      if (!seen.add(kind + '|' + zone)) {
        floor.addError("kind", "has another floor for the same kind and zone; one expected");
      }
      if (minShare >= 1.0) {
        floor.addError("least", "is 1, so that no machine could ever go out; less expected");
      }
      floor.rejectUnknownKeys();
      floors.add(new CapacityFloor(kind, zone, minShare));
    }
    return new MaintenanceRules(version, lease, margin, maxOut, maxOutInCell, floors);
  }
}
