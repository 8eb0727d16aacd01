package heathswitch.proxy.standalone;

import heathswitch.policy.members.ListedServer;
import heathswitch.testbed.balancer.Workplace;
import heathswitch.testbed.client.Kind;
import heathswitch.testbed.client.OpenLoop;
import heathswitch.testbed.server.ServiceTime;
import heathswitch.testbed.server.Shape;
import heathswitch.testbed.server.StandIn;
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
  final List<StandIn> servers = new ArrayList<>();
  final Workplace workplace = new Workplace("test");
  private StandaloneNode node;

  StandaloneFixture() throws Exception {}

  StandaloneFixture servers(int count) throws Exception {
    return servers(count, ServiceTime.exponential(2));
  }

  StandaloneFixture servers(int count, ServiceTime time) throws Exception {
    for (int i = 0; i < count; i++) {
      Shape shape = Shape.warm(16, 256, time);
      String name = "s-" + (servers.size() + 1);
      servers.add(new StandIn(group.next(), name, shape, i, null).start(EPHEMERAL));
    }
    return this;
  }

  ListedServer listed(int index, double weight) {
    return Workplace.listed(servers.get(index), "a", "front", weight);
  }

  String table(int... indexes) {
    return Workplace.text(Arrays.stream(indexes).mapToObj(i -> listed(i, 1)).toList());
  }

  void write(String text) throws Exception {
    Path next = workplace.folder().resolve("next");
    Files.writeString(next, text);
    Files.move(next, workplace.members(), StandardCopyOption.ATOMIC_MOVE);
  }

  StandaloneFixture start(String members) throws Exception {
    return start(members, "");
  }

  /** Appends further lines to the configuration, which start inside the table [admin]. */
  StandaloneFixture start(String members, String furtherLines) throws Exception {
    Path file = workplace.configure(EPHEMERAL, EPHEMERAL, 512, members);
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

  OpenLoop load(double perSecond) {
    List<Kind> kinds = List.of(Kind.safe("view", "school", 3), Kind.unsafe("publish", "school", 1));
    InetSocketAddress at = node.node().address();
    return new OpenLoop(group.next(), at, kinds, perSecond, 6000, 100, 5).start();
  }

  @Override
  public void close() throws Exception {
    if (node != null) {
      node.stop();
    }
    servers.forEach(StandIn::close);
    group.shutdownGracefully(0, 2, TimeUnit.SECONDS);
    workplace.close();
  }
}
