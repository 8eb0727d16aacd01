package heathswitch.proxy.gossip;

import heathswitch.policy.gossip.GossipTiming;
import heathswitch.proxy.config.Document;
import heathswitch.proxy.config.Section;
import heathswitch.proxy.runtime.Addresses;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The table {@code [peers]} of the configuration.
 *
 * @param instance this balancer's name among the peers
 * @param listen where it takes datagrams
 * @param address where others reach it
 * @param seeds addresses to begin with
 * @param keys the file of keys
 * @param zone where it is, as told to the others; empty for nowhere in particular
 * @param ways addresses of others that this one reaches at another one
 */
public record PeersTable(
    String instance,
    InetSocketAddress listen,
    String address,
    List<String> seeds,
    Path keys,
    String zone,
    GossipTiming pace,
    Map<String, InetSocketAddress> ways) {
  private static final int MOST_SEEDS = 32;
  private static final int MOST_WAYS = 4096;
  private static final String OPEN = "what peers say is signed and not hidden";

  public PeersTable {
    seeds = List.copyOf(seeds);
    ways = Map.copyOf(ways);
  }

  /**
   * Reads and checks the table; null where there is none, and the subsystem is off.
   *
   * @param zone this balancer's, or null
   */
  public static PeersTable read(Document document, String zone) {
    Section table = document.root().table("peers");
    if (table == null) {
      return null;
    }
    String instance = table.text("instance", null);
    if (instance != null && !instance.matches(Datagram.NAME)) {
      table.fault("instance", "is \"" + instance + "\"; 1 to 64 of A-Z a-z 0-9 . _ - expected");
    }
    if (zone != null && !zone.matches(Datagram.ZONE)) {
      table.fault("instance", "is in the zone \"" + zone + "\"; up to 32 of A-Z a-z 0-9 . _ -");
    }
    boolean apart = table.flag("private_network", false);
    InetSocketAddress listen = table.address("listen", true);
    InetSocketAddress address = table.has("address") ? table.address("address", true) : listen;
    table.nearby("listen", listen, apart, OPEN);
    table.nearby("address", address, apart, OPEN);
    String keys = table.text("keys", null);
    List<String> seeds = new ArrayList<>();
    for (String seed : table.texts("seeds", false)) {
      InetSocketAddress at = Addresses.parse(seed);
      if (at == null || seeds.size() >= MOST_SEEDS) {
        table.fault(
            "seeds", "has \"" + seed + "\"; up to " + MOST_SEEDS + " ADDRESS:PORT expected");
      } else {
        table.nearby("seeds", at, apart, OPEN);
        seeds.add(Addresses.format(at));
      }
    }
    long period = table.nanos("period", "1s", "100ms", "1min");
    long answer = table.nanos("answer", "300ms", "10ms", "30s");
    if (answer * 2 > period) {
      table.fault("answer", "is over half of the period; others could not be asked in time");
    }
    Map<String, InetSocketAddress> ways = ways(table);
    table.end();
    return instance == null || listen == null || address == null || keys == null
        ? null
        : new PeersTable(
            instance,
            listen,
            Addresses.format(address),
            seeds,
            document.resolve(keys),
            zone == null ? "" : zone,
            new GossipTiming(
                period,
                answer,
                GossipTiming.NEAR.relays(),
                GossipTiming.NEAR.suspicionPeriods(),
                GossipTiming.NEAR.forgetNanos() / GossipTiming.NEAR.periodNanos() * period),
            ways);
  }

  private static Map<String, InetSocketAddress> ways(Section table) {
    Map<String, InetSocketAddress> ways = new HashMap<>();
    for (Section way : table.tables("way")) {
      InetSocketAddress to = way.address("to", true);
      InetSocketAddress by = way.address("by", true);
      way.end();
      if (to == null || by == null) {
        continue;
      }
      if (ways.put(Addresses.format(to), by) != null || ways.size() > MOST_WAYS) {
        way.fault("to", "stands twice, or after " + MOST_WAYS + " others");
      }
    }
    return ways;
  }
}
