package heathswitch.proxy.maintenance;

import heathswitch.policy.maintenance.CapacityFloor;
import heathswitch.policy.maintenance.MaintenanceRules;
import heathswitch.proxy.config.Document;
import heathswitch.proxy.config.Section;
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
 * @param listen where the others reach it
 * @param folder for the log; of this instance alone
 * @param stops whether it stops by itself when it cannot renew its lease
 * @param stoppingMillis before the end of the lease it takes no more clients
 * @param warmMillis from a machine's start until it can do all, and {@code coldShare} at its start
 */
public record MaintenanceConfig(
    String instance,
    InetSocketAddress listen,
    Path folder,
    boolean stops,
    long stoppingMillis,
    List<Peer> peers,
    MaintenanceRules rules,
    long warmMillis,
    double coldShare) {

  private static final String OPEN =
      "what instances say to each other is neither signed nor hidden";

  /** What an instance does that cannot renew its lease. */
  private enum CutOff {
    SERVE,
    STOP
  }

  /** Reads and checks the table; null where there is none, and the subsystem is off. */
  public static MaintenanceConfig read(Document document, long warmMillis, double coldShare) {
    Section table = document.root().table("work");
    if (table == null) {
      return null;
    }
    String instance = table.text("instance", null);
    boolean apart = table.flag("private_network", false);
    InetSocketAddress listen = table.address("listen", true);
    table.nearby("listen", listen, apart, OPEN);
    String folder = table.text("folder", null);
    CutOff cutOff = table.choice("when_cut_off", CutOff.SERVE, CutOff.class);
    MaintenanceRules rules = rules(table);
    long stopping = table.millis("stopping", "1s", "10ms", "10min");
    if (cutOff == CutOff.STOP && stopping * 2 > rules.leaseMillis()) {
      table.fault("stopping", "is over half of the lease; a shorter time, or a longer lease");
    }
    List<Peer> peers = peers(table, apart);
    long voters = peers.stream().filter(Peer::votes).count();
    if (voters != 3 && voters != 5 && !peers.isEmpty()) {
      table.fault("instance", voters + " of [[work.peer]] vote; 3 or 5 expected");
    }
    if (instance != null && peers.stream().noneMatch(peer -> instance.equals(peer.name()))) {
      table.fault("instance", "\"" + instance + "\" is none of [[work.peer]]; one expected");
    }
    table.end();
    return instance == null || listen == null || folder == null
        ? null
        : new MaintenanceConfig(
            instance,
            listen,
            document.resolve(folder),
            cutOff == CutOff.STOP,
            stopping,
            peers,
            rules,
            warmMillis,
            coldShare);
  }

  private static List<Peer> peers(Section table, boolean apart) {
    List<Peer> peers = new ArrayList<>();
    Set<String> names = new HashSet<>();
    Set<InetSocketAddress> addresses = new HashSet<>();
    for (Section section : table.tables("peer")) {
      String name = section.text("name", null);
      InetSocketAddress address = section.address("address", true);
      section.nearby("address", address, apart, OPEN);
      if (name != null && !name.matches("[A-Za-z0-9_.-]{1,64}")) {
        section.fault("name", "is \"" + name + "\"; 1 to 64 of A-Z a-z 0-9 . _ - expected");
      } else if (name != null && !names.add(name)) {
        section.fault("name", "\"" + name + "\" stands twice; another name expected");
      }
      if (address != null && !addresses.add(address)) {
        section.fault("address", "stands twice; another address expected");
      }
      boolean votes = section.flag("votes", false);
      section.end();
      if (name != null && address != null) {
        peers.add(new Peer(name, address, votes));
      }
    }
    if (peers.isEmpty()) {
      table.fault("peer", "missing; [[work.peer]] for each balancer, this one too, expected");
    }
    return List.copyOf(peers);
  }

  private static MaintenanceRules rules(Section table) {
    long version = 1;
    long lease = 4000;
    long margin = 1000;
    int mostOut = 1;
    int mostInCell = 1;
    Section section = table.table("rules");
    if (section != null) {
      version = section.whole("version", 1L, 1, Long.MAX_VALUE);
      lease = section.millis("lease", "4s", "500ms", "1h");
      margin = section.millis("margin", "1s", "200ms", "10min");
      mostOut = (int) section.whole("most_out", 1L, 0, 10_000);
      mostInCell = (int) section.whole("most_out_in_cell", 1L, 0, 10_000);
      section.end();
    }
    List<CapacityFloor> floors = new ArrayList<>();
    Set<String> stated = new HashSet<>();
    for (Section floor : table.tables("floor")) {
      String kind = floor.text("kind", "*");
      String zone = floor.text("zone", "*");
      double least = floor.number("least", null, 0.0, 1.0);
      if (!stated.add(kind + '|' + zone)) {
        floor.fault("kind", "has a floor for this kind and zone already; one expected");
      }
      if (least >= 1.0) {
        floor.fault("least", "is 1, so that no machine could ever go; less expected");
      }
      floor.end();
      floors.add(new CapacityFloor(kind, zone, least));
    }
    return new MaintenanceRules(version, lease, margin, mostOut, mostInCell, floors);
  }
}
