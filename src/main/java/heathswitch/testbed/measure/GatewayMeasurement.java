package heathswitch.testbed.measure;

import heathswitch.testbed.balancer.Folders;
import heathswitch.testbed.client.CallLedger;
import heathswitch.testbed.client.HttpLoadGenerator;
import heathswitch.testbed.client.LoadStats;
import heathswitch.testbed.server.ServerProfile;
import heathswitch.testbed.server.ServiceTime;
import heathswitch.testbed.site.CertificateAuthority;
import heathswitch.testbed.site.DelayProxy;
import io.netty.channel.nio.NioEventLoopGroup;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Four sites with two gateways each, ways of 5.6 to 10 ms between them and TLS on every link: how
 * much of an overloaded site's calls crosses, and whether it had to; what is served with and
 * without the gateway and by somebody who sees all; what becomes of calls when links drop, and how
 * soon they are used again; and whether any site serves less of its own for the others' sake.
 */
public final class GatewayMeasurement implements Measurement {
  private static final List<String> NAMES = List.of("hat-yai", "bangkok", "udon", "phuket");
  private static final int SERVERS = 4;
  private static final int CORES = 4;
  private static final int QUEUE = 8;
  private static final double WORK_MILLIS = 40;
  private static final double SPREAD = 0.5;
  private static final long DEADLINE_MILLIS = 2000;
  private static final double HOP_MILLIS = 7.8;

  /** Of the capacity of a site's own servers. */
  private static final double CAPACITY = SERVERS * CORES * 1000 / WORK_MILLIS;

  private static final double EASY = 0.6;
  private static final double NEAR_FULL = 0.97;

  /** Standard errors by which a site has to have fared worse before chance is ruled out. */
  private static final double CERTAIN_ERRORS = 3;

  /** From the choice to send a call to its work elsewhere: the way, and two balancers. */
  private static final long SENT_BEFORE_NANOS = 9_000_000L;

  private final NioEventLoopGroup servers = new NioEventLoopGroup(2);
  private final NioEventLoopGroup between = new NioEventLoopGroup(2);
  private final NioEventLoopGroup clients = new NioEventLoopGroup(2);
  private final List<SiteRig> sites = new ArrayList<>();
  private CallLedger ledger;
  private long seed = 100;

  @Override
  public Figures run(boolean brief) throws Exception {
    Figures figures = new Figures();
    ledger = new CallLedger();
    Path folder = Files.createTempDirectory("heathswitch-sites-");
    long unit = brief ? 2000 : 15_000;
    try {
      start(folder);
      play(unit, brief ? 2 : 10, figures);
    } finally {
      for (SiteRig site : sites) {
        site.close();
      }
      for (NioEventLoopGroup group : List.of(servers, between, clients)) {
        group.shutdownGracefully(0, 2, TimeUnit.SECONDS);
      }
      Folders.deleteRecursively(folder);
    }
    return figures;
  }

  private void start(Path folder) throws Exception {
    Figures.progress("starting " + NAMES.size() + " sites with " + SiteRig.GATEWAYS + " gateways");
    CertificateAuthority authority = new CertificateAuthority(folder, "ca");
    ServerProfile shape =
        ServerProfile.alwaysWarm(CORES, QUEUE, ServiceTime.lognormal(WORK_MILLIS, SPREAD));
    for (String name : NAMES) {
      sites.add(new SiteRig(name, servers, SERVERS, shape, ledger, seed += 10));
    }
    for (SiteRig site : sites) {
      authority.issue(site.name, site.name);
    }
    ExecutorService starting = Executors.newFixedThreadPool(sites.size());
    List<Callable<Void>> starts = new ArrayList<>();
    for (SiteRig site : sites) {
      starts.add(
          () -> {
            site.start(sites, between, authority, folder);
            return null;
          });
    }
    for (Future<Void> started : starting.invokeAll(starts)) {
      started.get();
    }
    starting.shutdown();
    for (SiteRig site : sites) {
      while (!site.linked()) {
        Thread.sleep(20);
      }
    }
  }

  /** What one load of the first site came to. */
  private record Phase(long calls, long served, long late, long crossed, double[] ownServed) {
    double servedShare() {
      return (double) served / Math.max(1, calls);
    }

    double crossedShare() {
      return (double) crossed / Math.max(1, calls);
    }
  }

  private List<HttpLoadGenerator> load(SiteRig site, double share) {
    return site.load(clients, share * CAPACITY, DEADLINE_MILLIS, seed += 10, ledger);
  }

  private static List<HttpLoadGenerator> stop(List<HttpLoadGenerator> loads)
      throws InterruptedException {
    for (HttpLoadGenerator load : loads) {
      load.stop();
    }
    return loads;
  }

  /** Loads all sites for a time: the first with so much, each of the others with so much. */
  private Phase phase(double home, double others, long millis) throws Exception {
    SiteRig first = sites.get(0);
    long crossed = first.sum("calls");
    List<List<HttpLoadGenerator>> loads = new ArrayList<>();
    for (SiteRig site : sites) {
      loads.add(load(site, site == first ? home : others));
    }
    Thread.sleep(millis);
    double[] own = new double[loads.size()];
    for (int i = 0; i < own.length; i++) {
      stop(loads.get(i));
      own[i] =
          (double) SiteRig.count(loads.get(i), LoadStats.Result.SERVED)
              / SiteRig.total(loads.get(i));
    }
    return new Phase(
        SiteRig.total(loads.get(0)),
        SiteRig.count(loads.get(0), LoadStats.Result.SERVED),
        SiteRig.count(loads.get(0), LoadStats.Result.LOST),
        first.sum("calls") - crossed,
        own);
  }

  private void play(long unit, int rounds, Figures figures) throws Exception {
    SiteRig first = sites.get(0);
    Figures.progress("warming up");
    phase(1.1, EASY, unit);

    Figures.progress("110%, alone and with the gateway");
    first.alone(true);
    Phase alone = phase(1.1, EASY, unit);
    first.alone(false);
    Phase together;
    long needless;
    try (RoomWatch room = new RoomWatch(first.servers)) {
      AtomicLong count = new AtomicLong();
      watchNeedless(room, count);
      together = phase(1.1, EASY, unit);
      watchNothing();
      needless = count.get();
    }

    Figures.progress("140%, alone and with the gateway");
    first.alone(true);
    Phase aloneMuch = phase(1.4, EASY, unit);
    first.alone(false);
    Phase much = phase(1.4, EASY, unit);

    drop(unit, figures);
    nearFull(unit, rounds, figures);

    SiteOracle oracle =
        new SiteOracle(SERVERS * CORES, SERVERS * QUEUE, WORK_MILLIS, SPREAD, DEADLINE_MILLIS);
    long bounced = 0;
    for (SiteRig site : sites) {
      bounced += site.bounced();
    }
    figures
        .add("overflow_share", four(together.crossedShare()))
        .add("needless_share", four((double) needless / Math.max(1, together.calls())))
        .add("needless_of_crossed", four((double) needless / Math.max(1, together.crossed())))
        .add("bounced", bounced)
        .add("lost", ledger.lostCount())
        .add("double_runs", ledger.duplicateRunCount(GatewayMeasurement::unsafe))
        .add("untrue_answers", ledger.falseResultCount(GatewayMeasurement::unsafe))
        .add("served_alone", four(aloneMuch.servedShare()))
        .add("served_gateway", four(much.servedShare()))
        .add("served_oracle", four(oracle(oracle, 1.4)))
        .add("served_alone_110", four(alone.servedShare()))
        .add("served_gateway_110", four(together.servedShare()))
        .add("served_oracle_110", four(oracle(oracle, 1.1)))
        .add("overflow_share_140", four(much.crossedShare()))
        .add("calls", together.calls() + much.calls());
  }

  private double oracle(SiteOracle oracle, double home) {
    double[] loads = new double[NAMES.size()];
    for (int i = 0; i < loads.length; i++) {
      loads[i] = CAPACITY * (i == 0 ? home : EASY);
    }
    return oracle.served(loads, HOP_MILLIS, 60, seed);
  }

  private static boolean unsafe(String name) {
    return name.startsWith("/api/publish");
  }

  private static double four(double value) {
    return Math.round(value * 10_000) / 10_000.0;
  }

  /** Counts calls that are worked on elsewhere though a server at home had a free core. */
  private void watchNeedless(RoomWatch room, AtomicLong count) {
    String home = Long.toHexString(seed + 10) + '-';
    String second = Long.toHexString(seed + 11) + '-';
    for (SiteRig site : sites.subList(1, sites.size())) {
      site.servers.forEach(
          server ->
              server.onWorkStarted(
                  path -> {
                    ledger.recordRun(path);
                    String id = path.substring(path.indexOf('-') + 1);
                    boolean crossed = id.startsWith(home) || id.startsWith(second);
                    if (crossed && room.hadRoom(System.nanoTime() - SENT_BEFORE_NANOS)) {
                      count.incrementAndGet();
                    }
                  }));
    }
  }

  private void watchNothing() {
    sites.forEach(site -> site.servers.forEach(server -> server.onWorkStarted(ledger::recordRun)));
  }

  /**
   * Under 140% a link of each gateway breaks, one with a reset and one in silence, and is mended.
   */
  private void drop(long unit, Figures figures) throws Exception {
    Figures.progress("links drop and come back");
    SiteRig first = sites.get(0);
    List<List<HttpLoadGenerator>> loads = new ArrayList<>();
    for (SiteRig site : sites) {
      loads.add(load(site, site == first ? 1.4 : EASY));
    }
    Thread.sleep(unit / 2);
    List<DelayProxy> reset = all(first, 0);
    List<DelayProxy> silent = all(first, 1);
    long crossedBefore = first.sum("served");
    Thread.sleep(500);
    double rate = (first.sum("served") - crossedBefore) / 0.5;
    long lateBefore = SiteRig.count(loads.get(0), LoadStats.Result.LOST);
    long crossed = first.sum("calls");
    reset.forEach(line -> line.setCut(true));
    silent.forEach(line -> line.setMuted(true, true));
    Thread.sleep(unit / 2);
    reset.forEach(line -> line.setCut(false));
    silent.forEach(line -> line.setMuted(false, false));
    long mended = System.nanoTime();
    double recovery = -1;
    long servedBefore = first.sum("served");
    long at = mended;
    while (recovery < 0 && System.nanoTime() - mended < 15_000_000_000L) {
      Thread.sleep(250);
      long now = System.nanoTime();
      long served = first.sum("served");
      double reached = (served - servedBefore) / ((now - at) / 1e9);
      recovery = reached >= 0.9 * rate ? (now - mended) / 1e9 : -1;
      servedBefore = served;
      at = now;
    }
    Thread.sleep(500);
    for (List<HttpLoadGenerator> each : loads) {
      stop(each);
    }
    long late = SiteRig.count(loads.get(0), LoadStats.Result.LOST) - lateBefore;
    long out = first.sum("calls") - crossed;
    figures
        .add("link_drop_late_share", four((double) late / Math.max(1, out)))
        .rounded("recovery_s", recovery)
        .add("link_drop_calls", out);
  }

  /** The ways of one gateway of a site to all others. */
  private static List<DelayProxy> all(SiteRig site, int gateway) {
    return site.ways.get(gateway).values().stream().flatMap(List::stream).toList();
  }

  /** The others have hardly any room: whether they serve less of their own for the first. */
  private void nearFull(long unit, int rounds, Figures figures) throws Exception {
    SiteRig first = sites.get(0);
    Rounds alone = new Rounds(NAMES.size());
    Rounds together = new Rounds(NAMES.size());
    Rounds change = new Rounds(NAMES.size());
    long crossed = 0;
    long calls = 0;
    for (int round = 0; round < rounds; round++) { // In turn, as a machine's speed drifts.
      Figures.progress("the other sites near full, alone and with the gateway");
      first.alone(true);
      double[] without = phase(1.4, NEAR_FULL, unit).ownServed();
      first.alone(false);
      Phase phase = phase(1.4, NEAR_FULL, unit);
      alone.add(without);
      together.add(phase.ownServed());
      change.addDifference(phase.ownServed(), without);
      crossed += phase.crossed();
      calls += phase.calls();
    }
    int worst = change.least();
    figures
        .add("near_full_own_alone", others(alone))
        .add("near_full_own_gateway", others(together))
        .add("near_full_worst_change", four(change.mean(worst)))
        .add("near_full_worst_error", four(change.error(worst)))
        .add("near_full_sites_worse", change.below(-CERTAIN_ERRORS))
        .add("near_full_home_alone", four(alone.mean(0)))
        .add("near_full_home_gateway", four(together.mean(0)))
        .add("near_full_overflow_share", four((double) crossed / Math.max(1, calls)))
        .add("near_full_rounds", rounds)
        .add("near_full_calls_of_a_site", Math.round(NEAR_FULL * CAPACITY * unit / 1000 * rounds));
  }

  /** Of the sites but the first. */
  private static double others(Rounds shares) {
    double sum = 0;
    for (int i = 1; i < NAMES.size(); i++) {
      sum += shares.mean(i);
    }
    return four(sum / (NAMES.size() - 1));
  }
}
