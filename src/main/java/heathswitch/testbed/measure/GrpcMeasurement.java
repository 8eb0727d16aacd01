package heathswitch.testbed.measure;

import heathswitch.policy.members.ListedServer;
import heathswitch.testbed.balancer.BalancerFolder;
import heathswitch.testbed.balancer.BalancerProcess;
import heathswitch.testbed.client.CallLedger;
import heathswitch.testbed.client.GrpcCallChecker;
import heathswitch.testbed.client.GrpcLoadGenerator;
import heathswitch.testbed.client.HttpLoadGenerator;
import heathswitch.testbed.client.LoadGenerator;
import heathswitch.testbed.client.LoadStats;
import heathswitch.testbed.client.RequestKind;
import heathswitch.testbed.server.GrpcEndpoint;
import heathswitch.testbed.server.ServerProfile;
import heathswitch.testbed.server.ServiceTime;
import heathswitch.testbed.server.SimulatedServer;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * Half HTTP/1.1 and half gRPC on the same stand-in servers: whether both land alike, what each
 * takes of one core, what a stream that waits costs, and whether every kind of call works with a
 * table that names none.
 */
public final class GrpcMeasurement implements Measurement {
  private static final InetSocketAddress ANY = new InetSocketAddress("127.0.0.1", 0);
  private static final double PER_SECOND = 300;
  private static final String NEXT = "/timetable.Store/Next";

  /** Clients of the throughput, each on a loop of its own, so that they are not the limit. */
  private static final int CLIENTS = 3;

  private static final int AT_ONCE = 100;

  /** Streams that wait, over servers whose windows together hold as many. */
  private static final int WAITING = 2000;

  private static final int WAITING_SERVERS = 12;

  private static final List<String> FLAGS = List.of("-XX:+UseZGC", "-Xmx512m", "-XX:-UsePerfData");

  /** A collector that tells what is in use to the byte. */
  private static final List<String> EXACT =
      List.of("-XX:+UseSerialGC", "-Xmx512m", "-XX:-UsePerfData");

  @Override
  public Figures run(boolean brief) throws Exception {
    Figures figures = new Figures();
    CallLedger ledger = new CallLedger();
    SimulatedServer.RequestObserver observer = (server, name, millis) -> ledger.recordRun(name);
    try (Rig rig = new Rig(6, ServiceTime.lognormal(5, 0.5), observer, FLAGS)) {
      mixed(rig, ledger, brief ? 5 : 30, figures);
      undeclared(rig, figures);
    }
    try (Rig rig = new Rig(6, ServiceTime.fixed(0), null, FLAGS)) {
      throughput(rig, brief ? 3 : 15, figures);
    }
    try (Rig rig = new Rig(WAITING_SERVERS, ServiceTime.fixed(50), null, EXACT)) {
      waiting(rig, figures);
    }
    return figures;
  }

  /** A balancer with servers that speak both. */
  private static final class Rig implements AutoCloseable {
    final NioEventLoopGroup group = new NioEventLoopGroup(4);
    final NioEventLoopGroup clients = new NioEventLoopGroup(CLIENTS);
    final List<SimulatedServer> servers = new ArrayList<>();
    final List<GrpcEndpoint> duties = new ArrayList<>();
    final BalancerFolder workplace = new BalancerFolder("measure");
    final InetSocketAddress listen = BalancerProcess.freeAddress();
    final InetSocketAddress grpc = BalancerProcess.freeAddress();
    final BalancerProcess balancer;

    Rig(int count, ServiceTime time, SimulatedServer.RequestObserver observer, List<String> flags)
        throws Exception {
      List<ListedServer> listed = new ArrayList<>();
      for (int i = 0; i < count; i++) {
        ServerProfile shape = ServerProfile.alwaysWarm(2000, 2000, time);
        SimulatedServer server =
            new SimulatedServer(group.next(), "s-" + i, shape, i, observer).start(ANY);
        servers.add(server);
        duties.add(server.startGrpc());
        ListedServer plain = BalancerFolder.listEntry(server, "a", "front", 1);
        listed.add(
            new ListedServer(
                plain.id(), plain.address(), "a", "front", 0, 1, true, duties.get(i).port()));
      }
      Files.writeString(workplace.serverListFile(), BalancerFolder.formatServerList(listed));
      InetSocketAddress admin = BalancerProcess.freeAddress();
      Path config = workplace.writeConfig(listen, admin, 1024, "");
      Files.writeString(
          config,
          """
          [grpc]
          listen = "127.0.0.1:%d"
          most_streams = 4000
          [[grpc.method]]
          path = "*"
          class = "publish"
          tenant = "school"
          """
              .formatted(grpc.getPort()),
          StandardOpenOption.APPEND);
      Path log = workplace.path().resolve("log");
      balancer = BalancerProcess.start(config, log, listen, admin, flags);
    }

    double status(String name) throws IOException {
      return ((Number) balancer.get("status").get(name)).doubleValue();
    }

    @Override
    public void close() throws IOException {
      balancer.kill();
      balancer.close();
      duties.forEach(GrpcEndpoint::close);
      servers.forEach(SimulatedServer::close);
      clients.shutdownGracefully(0, 2, TimeUnit.SECONDS);
      group.shutdownGracefully(0, 2, TimeUnit.SECONDS);
      workplace.close();
    }
  }

  private static List<RequestKind> kinds() {
    return List.of(
        RequestKind.safe("view", "school", 0.8), RequestKind.unsafe("publish", "school", 0.2));
  }

  /** Safe calls may have a second copy; those of gRPC here are all of a class that may not. */
  private static boolean unsafe(String name) {
    return !name.startsWith("/api/view");
  }

  private static void mixed(Rig rig, CallLedger ledger, int seconds, Figures figures)
      throws Exception {
    Figures.progress("mixed load on " + rig.servers.size() + " servers");
    HttpLoadGenerator http =
        new HttpLoadGenerator(
                rig.clients.next(), rig.listen, kinds(), PER_SECOND, 3000, 300, 1, ledger)
            .start();
    GrpcLoadGenerator grpc =
        new GrpcLoadGenerator(rig.clients.next(), NEXT, PER_SECOND, 0, 3000, 2, ledger)
            .start(rig.grpc);
    Thread.sleep(2000);
    http.stats().takeLatencies(); // What came before is the compiler's.
    grpc.stats().takeLatencies();
    long[] httpBefore = rig.servers.stream().mapToLong(SimulatedServer::receivedCount).toArray();
    long[] grpcBefore = rig.duties.stream().mapToLong(GrpcEndpoint::receivedCount).toArray();
    WindowSeries windows = new WindowSeries();
    long until = System.nanoTime() + seconds * 1_000_000_000L;
    while (System.nanoTime() < until) {
      rig.balancer.get("servers").forEach((name, load) -> sample(windows, name, (Map<?, ?>) load));
      Thread.sleep(5);
    }
    double skew = skew(rig, httpBefore, grpcBefore);
    http.stop();
    grpc.stop();
    Histogram httpTimes = http.stats().takeLatencies();
    Histogram grpcTimes = grpc.stats().takeLatencies();
    figures
        .add("share_skew", Math.round(skew * 10_000) / 10_000.0)
        .add("window_breaches", windows.breaches())
        .add("lost", ledger.lostCount())
        .add("double_runs", ledger.duplicateRunCount(GrpcMeasurement::unsafe))
        .add("untrue_answers", ledger.falseResultCount(GrpcMeasurement::unsafe))
        .add("window_samples", windows.samples())
        .add("calls_http1", http.stats().total())
        .add("calls_grpc", grpc.stats().total())
        .rounded("p99_http1_ms", httpTimes.getValueAtPercentile(99) / 1000.0)
        .rounded("p99_grpc_ms", grpcTimes.getValueAtPercentile(99) / 1000.0);
  }

  private static void sample(WindowSeries windows, String name, Map<?, ?> load) {
    long calls = ((Number) load.get("calls")).longValue();
    windows.add(name, calls, ((Number) load.get("window")).longValue());
  }

  /** How far a server's parts of both kinds are apart, at most. */
  private static double skew(Rig rig, long[] httpBefore, long[] grpcBefore) {
    int servers = rig.servers.size();
    double httpAll = 0;
    double grpcAll = 0;
    double[] http = new double[servers];
    double[] grpc = new double[servers];
    for (int i = 0; i < servers; i++) {
      http[i] = rig.servers.get(i).receivedCount() - httpBefore[i];
      grpc[i] = rig.duties.get(i).receivedCount() - grpcBefore[i];
      httpAll += http[i];
      grpcAll += grpc[i];
    }
    double skew = 0;
    for (int i = 0; i < servers; i++) {
      skew = Math.max(skew, Math.abs(http[i] / httpAll - grpc[i] / grpcAll));
    }
    return skew;
  }

  private static void undeclared(Rig rig, Figures figures) throws Exception {
    Figures.progress("every kind of call, none of them in the table");
    try (GrpcCallChecker kinds = new GrpcCallChecker(rig.clients.next(), rig.grpc)) {
      List<String> failures = kinds.checkAllKinds();
      failures.forEach(Figures::progress);
      figures.add("undeclared", GrpcCallChecker.KIND_COUNT);
      figures.add("undeclared_ok", GrpcCallChecker.KIND_COUNT - failures.size());
    }
  }

  /** Each kind alone, so many calls always out, against a balancer on its one loop. */
  private static void throughput(Rig rig, int seconds, Figures figures) throws Exception {
    for (int round = 0; round < 2; round++) { // The first one warms both up.
      Figures.progress(round == 0 ? "warming up" : "requests a second");
      long length = round == 0 ? 3000 : seconds * 1000L;
      List<LoadGenerator> http = new ArrayList<>();
      for (int i = 0; i < CLIENTS; i++) {
        EventLoop loop = rig.clients.next();
        http.add(
            new HttpLoadGenerator(loop, rig.listen, kinds(), 0, 3000, AT_ONCE, 10 + i).start());
      }
      alone(rig, http, length, round == 0 ? null : figures, "http1");
      List<LoadGenerator> grpc = new ArrayList<>();
      for (int i = 0; i < CLIENTS; i++) {
        EventLoop loop = rig.clients.next();
        grpc.add(new GrpcLoadGenerator(loop, NEXT, 0, AT_ONCE, 3000, 20 + i, null).start(rig.grpc));
      }
      alone(rig, grpc, length, round == 0 ? null : figures, "grpc");
    }
  }

  private static void alone(
      Rig rig, List<LoadGenerator> loads, long millis, Figures figures, String kind)
      throws Exception {
    Thread.sleep(500);
    long served = served(loads);
    double cpu = rig.status("loop_cpu_ms");
    double clientCpu = clientCpu(rig);
    long since = System.nanoTime();
    Thread.sleep(millis);
    double wall = (System.nanoTime() - since) / 1e6;
    served = served(loads) - served;
    cpu = rig.status("loop_cpu_ms") - cpu;
    clientCpu = clientCpu(rig) - clientCpu;
    for (LoadGenerator load : loads) {
      load.stop();
    }
    if (figures != null) {
      figures
          .rounded("rps_" + kind, served * 1000.0 / wall)
          .rounded("cpu_us_" + kind, cpu * 1000 / Math.max(1, served))
          .rounded("balancer_busy_" + kind, cpu / wall)
          .rounded("client_busy_" + kind, clientCpu / wall / CLIENTS);
    }
  }

  private static long served(List<LoadGenerator> loads) {
    return loads.stream().mapToLong(load -> load.stats().count(LoadStats.Result.SERVED)).sum();
  }

  /** CPU time of the clients' loops together, in milliseconds. */
  private static double clientCpu(Rig rig) throws Exception {
    double sum = 0;
    for (int i = 0; i < CLIENTS; i++) {
      sum +=
          rig.clients
              .next()
              .submit(() -> ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime())
              .get();
    }
    return sum / 1e6;
  }

  /** Heap for each stream that waits for its server, of those that got one. */
  private static void waiting(Rig rig, Figures figures) throws Exception {
    Figures.progress("windows open for " + WAITING + " streams");
    List<LoadGenerator> opening = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      opening.add(
          new GrpcLoadGenerator(rig.clients.next(), NEXT, 0, WAITING / 2, 5000, 30 + i, null)
              .start(rig.grpc));
    }
    Thread.sleep(3000);
    for (LoadGenerator load : opening) {
      load.stop();
    }
    Thread.sleep(1500);
    Figures.progress("streams that wait");
    rig.balancer.collectGarbage();
    double before = rig.status("heap_after_gc_mb");
    GrpcLoadGenerator load =
        new GrpcLoadGenerator(rig.clients.next(), "/board.Live/Watch", 0, WAITING, 5000, 5, null);
    load.start(rig.grpc);
    Thread.sleep(3000);
    double live = rig.status("live_requests");
    rig.balancer.collectGarbage();
    double after = rig.status("heap_after_gc_mb");
    figures.add("waiting_streams", (long) live);
    figures.rounded("heap_per_stream_bytes", (after - before) * 1048576 / Math.max(1, live));
  }
}
