package heathswitch.testbed.subsetting;

import heathswitch.policy.subsetting.SubsetSizing;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.LongStream;

/** Many schedules of changes and faults, each by a seed, and what has to hold in each of them. */
final class SubsetExplorer {
  private static final int STEPS = 16;

  private SubsetExplorer() {}

  /** What did not hold, after which faults. */
  record Finding(long seed, String what, List<String> faults) {}

  /** The first finding or null, and the worst spread of all that came to rest. */
  record Played(Finding finding, double spreadWorst) {}

  /** So many schedules on all cores. */
  static Played random(long from, long schedules) {
    AtomicReference<Finding> found = new AtomicReference<>();
    double worst =
        LongStream.range(from, from + schedules)
            .parallel()
            .mapToDouble(
                seed -> {
                  if (found.get() != null) {
                    return 0;
                  }
                  Played played = play(seed);
                  if (played.finding() != null) {
                    found.compareAndSet(null, played.finding());
                  }
                  return played.spreadWorst();
                })
            .max()
            .orElse(0);
    return new Played(found.get(), worst);
  }

  /** One schedule. */
  static Played play(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    List<String> faults = new ArrayList<>();
    int zones = random.nextInt(3) == 0 ? 2 : 1;
    FleetSimulation world =
        new FleetSimulation(
            2 + random.nextInt(8),
            6 + random.nextInt(20),
            zones,
            new SubsetSizing(2 + random.nextInt(6), 2, 2),
            random.nextLong());
    world.pass(random.nextLong(20_000 * FleetSimulation.MILLI));
    for (int i = 0; i < STEPS && world.broken() == null; i++) {
      faults.add(world.nowMillis() + " ms " + world.fault());
      world.pass(random.nextLong(4000 * FleetSimulation.MILLI));
    }
    faults.add(world.nowMillis() + " ms well");
    world.heal();
    world.pass(FleetSimulation.CALM_NANOS);
    String what = world.broken() != null ? world.broken() : world.unsettled();
    if (what != null) {
      return new Played(new Finding(seed, what, faults), 0);
    }
    Map<String, Map<String, Double>> settled = world.uses();
    world.pass(5000 * FleetSimulation.MILLI);
    if (!settled.equals(world.uses())) {
      return new Played(new Finding(seed, "it swings though nothing happens", faults), 0);
    }
    return new Played(null, world.believed() ? world.spread() : 0);
  }
}
