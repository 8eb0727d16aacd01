package heathswitch.testbed.measure;

import heathswitch.policy.members.ListedServer;
import heathswitch.proxy.members.MembersFormat;
import heathswitch.testbed.balancer.BalancerFolder;
import heathswitch.testbed.balancer.BalancerProcess;
import heathswitch.testbed.client.HttpLoadGenerator;
import heathswitch.testbed.client.LoadStats;
import heathswitch.testbed.client.RequestKind;
import heathswitch.testbed.server.ServerProfile;
import heathswitch.testbed.server.ServiceTime;
import heathswitch.testbed.server.SimulatedServer;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.HdrHistogram.Histogram;

/**
 * Lists of servers that are rewritten thousands of times, a third of them bad, while traffic runs;
 * the event loop with ten thousand servers; and shares by weight.
 */
public final class MembersMeasurement implements Measurement {
  /** Kinds times zones of the stand-in servers. */
  static final int GROUPS = 6;

  private static final int SERVERS = 36;
  private static final int MANY = 10_000;
  private static final double PER_SECOND = 300;
  private static final InetSocketAddress ANY = new InetSocketAddress("127.0.0.1", 0);

  /**
   * A request may still reach a server so long after the list that left it out was accepted: what
   * had been written before. Far under the drain grace of 2 s, within which almost every server is
   * listed by one of the many lists.
   */
  private static final long STRAY_GRACE_MILLIS = 100;

  private static final long WAIT_NANOS = 10_000_000_000L;

  /** The flags of bin/heathswitch, and a collection every second, after which the heap is read. */
  private static final List<String> FLAGS =
      List.of("-XX:+UseZGC", "-Xmx512m", "-XX:ZCollectionInterval=1", "-XX:-UsePerfData");

  private static final String MEMBERS =
      "poll = \"2ms\"\nsettle = \"5ms\"\ndrain = \"1s\"\nmost_removed = 0.5\nremoval_window = \"0ms\"";

  private final Map<String, long[]> arrivals = new HashMap<>();
  private final Map<String, Integer> arrived = new HashMap<>();

  @Override
  public Figures run(boolean brief) throws Exception {
    Figures figures = new Figures();
    rewrites(brief ? 1000 : 5000, figures);
    double worst = many(brief ? 5 : 30, figures);
    figures.rounded("loop_stall_ms", worst);
    figures.rounded("share_error_pct", shares(brief ? 3 : 15, ServiceTime.lognormal(5, 0.5)));
    if (!brief) {
      figures.rounded("share_error_exponential_pct", shares(15, ServiceTime.exponential(5)));
    }
    return figures;
  }

  private static List<RequestKind> kinds() {
    return List.of(
        RequestKind.safe("view", "school", 0.8), RequestKind.unsafe("publish", "school", 0.2));
  }

  // ---- thousands of rewrites ----

  private record Version(long acceptedMillis, Set<String> servers) {}

  private void rewrites(int count, Figures figures) throws Exception {
    SplittableRandom random = new SplittableRandom(17);
    NioEventLoopGroup group = new NioEventLoopGroup(3);
    List<SimulatedServer> servers = new ArrayList<>();
    try (BalancerFolder workplace = new BalancerFolder("measure")) {
      List<ListedServer> all = new ArrayList<>();
      ServerProfile shape = ServerProfile.alwaysWarm(16, 256, ServiceTime.exponential(3));
      for (int i = 0; i < SERVERS; i++) {
        SimulatedServer server =
            new SimulatedServer(group.next(), "s-" + i, shape, i, this::arrived);
        arrivals.put(server.name(), new long[1024]);
        arrived.put(server.name(), 0);
        servers.add(server.start(ANY));
        String kind = List.of("front", "timetable", "store").get(i % 3);
        all.add(BalancerFolder.listEntry(server, i / 3 % 2 == 0 ? "a" : "b", kind, 1));
      }
      ListDraw draw = new ListDraw(random, all);
      Files.writeString(workplace.serverListFile(), draw.text());
      InetSocketAddress listen = BalancerProcess.freeAddress();
      InetSocketAddress admin = BalancerProcess.freeAddress();
      Path config = workplace.writeConfig(listen, admin, 1024, MEMBERS);
      Path log = workplace.path().resolve("log");
      try (BalancerProcess balancer = BalancerProcess.start(config, log, listen, admin, FLAGS)) {
        HttpLoadGenerator load =
            new HttpLoadGenerator(group.next(), listen, kinds(), PER_SECOND, 3000, 300, 1).start();
        rewrite(count, balancer, workplace, draw, random, load, figures);
      }
    } finally {
      servers.forEach(SimulatedServer::close);
      group.shutdownGracefully(0, 2, TimeUnit.SECONDS);
    }
  }

  private synchronized void arrived(SimulatedServer server, String path, long unixMillis) {
    int count = arrived.merge(server.name(), 1, Integer::sum);
    long[] times = arrivals.get(server.name());
    if (count > times.length) {
      times = Arrays.copyOf(times, 2 * times.length);
      arrivals.put(server.name(), times);
    }
    times[count - 1] = unixMillis;
  }

  private void rewrite(
      int count,
      BalancerProcess balancer,
      BalancerFolder workplace,
      ListDraw draw,
      SplittableRandom random,
      HttpLoadGenerator load,
      Figures figures)
      throws Exception {
    Rewriter rewriter = new Rewriter(workplace.serverListFile(), random);
    Set<String> good = new HashSet<>(Set.of(MembersFormat.digest(draw.listed())));
    List<Version> versions = new ArrayList<>();
    Histogram applied = new Histogram(3);
    Map<String, Object> first = balancer.get("members");
    versions.add(version(first, draw.listed()));
    int accepted = 0;
    int refused = 0;
    int missed = 0;
    int badAccepted = 0;
    double heapBefore = 0;
    double stall = 0;
    for (int i = 0; i < count; i++) {
      if (i == count / 10) {
        heapBefore = heap(balancer);
        balancer.get("status"); // The stalls of the start are none of the lists'.
      }
      if (i % (count / 10) == 0) {
        Figures.progress("rewrite " + i + " of " + count + ", " + load.stats().total() + " calls");
      }
      Map<String, Object> before = balancer.get("members");
      if (i % 3 == 2) {
        rewriter.write(draw.badText());
        Map<String, Object> after =
            await(
                balancer,
                now ->
                    number(now, "refused_total") > number(before, "refused_total")
                        || now.containsKey("held")
                        || !good.contains(now.get("digest")));
        if (after == null) {
          missed++;
        } else {
          refused++;
          badAccepted += good.contains(after.get("digest")) ? 0 : 1;
        }
      } else {
        draw.step();
        String digest = MembersFormat.digest(draw.listed());
        good.add(digest);
        rewriter.write(draw.text());
        long written = System.nanoTime();
        Map<String, Object> after =
            await(
                balancer,
                now -> digest.equals(now.get("digest")) && Boolean.TRUE.equals(now.get("applied")));
        if (after == null) {
          missed++;
        } else {
          applied.recordValue((System.nanoTime() - written) / 1000);
          versions.add(version(after, draw.listed()));
          accepted++;
        }
      }
      if (i >= count / 10 && i % 50 == 0) {
        stall = Math.max(stall, number(balancer.get("status"), "loop_late_ms"));
      }
    }
    stall = Math.max(stall, number(balancer.get("status"), "loop_late_ms"));
    double heapAfter = heap(balancer);
    load.stop();
    double acceptedTotal = number(balancer.get("members"), "accepted_total");
    // One more than was waited for is the list of the start; any beyond was none of the good ones.
    badAccepted = Math.max(badAccepted, (int) acceptedTotal - accepted - 1);
    figures
        .add("rewrites", count)
        .add("accepted", accepted)
        .add("refused", refused)
        .add("bad_accepted", badAccepted)
        .add("strays", strays(versions))
        .add("lost", load.stats().count(LoadStats.Result.LOST))
        .rounded("apply_p50_ms", applied.getValueAtPercentile(50) / 1000.0)
        .rounded("apply_p99_ms", applied.getValueAtPercentile(99) / 1000.0)
        .rounded("heap_growth_mb", heapAfter - heapBefore)
        .add("missed", missed)
        .add("calls", load.stats().total())
        .add("failed", load.stats().count(LoadStats.Result.FAILED))
        .add("turned_away", load.stats().count(LoadStats.Result.REFUSED))
        .add("servers", SERVERS)
        .add("calls_per_s", PER_SECOND)
        .add("stray_grace_ms", STRAY_GRACE_MILLIS)
        .rounded("small_loop_stall_ms", stall);
  }

  private interface Condition {
    boolean holds(Map<String, Object> members);
  }

  /** The members page once the condition holds, or null if it does not in time. */
  private static Map<String, Object> await(BalancerProcess balancer, Condition condition)
      throws IOException, InterruptedException {
    long until = System.nanoTime() + WAIT_NANOS;
    while (System.nanoTime() < until) {
      Map<String, Object> now = balancer.get("members");
      if (condition.holds(now)) {
        return now;
      }
      Thread.sleep(1);
    }
    return null;
  }

  private static double number(Map<String, Object> json, String name) {
    return ((Number) json.get(name)).doubleValue();
  }

  private static Version version(Map<String, Object> members, List<ListedServer> list) {
    return new Version(
        (long) number(members, "accepted_at_ms"),
        list.stream().map(ListedServer::id).collect(Collectors.toSet()));
  }

  /** What is left on the heap after a collection that began after now. */
  private static double heap(BalancerProcess balancer) throws IOException, InterruptedException {
    Thread.sleep(1500); // One of the collections that the flags ask for, at least.
    return number(balancer.get("status"), "heap_after_gc_mb");
  }

  /** Requests that reached a server absent from every list that held within the grace before. */
  private synchronized int strays(List<Version> versions) {
    int strays = 0;
    for (Map.Entry<String, long[]> server : arrivals.entrySet()) {
      int at = 0;
      for (int i = 0; i < arrived.get(server.getKey()); i++) {
        long time = server.getValue()[i];
        // A version holds from when it was accepted until the next one is. Those that ended before
        // the grace began are passed over for good, as arrivals come in order.
        while (at + 1 < versions.size()
            && versions.get(at + 1).acceptedMillis() < time - STRAY_GRACE_MILLIS) {
          at++;
        }
        boolean listed = false;
        for (int v = at; v < versions.size() && !listed; v++) {
          if (versions.get(v).acceptedMillis() > time) {
            break;
          }
          listed = versions.get(v).servers().contains(server.getKey());
        }
        strays += listed ? 0 : 1;
      }
    }
    return strays;
  }

  // ---- ten thousand servers ----

  private double many(int rewrites, Figures figures) throws Exception {
    NioEventLoopGroup group = new NioEventLoopGroup(4);
    List<SimulatedServer> servers = new ArrayList<>();
    try (BalancerFolder workplace = new BalancerFolder("measure")) {
      Figures.progress("starting " + MANY + " stand-in servers");
      List<ListedServer> all = new ArrayList<>();
      ServerProfile shape = ServerProfile.alwaysWarm(16, 256, ServiceTime.exponential(3));
      for (int i = 0; i < MANY; i++) {
        servers.add(new SimulatedServer(group.next(), "s-" + i, shape, i, null).start(ANY));
        all.add(BalancerFolder.listEntry(servers.get(i), i % 2 == 0 ? "a" : "b", "front", 1));
      }
      Files.writeString(workplace.serverListFile(), BalancerFolder.formatServerList(all));
      InetSocketAddress listen = BalancerProcess.freeAddress();
      InetSocketAddress admin = BalancerProcess.freeAddress();
      Path config = workplace.writeConfig(listen, admin, 1024, MEMBERS);
      Path log = workplace.path().resolve("log");
      try (BalancerProcess balancer = BalancerProcess.start(config, log, listen, admin, FLAGS)) {
        HttpLoadGenerator load =
            new HttpLoadGenerator(group.next(), listen, kinds(), PER_SECOND, 3000, 300, 1).start();
        Thread.sleep(2000);
        double worst = 0;
        double slowest = 0;
        for (int i = -2; i < rewrites; i++) {
          List<ListedServer> next = next(all, i);
          balancer.get("status");
          Path file = workplace.path().resolve("next");
          Files.writeString(file, BalancerFolder.formatServerList(next));
          String digest = MembersFormat.digest(next);
          long written = System.nanoTime();
          Files.move(file, workplace.serverListFile(), StandardCopyOption.ATOMIC_MOVE);
          Map<String, Object> after =
              await(
                  balancer,
                  now ->
                      digest.equals(now.get("digest")) && Boolean.TRUE.equals(now.get("applied")));
          if (after == null) {
            throw new IllegalStateException("a long list was not taken: " + Files.readString(log));
          }
          double late = number(balancer.get("status"), "loop_late_ms");
          double took = (System.nanoTime() - written) / 1e6;
          Figures.progress(
              String.format(
                  "list %d of %d servers: %.0f ms, loop late %.1f ms", i, next.size(), took, late));
          if (i >= 0) { // The first ones are the compiler's.
            worst = Math.max(worst, late);
            slowest = Math.max(slowest, took);
          }
        }
        load.stop();
        figures
            .add("many_servers", MANY)
            .add("many_rewrites", rewrites)
            .rounded("many_apply_most_ms", slowest)
            .add("many_lost", load.stats().count(LoadStats.Result.LOST));
        return worst;
      }
    } finally {
      Figures.progress("ending the stand-in servers");
      group.shutdownGracefully(0, 2, TimeUnit.SECONDS);
    }
  }

  /** By turns: all weights changed, a fifth left out, the fifth back. */
  private static List<ListedServer> next(List<ListedServer> all, int turn) {
    List<ListedServer> next = new ArrayList<>();
    for (int i = 0; i < all.size(); i++) {
      ListedServer server = all.get(i);
      if (Math.floorMod(turn, 3) != 1 || i % 5 != 0) {
        double weight = Math.floorMod(turn, 3) == 0 ? 1 + (i + turn + 2) % 7 : server.weight();
        next.add(
            new ListedServer(
                server.id(), server.address(), server.zone(), server.kind(), 0, weight, true));
      }
    }
    return next;
  }

  // ---- shares by weight ----

  /** Greatest distance of a server's share from its due, in percent of that due. */
  private double shares(int seconds, ServiceTime time) throws Exception {
    NioEventLoopGroup group = new NioEventLoopGroup(2);
    List<SimulatedServer> servers = new ArrayList<>();
    try (BalancerFolder workplace = new BalancerFolder("measure")) {
      List<ListedServer> all = new ArrayList<>();
      ServerProfile shape = ServerProfile.alwaysWarm(16, 256, time);
      for (int i = 0; i < 3; i++) {
        servers.add(new SimulatedServer(group.next(), "s-" + i, shape, i, null).start(ANY));
        all.add(BalancerFolder.listEntry(servers.get(i), "a", "front", 1 << i));
      }
      Files.writeString(workplace.serverListFile(), BalancerFolder.formatServerList(all));
      InetSocketAddress listen = BalancerProcess.freeAddress();
      InetSocketAddress admin = BalancerProcess.freeAddress();
      Path config = workplace.writeConfig(listen, admin, 1024, MEMBERS);
      Path log = workplace.path().resolve("log");
      try (BalancerProcess balancer = BalancerProcess.start(config, log, listen, admin, FLAGS)) {
        HttpLoadGenerator load =
            new HttpLoadGenerator(group.next(), listen, kinds(), PER_SECOND, 3000, 300, 1).start();
        Thread.sleep(1500);
        long[] before = servers.stream().mapToLong(SimulatedServer::receivedCount).toArray();
        Thread.sleep(seconds * 1000L);
        long[] after = servers.stream().mapToLong(SimulatedServer::receivedCount).toArray();
        load.stop();
        double total = Arrays.stream(after).sum() - Arrays.stream(before).sum();
        double worst = 0;
        for (int i = 0; i < 3; i++) {
          double due = total * (1 << i) / 7;
          Figures.progress("weight " + (1 << i) + ": " + (after[i] - before[i]) + " of " + total);
          worst = Math.max(worst, 100 * Math.abs(after[i] - before[i] - due) / due);
        }
        return worst;
      }
    } finally {
      servers.forEach(SimulatedServer::close);
      group.shutdownGracefully(0, 2, TimeUnit.SECONDS);
    }
  }
}
