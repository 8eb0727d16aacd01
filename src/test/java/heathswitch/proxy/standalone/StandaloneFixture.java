package heathswitch.proxy.standalone;

import heathswitch.policy.members.ListedServer;
import heathswitch.testbed.balancer.BalancerFolder;
import heathswitch.testbed.client.HttpLoadGenerator;
import heathswitch.testbed.client.RequestKind;
import heathswitch.testbed.server.ServerProfile;
import heathswitch.testbed.server.ServiceTime;
import heathswitch.testbed.server.SimulatedServer;
import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Runs a standalone balancer in this JVM, with stand-in servers and load generators. */
final class StandaloneFixture implements AutoCloseable {
  private static final InetSocketAddress EPHEMERAL = new InetSocketAddress("127.0.0.1", 0);

  final NioEventLoopGroup group = new NioEventLoopGroup(2);
  final List<SimulatedServer> servers = new ArrayList<>();
  final BalancerFolder workplace = new BalancerFolder("test");
  private StandaloneNode node;

  StandaloneFixture() throws Exception {}

  StandaloneFixture servers(int count) throws Exception {
    return servers(count, ServiceTime.exponential(2));
  }

  StandaloneFixture servers(int count, ServiceTime time) throws Exception {
    for (int i = 0; i < count; i++) {
      ServerProfile shape = ServerProfile.alwaysWarm(16, 256, time);
      String name = "s-" + (servers.size() + 1);
      servers.add(new SimulatedServer(group.next(), name, shape, i, null).start(EPHEMERAL));
    }
    return this;
  }

  ListedServer listed(int index, double weight) {
    return BalancerFolder.listEntry(servers.get(index), "a", "front", weight);
  }

  String table(int... indexes) {
    return BalancerFolder.formatServerList(
        Arrays.stream(indexes).mapToObj(i -> listed(i, 1)).toList());
  }

  void write(String text) throws Exception {
    Path next = workplace.path().resolve("next");
    Files.writeString(next, text);
    Files.move(next, workplace.serverListFile(), StandardCopyOption.ATOMIC_MOVE);
  }

  StandaloneFixture start(String members) throws Exception {
    return start(members, "");
  }

  /** Appends further lines to the configuration, which start inside the table [admin]. */
  StandaloneFixture start(String members, String furtherLines) throws Exception {
    Path file = workplace.writeConfig(EPHEMERAL, EPHEMERAL, 512, members);
    Files.writeString(file, furtherLines, StandardOpenOption.APPEND);
    StandaloneConfig.Result result = StandaloneConfig.read(file);
    if (result.config() == null) {
      throw new AssertionError(result.errors());
    }
    node = new StandaloneNode(file, result.config());
    node.start();
    return this;
  }

  StandaloneNode node() {
    return node;
  }

  HttpLoadGenerator load(double perSecond) {
    List<RequestKind> kinds =
        List.of(RequestKind.safe("view", "school", 3), RequestKind.unsafe("publish", "school", 1));
    InetSocketAddress at = node.node().address();
    return new HttpLoadGenerator(group.next(), at, kinds, perSecond, 6000, 100, 5).start();
  }

  @Override
  public void close() throws Exception {
    if (node != null) {
      node.stop();
    }
    servers.forEach(SimulatedServer::close);
    group.shutdownGracefully(0, 2, TimeUnit.SECONDS);
    workplace.close();
  }
}
