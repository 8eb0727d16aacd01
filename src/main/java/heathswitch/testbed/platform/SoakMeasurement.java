package heathswitch.testbed.platform;

import heathswitch.testbed.measure.Figures;
import heathswitch.testbed.measure.Measurement;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * Runs the soak test for consecutive seeds, several at a time. Violations are printed with the
 * scenario's faults; {@code -Dsoak.first=N -Dsoak.seeds=1} repeats a single seed.
 */
public final class SoakMeasurement implements Measurement {
  private static final int SEEDS = 50;
  private static final int SHORT_SEEDS = 4;
  private static final int PARALLEL_RUNS = 4;

  @Override
  public Figures run(boolean brief) throws Exception {
    long first = Long.getLong("soak.first", 1);
    int seeds = Integer.getInteger("soak.seeds", brief ? SHORT_SEEDS : SEEDS);
    ExecutorService executor = Executors.newFixedThreadPool(PARALLEL_RUNS);
    List<Future<SoakRun.Result>> results = new ArrayList<>();
    for (long seed = first; seed < first + seeds; seed++) {
      long current = seed;
      results.add(executor.submit(() -> SoakRun.run(current)));
    }
    try {
      return figures(results);
    } finally {
      executor.shutdownNow();
    }
  }

  private static Figures figures(List<Future<SoakRun.Result>> results) throws Exception {
    long seedsWithViolations = 0;
    long sent = 0;
    long served = 0;
    long refused = 0;
    long failed = 0;
    long unreached = 0;
    long slowest = 0;
    for (Future<SoakRun.Result> each : results) {
      SoakRun.Result result = each.get();
      if (!result.violations().isEmpty()) {
        seedsWithViolations++;
        Figures.progress("seed " + result.seed() + " violations: " + result.violations());
        result.faults().forEach(fault -> Figures.progress("  " + fault));
      }
      sent += result.counts().sent();
      served += result.counts().served();
      refused += result.counts().refused();
      failed += result.counts().failed();
      unreached += result.counts().unreached();
      slowest = Math.max(slowest, result.slowestStartMillis());
    }
    Figures figures = new Figures();
    figures.add("seeds", results.size());
    figures.add("seeds_broken", seedsWithViolations);
    figures.add("requests", sent);
    figures.add("served", served);
    figures.add("refused", refused);
    figures.add("failed", failed);
    figures.add("unreached", unreached);
    figures.add("slowest_start_ms", slowest);
    return figures;
  }
}
