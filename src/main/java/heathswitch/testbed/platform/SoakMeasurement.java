package heathswitch.testbed.platform;

import heathswitch.testbed.measure.Figures;
import heathswitch.testbed.measure.Measurement;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * The soak over a row of seeds, some side by side. What broke a rule is printed with its schedule;
 * a seed alone is played by {@code -Dsoak.first=N -Dsoak.seeds=1}.
 */
public final class SoakMeasurement implements Measurement {
  private static final int SEEDS = 50;
  private static final int SHORT_SEEDS = 4;
  private static final int SIDE_BY_SIDE = 4;

  @Override
  public Figures run(boolean brief) throws Exception {
    long first = Long.getLong("soak.first", 1);
    int seeds = Integer.getInteger("soak.seeds", brief ? SHORT_SEEDS : SEEDS);
    ExecutorService side = Executors.newFixedThreadPool(SIDE_BY_SIDE);
    List<Future<SoakRun.Result>> results = new ArrayList<>();
    for (long seed = first; seed < first + seeds; seed++) {
      long played = seed;
      results.add(side.submit(() -> SoakRun.run(played)));
    }
    try {
      return figures(results);
    } finally {
      side.shutdownNow();
    }
  }

  private static Figures figures(List<Future<SoakRun.Result>> results) throws Exception {
    long broken = 0;
    long sent = 0;
    long served = 0;
    long refused = 0;
    long failed = 0;
    long unreached = 0;
    long slowest = 0;
    for (Future<SoakRun.Result> each : results) {
      SoakRun.Result result = each.get();
      if (!result.violations().isEmpty()) {
        broken++;
        Figures.progress("seed " + result.seed() + " broke " + result.violations());
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
    figures.add("seeds_broken", broken);
    figures.add("requests", sent);
    figures.add("served", served);
    figures.add("refused", refused);
    figures.add("failed", failed);
    figures.add("unreached", unreached);
    figures.add("slowest_start_ms", slowest);
    return figures;
  }
}
