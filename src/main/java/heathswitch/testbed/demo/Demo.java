package heathswitch.testbed.demo;

import heathswitch.policy.members.ListEntry;
import heathswitch.policy.members.ListedServer;
import heathswitch.proxy.config.ValidationError;
import heathswitch.proxy.members.MembersFormat;
import heathswitch.proxy.runtime.Addresses;
import heathswitch.proxy.standalone.StandaloneConfig;
import heathswitch.testbed.balancer.BalancerProcess;
import heathswitch.testbed.client.Kind;
import heathswitch.testbed.client.OpenLoop;
import heathswitch.testbed.client.Tally;
import heathswitch.testbed.server.ServiceTime;
import heathswitch.testbed.server.Shape;
import heathswitch.testbed.server.StandIn;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * A balancer on the example files, with a stand-in server at each address of the list and a small
 * load, and a table that shows what it does. The list may be edited meanwhile.
 */
public final class Demo implements AutoCloseable {
  private static final double PER_SECOND = 200;
  private static final String USAGE = "usage: heathswitch demo [--seconds N]";

  private final NioEventLoopGroup group = new NioEventLoopGroup(2);
  private final List<StandIn> servers = new ArrayList<>();
  private BalancerProcess balancer;

  private Demo() {}

  /** Runs until it is interrupted, or for the seconds that {@code --seconds N} says. */
  public static int run(List<String> args) throws Exception {
    long seconds = Long.MAX_VALUE;
    if (args.size() == 2 && args.get(0).equals("--seconds") && args.get(1).matches("\\d{1,6}")) {
      seconds = Long.parseLong(args.get(1));
    } else if (!args.isEmpty()) {
      System.err.println(USAGE);
      return 2;
    }
    Path root = Path.of(System.getProperty("heathswitch.root", "."));
    Demo demo = new Demo();
    Thread end = new Thread(demo::close, "end");
    Runtime.getRuntime().addShutdownHook(end); // Interrupted, it still ends what it started.
    try {
      return demo.play(root, seconds);
    } finally {
      Runtime.getRuntime().removeShutdownHook(end);
      demo.close();
    }
  }

  private int play(Path root, long seconds) throws Exception {
    Path file = root.resolve("deploy/example.toml");
    StandaloneConfig.Result result = StandaloneConfig.read(file);
    if (result.config() == null) {
      result.errors().forEach(System.err::println);
      return 1;
    }
    StandaloneConfig config = result.config();
    Path list = config.members().files().get(0);
    MembersFormat.Parsed parsed = MembersFormat.parse(list.toString(), Files.readAllBytes(list));
    for (ValidationError fault : parsed.faults()) {
      System.err.println(fault);
      return 1;
    }
    // The state of an earlier demo would hold back what has been edited since.
    Files.deleteIfExists(config.members().state().resolve("members.state"));
    Shape shape = Shape.warm(8, 64, ServiceTime.lognormal(15, 0.5));
    for (ListEntry placed : parsed.entries()) {
      ListedServer listed = placed.server();
      StandIn server = new StandIn(group.next(), listed.id(), shape, servers.size(), null);
      servers.add(server.start(Addresses.parse(listed.address())));
    }
    Path log = root.resolve("target/demo.log");
    balancer =
        BalancerProcess.start(
            file,
            log,
            config.node().listen(),
            config.admin().listen(),
            List.of("-XX:+UseZGC", "-Xmx256m"));
    System.out.println(
        "a balancer on "
            + Addresses.format(config.node().listen())
            + ", "
            + servers.size()
            + " stand-in servers, "
            + (int) PER_SECOND
            + " requests a second; its log: "
            + log);
    System.out.println("edit weights, phases or lines and watch: " + list);
    List<Kind> kinds =
        List.of(
            Kind.safe("view-week", "satri-wittaya", 0.9),
            Kind.unsafe("publish", "satri-wittaya", 0.1));
    OpenLoop load =
        new OpenLoop(group.next(), config.node().listen(), kinds, PER_SECOND, 3000, 200, 1);
    load.start();
    show(load, seconds);
    load.stop();
    return 0;
  }

  private void show(OpenLoop load, long seconds) throws InterruptedException, IOException {
    StringBuilder head =
        new StringBuilder("   t   req/s  served  refused  failed  lost   p50 ms   p99 ms  list ");
    servers.forEach(server -> head.append(String.format("%9s", server.name())));
    long[] received = new long[servers.size()];
    long[] counts = new long[Tally.Result.values().length];
    String note = "";
    for (long second = 1; second <= seconds && balancer.alive(); second++) {
      Thread.sleep(1000);
      if (second % 20 == 1) {
        System.out.println(head);
      }
      Map<String, Object> members = balancer.get("members");
      System.out.println(line(second, load, members, counts, received));
      String said = said(members);
      if (!said.equals(note)) {
        note = said;
        System.out.println("     " + (said.isEmpty() ? "nothing is held back" : said));
      }
    }
  }

  /** What has come since the line before; the counts that it gets become those of now. */
  private String line(
      long second, OpenLoop load, Map<String, Object> members, long[] counts, long[] received) {
    long[] now = new long[counts.length];
    long total = 0;
    for (Tally.Result result : Tally.Result.values()) {
      int i = result.ordinal();
      now[i] = load.tally().count(result) - counts[i];
      counts[i] += now[i];
      total += now[i];
    }
    Histogram latencies = load.tally().interval();
    StringBuilder line =
        new StringBuilder(
            String.format(
                "%4d %7d %7d %8d %7d %5d %8.1f %8.1f  %4s ",
                second,
                total,
                now[0],
                now[1],
                now[2],
                now[3],
                latencies.getValueAtPercentile(50) / 1000.0,
                latencies.getValueAtPercentile(99) / 1000.0,
                "v" + members.get("version")));
    long[] share = new long[received.length];
    long all = 0;
    for (int i = 0; i < share.length; i++) {
      share[i] = servers.get(i).received() - received[i];
      received[i] += share[i];
      all += share[i];
    }
    for (long count : share) {
      line.append(String.format("%8.1f%%", all == 0 ? 0 : 100.0 * count / all));
    }
    return line.toString();
  }

  /** The balancer's latest word on the list, other than that it is taken. */
  private static String said(Map<String, Object> members) {
    if (members.get("held") instanceof Map<?, ?> held) {
      return "version "
          + held.get("version")
          + " held back until confirmed: "
          + held.get("reasons");
    }
    if (members.get("refusals") instanceof List<?> refusals
        && !refusals.isEmpty()
        && refusals.get(0) instanceof Map<?, ?> refusal) {
      return "refused: " + refusal.get("reasons");
    }
    return "";
  }

  @Override
  public void close() {
    if (balancer != null) {
      balancer.close();
    }
    servers.forEach(StandIn::close);
    group.shutdownGracefully(0, 2, TimeUnit.SECONDS);
  }
}
