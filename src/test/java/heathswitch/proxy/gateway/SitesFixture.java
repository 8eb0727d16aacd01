package heathswitch.proxy.gateway;

import heathswitch.proxy.members.MembersFormat;
import heathswitch.proxy.standalone.StandaloneConfig;
import heathswitch.proxy.standalone.StandaloneNode;
import heathswitch.testbed.balancer.BalancerFolder;
import heathswitch.testbed.client.CallLedger;
import heathswitch.testbed.client.HttpLoadGenerator;
import heathswitch.testbed.client.RequestKind;
import heathswitch.testbed.server.ServerProfile;
import heathswitch.testbed.server.ServiceTime;
import heathswitch.testbed.server.SimulatedServer;
import heathswitch.testbed.site.CertificateAuthority;
import heathswitch.testbed.site.DelayProxy;
import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import testing.Await;

/**
 * Several sites in this process, each with stand-in servers, a gateway, and delayed paths to the
 * gateways of the other sites.
 */
final class SitesFixture implements AutoCloseable {
  private static final InetSocketAddress ANY = new InetSocketAddress("127.0.0.1", 0);

  final NioEventLoopGroup group = new NioEventLoopGroup(3);
  final Map<String, Site> sites = new LinkedHashMap<>();
  final CallLedger ledger = new CallLedger();
  private final Path folder = Files.createTempDirectory("heathswitch-sites-");
  private CertificateAuthority authority;
  private long seed = 1;
  private String gatewaySetting = "";

  /**
   * One gateway of a site, with its own servers. Gateways of the same site share a name and differ
   * in their keys.
   */
  final class Site implements AutoCloseable {
    final String name;
    final String key;

    /** The address of a listener that replaces the gateway, or null. */
    volatile InetSocketAddress replacement;

    final List<SimulatedServer> servers = new ArrayList<>();
    final Map<String, DelayProxy> paths = new LinkedHashMap<>();
    final BalancerFolder workplace;
    String certificate;
    private final List<String> memberLines = new ArrayList<>();
    volatile StandaloneNode node;

    Site(String key, String name, int servers, ServerProfile shape) throws Exception {
      this.key = key;
      this.name = name;
      certificate = key;
      workplace = new BalancerFolder("site");
      for (int i = 0; i < servers; i++) {
        SimulatedServer server =
            new SimulatedServer(group.next(), key + "-" + i, shape, seed++, null)
                .onWorkStarted(ledger::recordRun);
        this.servers.add(server.start(ANY));
      }
    }

    /** The address to which other gateways connect, or null while there is no listener. */
    InetSocketAddress listen() {
      StandaloneNode current = node;
      return replacement != null
          ? replacement
          : current == null ? null : current.gateway().address();
    }

    /** Adds a server by its line in the members file. */
    void addMemberLine(String line) {
      memberLines.add(line);
    }

    long received() {
      return servers.stream().mapToLong(SimulatedServer::receivedCount).sum();
    }

    /** The status page of the gateway, read on its event loop. */
    Map<String, Object> status() {
      try {
        return node.node().loop().submit(() -> node.gateway().status()).get();
      } catch (Exception e) {
        throw new AssertionError(e);
      }
    }

    @SuppressWarnings("unchecked")
    List<Map<String, Object>> links() {
      return (List<Map<String, Object>>) status().get("links");
    }

    @SuppressWarnings("unchecked")
    Map<String, Object> from(String site) {
      return ((Map<String, Map<String, Object>>) status().get("from")).get(site);
    }

    /** Sums a figure over the links to a site. */
    long sum(String site, String figure) {
      return links().stream()
          .filter(link -> String.valueOf(link.get("link")).startsWith(site + ' '))
          .mapToLong(link -> ((Number) link.get(figure)).longValue())
          .sum();
    }

    void awaitLinks(Predicate<Map<String, Object>> each) throws InterruptedException {
      Await.until("links of " + key, () -> links().stream().allMatch(each));
    }

    int openRequests() {
      try {
        return node.node().loop().submit(() -> node.node().dispatcher().liveRequestCount()).get();
      } catch (Exception e) {
        throw new AssertionError(e);
      }
    }

    HttpLoadGenerator load(double ratePerSecond, long deadlineMillis, RequestKind... kinds) {
      return new HttpLoadGenerator(
              group.next(),
              node.node().address(),
              List.of(kinds),
              ratePerSecond,
              deadlineMillis,
              200,
              seed++,
              ledger)
          .start();
    }

    void drain(String link, boolean drained) {
      try {
        node.node()
            .loop()
            .submit(() -> node.gateway().drainOrResume((drained ? "drain/" : "resume/") + link))
            .get(10, TimeUnit.SECONDS);
      } catch (Exception e) {
        throw new AssertionError(e);
      }
    }

    void start(boolean tls) throws Exception {
      servers.forEach(
          each ->
              memberLines.add(
                  MembersFormat.formatLine(BalancerFolder.listEntry(each, "a", "front", 1))));
      String members = String.join("\n", memberLines) + "\nend " + memberLines.size() + '\n';
      Files.writeString(workplace.serverListFile(), members);
      Path file = workplace.writeConfig(ANY, ANY, 512, "");
      StringBuilder table = new StringBuilder("[[class]]\nname = \"keyed\"\neffect = \"keyed\"\n");
      table.append("window = \"5s\"\naim = \"2500ms\"\ndeadline = \"6s\"\n");
      table.append("[gateway]\nsite = \"").append(name).append("\"\nlisten = \"127.0.0.1:0\"\n");
      if (tls) {
        authority().issue(key, name);
        table.append("certificate = \"").append(folder.resolve(certificate + ".pem"));
        table.append("\"\nkey = \"").append(folder.resolve(certificate + ".key"));
        table.append("\"\nauthority = \"").append(authority().certificateFile()).append("\"\n");
      } else {
        table.append("insecure = true\n");
      }
      table.append(gatewaySetting);
      Map<String, List<String>> others = new LinkedHashMap<>();
      for (Site other : sites.values()) {
        if (!other.name.equals(name)) {
          DelayProxy path = new DelayProxy(group.next(), other::listen, 5.6, 10, seed++).start();
          paths.put(other.key, path);
          others
              .computeIfAbsent(other.name, site -> new ArrayList<>())
              .add("\"127.0.0.1:" + path.address().getPort() + '"');
        }
      }
      others.forEach(
          (peerSite, addresses) ->
              table
                  .append("[[gateway.peer]]\nsite = \"")
                  .append(peerSite)
                  .append("\"\ngateways = ")
                  .append(addresses)
                  .append('\n'));
      Files.writeString(file, table, StandardOpenOption.APPEND);
      StandaloneConfig.Result result = StandaloneConfig.read(file);
      if (result.config() == null) {
        throw new AssertionError(result.errors());
      }
      StandaloneNode starting = new StandaloneNode(file, result.config());
      starting.start();
      node = starting;
    }

    @Override
    public void close() throws Exception {
      if (node != null) {
        node.stop();
      }
      paths.values().forEach(DelayProxy::close);
      servers.forEach(SimulatedServer::close);
      workplace.close();
    }
  }

  SitesFixture() throws Exception {}

  /**
   * Adds a site whose servers process a fixed number of calls at a time, each for a fixed time, and
   * queue none.
   */
  SitesFixture site(String name, int servers, int cores, double millis) throws Exception {
    return gateway(name, name, servers, cores, millis);
  }

  /** Adds a gateway of a site, with its own servers. */
  SitesFixture gateway(String key, String name, int servers, int cores, double millis)
      throws Exception {
    ServerProfile shape = ServerProfile.alwaysWarm(cores, 0, ServiceTime.fixed(millis));
    sites.put(key, new Site(key, name, servers, shape));
    return this;
  }

  /** Sets a line to add to the table [gateway] of every site. */
  SitesFixture withGatewaySetting(String line) {
    gatewaySetting = line + '\n';
    return this;
  }

  Path folder() {
    return folder;
  }

  CertificateAuthority authority() throws Exception {
    if (authority == null) {
      authority = new CertificateAuthority(folder, "ca");
    }
    return authority;
  }

  Site site(String key) {
    return sites.get(key);
  }

  SitesFixture start(boolean tls) throws Exception {
    for (Site site : sites.values()) {
      site.start(tls);
    }
    return this;
  }

  /** Starts all sites and waits until every link can carry calls. */
  SitesFixture startLinked(boolean tls) throws Exception {
    start(tls);
    for (Site site : sites.values()) {
      site.awaitLinks(
          link ->
              link.get("state").equals("up")
                  && ((Number) link.get("there_and_back_ms")).doubleValue() > 0);
    }
    return this;
  }

  @Override
  public void close() throws Exception {
    for (Site site : sites.values()) {
      site.close();
    }
    group.shutdownGracefully(0, 2, TimeUnit.SECONDS);
    try (var files = Files.list(folder)) {
      for (Path path : files.toList()) {
        Files.delete(path);
      }
    }
    Files.delete(folder);
  }
}
