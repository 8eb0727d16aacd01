package heathswitch.proxy.gossip;

import heathswitch.policy.gossip.GossipTiming;
import heathswitch.proxy.config.ConfigDocument;
import heathswitch.proxy.config.ConfigSection;
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
 * @param listen local address of the datagram socket
 * @param address address at which other peers reach this one
 * @param seeds addresses of peers to contact first
 * @param keys path of the key file
 * @param zone zone that is announced to the others; empty if this balancer has none
 * @param overrides announced addresses of other peers, with the address at which this one reaches
 *     each
 */
public record PeersTable(
    String instance,
    InetSocketAddress listen,
    String address,
    List<String> seeds,
    Path keys,
    String zone,
    GossipTiming timing,
    Map<String, InetSocketAddress> overrides) {
  private static final int MAX_SEEDS = 32;
  private static final int MAX_OVERRIDES = 4096;
  private static final String NOT_ENCRYPTED = "gossip between peers is signed but not encrypted";

  public PeersTable {
    seeds = List.copyOf(seeds);
    overrides = Map.copyOf(overrides);
  }

  /**
   * Reads and checks the table. Returns null if there is none, which turns the subsystem off, or if
   * a required setting is missing or wrong.
   *
   * @param zone this balancer's zone, or null
   */
  public static PeersTable read(ConfigDocument document, String zone) {
    ConfigSection table = document.root().table("peers");
    if (table == null) {
      return null;
    }
    String instance = table.string("instance", null);
    if (instance != null && !instance.matches(Datagram.NAME)) {
      table.addError("instance", "is \"" + instance + "\"; 1 to 64 of A-Z a-z 0-9 . _ - expected");
    }
    if (zone != null && !zone.matches(Datagram.ZONE)) {
      table.addError("instance", "is in the zone \"" + zone + "\"; up to 32 of A-Z a-z 0-9 . _ -");
    }
    boolean privateNetwork = table.flag("private_network", false);
    InetSocketAddress listen = table.address("listen", true);
    InetSocketAddress address = table.has("address") ? table.address("address", true) : listen;
    table.requireLoopbackOrPrivate("listen", listen, privateNetwork, NOT_ENCRYPTED);
    table.requireLoopbackOrPrivate("address", address, privateNetwork, NOT_ENCRYPTED);
    String keys = table.string("keys", null);
    List<String> seeds = new ArrayList<>();
    for (String seed : table.strings("seeds", false)) {
      InetSocketAddress parsed = Addresses.parse(seed);
      if (parsed == null || seeds.size() >= MAX_SEEDS) {
        table.addError(
            "seeds", "has \"" + seed + "\"; up to " + MAX_SEEDS + " ADDRESS:PORT expected");
      } else {
        table.requireLoopbackOrPrivate("seeds", parsed, privateNetwork, NOT_ENCRYPTED);
        seeds.add(Addresses.format(parsed));
      }
    }
    long period = table.durationNanos("period", "1s", "100ms", "1min");
    long answer = table.durationNanos("answer", "300ms", "10ms", "30s");
    if (answer * 2 > period) {
      table.addError(
          "answer", "is over half of the period; no time would be left for indirect probes");
    }
    Map<String, InetSocketAddress> overrides = overrides(table);
    table.rejectUnknownKeys();
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
                GossipTiming.LOCAL_NETWORK.indirectProbes(),
                GossipTiming.LOCAL_NETWORK.suspicionPeriods(),
                GossipTiming.LOCAL_NETWORK.retentionNanos()
                    / GossipTiming.LOCAL_NETWORK.probePeriodNanos()
                    * period),
            overrides);
  }

  private static Map<String, InetSocketAddress> overrides(ConfigSection table) {
    Map<String, InetSocketAddress> overrides = new HashMap<>();
    for (ConfigSection override : table.tables("way")) {
      InetSocketAddress announced = override.address("to", true);
      InetSocketAddress actual = override.address("by", true);
      override.rejectUnknownKeys();
      if (announced == null || actual == null) {
        continue;
      }
      if (overrides.put(Addresses.format(announced), actual) != null
          || overrides.size() > MAX_OVERRIDES) {
        override.addError("to", "is a duplicate, or one of more than " + MAX_OVERRIDES);
      }
    }
    return overrides;
  }
}
