package heathswitch.proxy.gateway;

import heathswitch.policy.gateway.Trail;
import heathswitch.proxy.config.ConfigDocument;
import heathswitch.proxy.config.ConfigSection;
import heathswitch.proxy.runtime.Addresses;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The table {@code [gateway]} of the configuration.
 *
 * @param site this site's name, which its certificate must contain
 * @param listen the address to which gateways of peer sites connect
 * @param keys null for plain text, which the configuration must request explicitly
 * @param sites the peer sites
 * @param silenceTimeoutNanos the time without any frame, even an answer to PING, after which a link
 *     is closed as broken
 * @param stallTimeoutNanos the time after which a call is aborted whose peer neither sends nor
 *     accepts data
 * @param maxStreams the concurrent calls per connection of a peer
 * @param maxBufferedBytes the bytes of calls from peer sites that are buffered at a time
 */
public record GatewayTable(
    String site,
    InetSocketAddress listen,
    Keys keys,
    List<PeerSite> sites,
    long silenceTimeoutNanos,
    long stallTimeoutNanos,
    int maxStreams,
    long maxBufferedBytes) {

  /**
   * The files of this gateway's identity and of its trust anchor, all in PEM.
   *
   * @param certificate the certificate, followed by intermediate certificates if there are any
   * @param key the private key as PKCS #8, without a password
   * @param authority the certificate of the authority that signs for all sites
   */
  public record Keys(Path certificate, Path key, Path authority) {}

  /** A peer site and the addresses of its gateways. */
  public record PeerSite(String name, List<InetSocketAddress> gateways) {}

  /** Reads and validates the table; returns null if there is none, and the gateway is off. */
  public static GatewayTable read(ConfigDocument document) {
    ConfigSection table = document.root().table("gateway");
    if (table == null) {
      return null;
    }
    String site = siteName(table, "site");
    InetSocketAddress listen = table.address("listen", true);
    Keys keys = keys(document, table);
    List<PeerSite> sites = new ArrayList<>();
    Set<String> names = new HashSet<>();
    Set<InetSocketAddress> addresses = new HashSet<>();
    for (ConfigSection section : table.tables("peer")) {
      String name = siteName(section, "site");
      if (name != null && name.equals(site)) {
        section.addError("site", "is this site itself; another site expected");
      } else if (name != null && !names.add(name)) {
        section.addError("site", "\"" + name + "\" is listed twice; another site expected");
      }
      sites.add(new PeerSite(name, gateways(section, addresses)));
      section.rejectUnknownKeys();
    }
    if (sites.isEmpty()) {
      table.addError("peer", "missing; at least one [[gateway.peer]] expected");
    }
    GatewayTable gateway =
        new GatewayTable(
            site,
            listen,
            keys,
            List.copyOf(sites),
            table.durationNanos("silence", "1s", "100ms", "1min"),
            table.durationNanos("patience", "10s", "100ms", "10min"),
            (int) table.integer("most_streams", 1000L, 1, 100_000),
            table.integer("most_held", 16L << 20, 1 << 20, 1L << 32));
    if (keys == null && table.flag("insecure", false)) {
      checkLoopbackOnly(table, listen, addresses);
    }
    table.rejectUnknownKeys();
    return listen == null ? null : gateway;
  }

  private static void checkLoopbackOnly(
      ConfigSection table, InetSocketAddress listen, Set<InetSocketAddress> addresses) {
    boolean beyondLoopback =
        listen != null && !listen.getAddress().isLoopbackAddress()
            || addresses.stream().anyMatch(each -> !each.getAddress().isLoopbackAddress());
    if (beyondLoopback) {
      table.addError("insecure", "is for tests on loopback addresses alone; certificates expected");
    }
  }

  private static String siteName(ConfigSection section, String key) {
    String name = section.string(key, null);
    if (name != null && !Trail.isSiteName(name)) {
      section.addError(
          key, "is \"" + name + "\"; 1 to 32 of the characters a-z, 0-9 and - expected");
    }
    return name;
  }

  private static Keys keys(ConfigDocument document, ConfigSection table) {
    boolean insecure = table.flag("insecure", false);
    String certificate = table.optionalString("certificate");
    String key = table.optionalString("key");
    String authority = table.optionalString("authority");
    if (insecure) {
      if (certificate != null || key != null || authority != null) {
        table.addError("insecure", "and certificates exclude each other; one of the two expected");
      }
      return null;
    }
    if (certificate == null || key == null || authority == null) {
      table.addError(
          "", "certificate, key and authority expected, or insecure = true for a test on loopback");
      return null;
    }
    return new Keys(
        document.resolve(certificate), document.resolve(key), document.resolve(authority));
  }

  private static List<InetSocketAddress> gateways(
      ConfigSection section, Set<InetSocketAddress> allAddresses) {
    List<InetSocketAddress> gateways = new ArrayList<>();
    for (String text : section.strings("gateways", true)) {
      InetSocketAddress address = Addresses.parse(text);
      if (address == null) {
        section.addError("gateways", "has \"" + text + "\"; ADDRESS:PORT expected");
      } else if (!allAddresses.add(address)) {
        section.addError("gateways", "has " + text + " a second time; each address once expected");
      } else {
        gateways.add(address);
      }
    }
    return List.copyOf(gateways);
  }
}
