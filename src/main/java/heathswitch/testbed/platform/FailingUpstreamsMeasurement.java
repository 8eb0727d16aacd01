package heathswitch.testbed.platform;

import heathswitch.testbed.client.HttpLoadGenerator;
import heathswitch.testbed.client.LoadStats;
import heathswitch.testbed.measure.Figures;
import heathswitch.testbed.measure.Measurement;
import heathswitch.testbed.server.ServerProfile;
import heathswitch.testbed.server.ServiceTime;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * Measures one balancer process under a steady load, first with sound upstreams and then with
 * upstreams that reset a share of their requests: what is served, latencies, CPU time, memory and
 * descriptors. {@code -Dsoak.program=CLASS_PATH} measures another build.
 */
public final class FailingUpstreamsMeasurement implements Measurement {
  private static final double[] RESET_SHARES = {0, 0.05, 0.2};
  private static final int UPSTREAMS = 8;
  private static final double REQUESTS_PER_SECOND = 300;
  private static final long DEADLINE_MILLIS = 2000;
  private static final ServiceTime SERVICE_TIME = ServiceTime.exponential(10);
  private static final ServerProfile PROFILE = ServerProfile.alwaysWarm(8, 32, SERVICE_TIME);
  private static final int SOCKETS = 512;
  private static final long SEED = 1;
  private static final long PHASE_MILLIS = 20_000;
  private static final long SHORT_PHASE_MILLIS = 8_000;
  private static final long SAMPLE_MILLIS = 100;

  @Override
  public Figures run(boolean brief) throws Exception {
    Figures figures = new Figures();
    for (double share : RESET_SHARES) {
      Figures.progress("share of requests that are reset: " + share);
      measure(figures, share, brief ? SHORT_PHASE_MILLIS : PHASE_MILLIS);
    }
    return figures;
  }

  /** Measures a new process; each figure's name begins with the share in percent. */
  private static void measure(Figures figures, double resetShare, long millis) throws Exception {
    PlatformSettings settings = new PlatformSettings(DEADLINE_MILLIS, 2000, SOCKETS, false);
    try (PlatformFleet fleet = new PlatformFleet(SEED, settings, PROFILE)) {
      for (int i = 0; i < UPSTREAMS; i++) {
        String id = fleet.addServer(false);
        fleet.server(id).faults().resetShare(resetShare);
      }
      fleet.startBalancers(1);
      PlatformBalancer balancer = fleet.balancers().get(0);
      HttpLoadGenerator load = fleet.startLoad(balancer, REQUESTS_PER_SECOND);
      int descriptors = awaitMaxDescriptors(balancer, millis);
      load.stop();
      String prefix = "reset_" + Math.round(resetShare * 100) + "_percent_";
      addOutcomes(figures, prefix, load.stats());
      long requests = Math.max(1, load.stats().total());
      figures.add(prefix + "cpu_us_per_request", balancer.cpuMicros() / requests);
      figures.add(prefix + "peak_memory_mb", balancer.peakMemoryMegabytes());
      figures.add(prefix + "max_descriptors", descriptors);
    }
  }

  /** Samples the number of open descriptors for this time and returns the largest. */
  private static int awaitMaxDescriptors(PlatformBalancer balancer, long millis) throws Exception {
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    int max = 0;
    while (System.nanoTime() < until) {
      max = Math.max(max, balancer.openDescriptors());
      Thread.sleep(SAMPLE_MILLIS);
    }
    return max;
  }

  private static void addOutcomes(Figures figures, String prefix, LoadStats stats) {
    for (LoadStats.Result result : LoadStats.Result.values()) {
      figures.add(prefix + result.name().toLowerCase(), stats.count(result));
    }
    Histogram latencies = stats.takeLatencies();
    figures.rounded(prefix + "p50_ms", latencies.getValueAtPercentile(50) / 1000.0);
    figures.rounded(prefix + "p99_ms", latencies.getValueAtPercentile(99) / 1000.0);
  }
}
