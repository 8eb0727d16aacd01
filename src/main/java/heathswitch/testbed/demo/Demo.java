package heathswitch.testbed.demo;

import heathswitch.policy.members.ListEntry;
import heathswitch.policy.members.ListedServer;
import heathswitch.proxy.config.ValidationError;
import heathswitch.proxy.members.MembersFormat;
import heathswitch.proxy.runtime.Addresses;
import heathswitch.proxy.standalone.StandaloneConfig;
import heathswitch.testbed.balancer.BalancerProcess;
import heathswitch.testbed.client.HttpLoadGenerator;
import heathswitch.testbed.client.LoadStats;
import heathswitch.testbed.client.RequestKind;
import heathswitch.testbed.server.ServerProfile;
import heathswitch.testbed.server.ServiceTime;
import heathswitch.testbed.server.SimulatedServer;
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
 * Demo that runs a balancer on the example files, with a simulated server at each listed address
 * and a low request rate, and prints a table of the results. The server list can be edited while it
 * runs.
 */
public final class Demo implements AutoCloseable {
  private static final double REQUESTS_PER_SECOND = 200;
  private static final String USAGE = "usage: heathswitch demo [--seconds N]";

  private final NioEventLoopGroup loops = new NioEventLoopGroup(2);
  private final List<SimulatedServer> servers = new ArrayList<>();
  private BalancerProcess balancer;

  private Demo() {}

  /** Runs until interrupted, or for the number of seconds given by {@code --seconds N}. */
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
    Thread shutdownHook = new Thread(demo::close, "end");
    // Stops the started processes even if the demo is interrupted.
    Runtime.getRuntime().addShutdownHook(shutdownHook);
    try {
      return demo.runToEnd(root, seconds);
    } finally {
      Runtime.getRuntime().removeShutdownHook(shutdownHook);
      demo.close();
    }
  }

  private int runToEnd(Path root, long seconds) throws Exception {
    Path configFile = root.resolve("deploy/example.toml");
    StandaloneConfig.Result result = StandaloneConfig.read(configFile);
    if (result.config() == null) {
      result.errors().forEach(System.err::println);
      return 1;
    }
    StandaloneConfig config = result.config();
    Path listFile = config.members().files().get(0);
    MembersFormat.Parsed parsed =
        MembersFormat.parse(listFile.toString(), Files.readAllBytes(listFile));
    for (ValidationError error : parsed.faults()) {
      System.err.println(error);
      return 1;
    }
    // The saved state of an earlier run would hold back changes made to the list since.
    Files.deleteIfExists(config.members().state().resolve("members.state"));
    ServerProfile shape = ServerProfile.alwaysWarm(8, 64, ServiceTime.lognormal(15, 0.5));
    for (ListEntry entry : parsed.entries()) {
      ListedServer listed = entry.server();
      SimulatedServer server =
          new SimulatedServer(loops.next(), listed.id(), shape, servers.size(), null);
      servers.add(server.start(Addresses.parse(listed.address())));
    }
    Path logFile = root.resolve("target/demo.log");
    balancer =
        BalancerProcess.start(
            configFile,
            logFile,
            config.node().listen(),
            config.admin().listen(),
            List.of("-XX:+UseZGC", "-Xmx256m"));
    System.out.println(
        "balancer on "
            + Addresses.format(config.node().listen())
            + ", "
            + servers.size()
            + " simulated servers, "
            + (int) REQUESTS_PER_SECOND
            + " requests per second; balancer log: "
            + logFile);
    System.out.println(
        "edit weights, phases or lines of the server list while this runs: " + listFile);
    List<RequestKind> kinds =
        List.of(
            RequestKind.safe("view-week", "satri-wittaya", 0.9),
            RequestKind.unsafe("publish", "satri-wittaya", 0.1));
    HttpLoadGenerator load =
        new HttpLoadGenerator(
            loops.next(), config.node().listen(), kinds, REQUESTS_PER_SECOND, 3000, 200, 1);
    load.start();
    printTable(load, seconds);
    load.stop();
    return 0;
  }

  private void printTable(HttpLoadGenerator load, long seconds)
      throws InterruptedException, IOException {
    StringBuilder header =
        new StringBuilder("   t   req/s  served  refused  failed  lost   p50 ms   p99 ms  list ");
    servers.forEach(server -> header.append(String.format("%9s", server.name())));
    long[] received = new long[servers.size()];
    long[] counts = new long[LoadStats.Result.values().length];
    String lastStatus = "";
    for (long second = 1; second <= seconds && balancer.isAlive(); second++) {
      Thread.sleep(1000);
      if (second % 20 == 1) {
        System.out.println(header);
      }
      Map<String, Object> members = balancer.get("members");
      System.out.println(formatRow(second, load, members, counts, received));
      String status = listStatus(members);
      if (!status.equals(lastStatus)) {
        lastStatus = status;
        System.out.println("     " + (status.isEmpty() ? "no list is held back" : status));
      }
    }
  }

  /** Formats the changes since the previous row and updates the given counts. */
  private String formatRow(
      long second,
      HttpLoadGenerator load,
      Map<String, Object> members,
      long[] counts,
      long[] received) {
    long[] changes = new long[counts.length];
    long total = 0;
    for (LoadStats.Result result : LoadStats.Result.values()) {
      int i = result.ordinal();
      changes[i] = load.stats().count(result) - counts[i];
      counts[i] += changes[i];
      total += changes[i];
    }
    Histogram latencies = load.stats().takeLatencies();
    StringBuilder row =
        new StringBuilder(
            String.format(
                "%4d %7d %7d %8d %7d %5d %8.1f %8.1f  %4s ",
                second,
                total,
                changes[0],
                changes[1],
                changes[2],
                changes[3],
                latencies.getValueAtPercentile(50) / 1000.0,
                latencies.getValueAtPercentile(99) / 1000.0,
                "v" + members.get("version")));
    long[] receivedNow = new long[received.length];
    long totalReceived = 0;
    for (int i = 0; i < receivedNow.length; i++) {
      receivedNow[i] = servers.get(i).receivedCount() - received[i];
      received[i] += receivedNow[i];
      totalReceived += receivedNow[i];
    }
    for (long count : receivedNow) {
      row.append(String.format("%8.1f%%", totalReceived == 0 ? 0 : 100.0 * count / totalReceived));
    }
    return row.toString();
  }

  /** Describes a list version that is held back or refused; empty if the list is in force. */
  private static String listStatus(Map<String, Object> members) {
    if (members.get("held") instanceof Map<?, ?> held) {
      return "version "
          + held.get("version")
          + " is held back until it is confirmed: "
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
    servers.forEach(SimulatedServer::close);
    loops.shutdownGracefully(0, 2, TimeUnit.SECONDS);
  }
}
