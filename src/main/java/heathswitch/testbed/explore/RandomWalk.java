package heathswitch.testbed.explore;

import heathswitch.policy.api.RequestClass.Effect;
import heathswitch.policy.api.RequestProtocol;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

/** Plays long random sequences with more servers, each determined by its seed alone. */
public final class RandomWalk {
  private static final Effect[] EFFECTS = Effect.values();
  private static final RequestProtocol[] PROTOCOLS = RequestProtocol.values();

  private RandomWalk() {}

  /**
   * Plays a random sequence of at most this many steps and runs it to rest. Returns the minimized
   * sequence for the first violated invariant, or null if none is violated.
   */
  public static Explorer.Counterexample walk(long seed, int maxSteps) {
    SplittableRandom random = new SplittableRandom(seed);
    DispatchHarness.Config config =
        new DispatchHarness.Config(
            EFFECTS[random.nextInt(EFFECTS.length)],
            EFFECTS[random.nextInt(EFFECTS.length)],
            PROTOCOLS[random.nextInt(PROTOCOLS.length)],
            3 + random.nextInt(7),
            random.nextInt(2),
            random.nextInt(4) > 0,
            random.nextInt(3) == 0);
    DispatchHarness harness = new DispatchHarness(config);
    List<Step> path = new ArrayList<>();
    Step[] allSteps = Step.values();
    for (int i = 0; i < maxSteps && harness.violations().isEmpty(); i++) {
      Step step = allSteps[random.nextInt(allSteps.length)];
      // Their effect lasts for the rest of the walk; the exhaustive search covers them.
      boolean persistent = step == Step.DESCRIPTOR_SHORTAGE || step == Step.FAIL_SYNCHRONOUSLY;
      if (harness.enabled(step) && (!persistent || random.nextInt(200) == 0)) {
        harness.play(step);
        path.add(step);
      }
    }
    Set<Invariant> violations = harness.runToRest();
    if (violations.isEmpty()) {
      return null;
    }
    Invariant first = violations.iterator().next();
    return new Explorer.Counterexample(
        first,
        config,
        Explorer.shrink(path, steps -> Explorer.play(config, steps).contains(first)));
  }
}
