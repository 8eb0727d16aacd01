package heathswitch.testbed.subsetting;

import heathswitch.policy.subsetting.SubsetSizing;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.LongStream;

/**
 * Runs random schedules of changes and faults in simulated fleets, each reproducible by its seed,
 * and checks what must hold in all of them.
 */
final class SubsetExplorer {
  private static final int FAULTS_PER_SCHEDULE = 16;

  private SubsetExplorer() {}

  /** A violation, and the changes and faults of its schedule. */
  record Finding(long seed, String violation, List<String> faults) {}

  /** A finding or null, and the highest spread of all fleets after they have settled. */
  record Result(Finding finding, double worstSpread) {}

  /** Runs schedules with consecutive seeds on all cores until one yields a finding. */
  static Result runSchedules(long firstSeed, long schedules) {
    AtomicReference<Finding> found = new AtomicReference<>();
    double worst =
        LongStream.range(firstSeed, firstSeed + schedules)
            .parallel()
            .mapToDouble(
                seed -> {
                  if (found.get() != null) {
                    return 0;
                  }
                  Result result = runSchedule(seed);
                  if (result.finding() != null) {
                    found.compareAndSet(null, result.finding());
                  }
                  return result.worstSpread();
                })
            .max()
            .orElse(0);
    return new Result(found.get(), worst);
  }

  /** Runs one schedule. */
  static Result runSchedule(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    List<String> faults = new ArrayList<>();
    int zones = random.nextInt(3) == 0 ? 2 : 1;
    FleetSimulation fleet =
        new FleetSimulation(
            2 + random.nextInt(8),
            6 + random.nextInt(20),
            zones,
            new SubsetSizing(2 + random.nextInt(6), 2, 2),
            random.nextLong());
    fleet.advance(random.nextLong(20_000 * FleetSimulation.MILLI));
    for (int i = 0; i < FAULTS_PER_SCHEDULE && fleet.violation() == null; i++) {
      faults.add(fleet.nowMillis() + " ms " + fleet.injectFault());
      fleet.advance(random.nextLong(4000 * FleetSimulation.MILLI));
    }
    faults.add(fleet.nowMillis() + " ms all faults end");
    fleet.heal();
    fleet.advance(FleetSimulation.CONVERGENCE_NANOS);
    String violation = fleet.violation() != null ? fleet.violation() : fleet.settledViolation();
    if (violation != null) {
      return new Result(new Finding(seed, violation, faults), 0);
    }
    Map<String, Map<String, Double>> settled = fleet.shares();
    fleet.advance(5000 * FleetSimulation.MILLI);
    if (!settled.equals(fleet.shares())) {
      return new Result(
          new Finding(seed, "shares change without a change of the fleet", faults), 0);
    }
    return new Result(null, fleet.loadsArePlausible() ? fleet.spread() : 0);
  }
}
