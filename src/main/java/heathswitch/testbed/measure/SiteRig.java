package heathswitch.testbed.measure;

import heathswitch.testbed.balancer.BalancerFolder;
import heathswitch.testbed.balancer.BalancerProcess;
import heathswitch.testbed.client.CallLedger;
import heathswitch.testbed.client.HttpLoadGenerator;
import heathswitch.testbed.client.LoadStats;
import heathswitch.testbed.client.RequestKind;
import heathswitch.testbed.server.ServerProfile;
import heathswitch.testbed.server.SimulatedServer;
import heathswitch.testbed.site.CertificateAuthority;
import heathswitch.testbed.site.DelayProxy;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** One site: stand-in servers, two gateways in processes of their own, and ways to other sites. */
final class SiteRig implements AutoCloseable {
  static final int GATEWAYS = 2;
  private static final InetSocketAddress ANY = new InetSocketAddress("127.0.0.1", 0);
  private static final List<String> FLAGS =
      List.of("-XX:+UseSerialGC", "-Xmx128m", "-XX:TieredStopAtLevel=1", "-XX:-UsePerfData");
  private static final List<RequestKind> KINDS =
      List.of(
          RequestKind.safe("view", "school", 0.8), RequestKind.unsafe("publish", "school", 0.2));

  final String name;
  final List<SimulatedServer> servers = new ArrayList<>();
  final List<InetSocketAddress> gateways = new ArrayList<>();
  final List<BalancerProcess> balancers = new ArrayList<>();

  /** Of each gateway here, its ways to the gateways of other sites. */
  final List<Map<String, List<DelayProxy>>> ways = new ArrayList<>();

  private final List<BalancerFolder> workplaces = new ArrayList<>();

  SiteRig(
      String name,
      NioEventLoopGroup group,
      int count,
      ServerProfile shape,
      CallLedger ledger,
      long seed)
      throws Exception {
    this.name = name;
    for (int i = 0; i < count; i++) {
      SimulatedServer server =
          new SimulatedServer(group.next(), name + '-' + i, shape, seed + i, null);
      servers.add(server.onWorkStarted(ledger::recordRun).start(ANY));
    }
    for (int i = 0; i < GATEWAYS; i++) {
      gateways.add(BalancerProcess.freeAddress());
    }
  }

  /**
   * Writes the configurations of all gateways here and starts them; returns when they run. The
   * authority has signed for the site.
   */
  void start(
      List<SiteRig> all, NioEventLoopGroup group, CertificateAuthority authority, Path folder)
      throws Exception {
    for (int i = 0; i < GATEWAYS; i++) {
      Map<String, List<DelayProxy>> of = new LinkedHashMap<>();
      ways.add(of);
      StringBuilder table = new StringBuilder();
      table.append("[gateway]\nsite = \"").append(name).append("\"\nlisten = ");
      table.append(quoted(gateways.get(i)));
      table.append("\ncertificate = \"").append(folder.resolve(name + ".pem"));
      table.append("\"\nkey = \"").append(folder.resolve(name + ".key"));
      table.append("\"\nauthority = \"").append(authority.certificateFile()).append("\"\n");
      for (SiteRig other : all) {
        if (other != this) {
          List<DelayProxy> lines = new ArrayList<>();
          List<String> addresses = new ArrayList<>();
          for (InetSocketAddress gateway : other.gateways) {
            lines.add(new DelayProxy(group.next(), gateway, 5.6, 10, lines.size()).start());
            addresses.add(quoted(lines.get(lines.size() - 1).address()));
          }
          of.put(other.name, lines);
          table.append("[[gateway.peer]]\nsite = \"").append(other.name).append("\"\n");
          table.append("gateways = ").append(addresses).append('\n');
        }
      }
      BalancerFolder workplace = new BalancerFolder("gateway");
      workplaces.add(workplace);
      Files.writeString(
          workplace.serverListFile(),
          BalancerFolder.formatServerList(
              servers.stream()
                  .map(each -> BalancerFolder.listEntry(each, "a", "front", 1))
                  .toList()));
      InetSocketAddress listen = BalancerProcess.freeAddress();
      InetSocketAddress admin = BalancerProcess.freeAddress();
      Path config = workplace.writeConfig(listen, admin, 1024, "");
      Files.writeString(config, table, StandardOpenOption.APPEND);
      balancers.add(
          BalancerProcess.start(config, workplace.path().resolve("log"), listen, admin, FLAGS));
    }
  }

  private static String quoted(InetSocketAddress address) {
    return "\"127.0.0.1:" + address.getPort() + '"';
  }

  /** Calls of this site's own, spread over its gateways. */
  List<HttpLoadGenerator> load(
      NioEventLoopGroup group,
      double perSecond,
      long deadlineMillis,
      long seed,
      CallLedger ledger) {
    List<HttpLoadGenerator> loads = new ArrayList<>();
    for (int i = 0; i < GATEWAYS; i++) {
      loads.add(
          new HttpLoadGenerator(
                  group.next(),
                  balancers.get(i).listen(),
                  KINDS,
                  perSecond / GATEWAYS,
                  deadlineMillis,
                  300,
                  seed + i,
                  ledger)
              .start());
    }
    return loads;
  }

  static long count(List<HttpLoadGenerator> loads, LoadStats.Result result) {
    return loads.stream().mapToLong(load -> load.stats().count(result)).sum();
  }

  static long total(List<HttpLoadGenerator> loads) {
    return loads.stream().mapToLong(load -> load.stats().total()).sum();
  }

  /** Takes all links out, or puts them back. */
  void alone(boolean alone) throws IOException {
    for (int i = 0; i < GATEWAYS; i++) {
      for (String site : ways.get(i).keySet()) {
        balancers.get(i).post("gateway/" + (alone ? "drain/" : "resume/") + site);
      }
    }
  }

  private List<Map<?, ?>> links() throws IOException {
    List<Map<?, ?>> links = new ArrayList<>();
    for (BalancerProcess balancer : balancers) {
      for (Object link : (List<?>) balancer.get("gateway").get("links")) {
        links.add((Map<?, ?>) link);
      }
    }
    return links;
  }

  boolean linked() throws IOException {
    return links().stream()
        .allMatch(
            link ->
                link.get("state").equals("up")
                    && ((Number) link.get("there_and_back_ms")).doubleValue() > 0);
  }

  /** A figure summed over all links of all gateways here. */
  long sum(String figure) throws IOException {
    return links().stream().mapToLong(link -> ((Number) link.get(figure)).longValue()).sum();
  }

  /** Calls that came with a trail that had gone astray, over all peers. */
  long bounced() throws IOException {
    long bounced = 0;
    for (BalancerProcess balancer : balancers) {
      for (Object peer : ((Map<?, ?>) balancer.get("gateway").get("from")).values()) {
        bounced += ((Number) ((Map<?, ?>) peer).get("bounced")).longValue();
      }
    }
    return bounced;
  }

  @Override
  public void close() throws IOException {
    for (BalancerProcess balancer : balancers) {
      balancer.kill();
      balancer.close();
    }
    ways.forEach(each -> each.values().forEach(lines -> lines.forEach(DelayProxy::close)));
    servers.forEach(SimulatedServer::close);
    for (BalancerFolder workplace : workplaces) {
      workplace.close();
    }
  }
}
