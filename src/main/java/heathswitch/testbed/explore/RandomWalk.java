package heathswitch.testbed.explore;

import heathswitch.policy.api.RequestClass.Effect;
import heathswitch.policy.api.RequestProtocol;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

/** Long random orders in larger worlds, each told by its seed alone. */
public final class RandomWalk {
  private static final Effect[] EFFECTS = Effect.values();
  private static final RequestProtocol[] FORMS = RequestProtocol.values();

  private RandomWalk() {}

  /** Walks so many steps, comes to rest, and returns the first broken property's order or null. */
  public static Explorer.Counterexample walk(long seed, int steps) {
    SplittableRandom random = new SplittableRandom(seed);
    DispatchHarness.Config config =
        new DispatchHarness.Config(
            EFFECTS[random.nextInt(EFFECTS.length)],
            EFFECTS[random.nextInt(EFFECTS.length)],
            FORMS[random.nextInt(FORMS.length)],
            3 + random.nextInt(7),
            random.nextInt(2),
            random.nextInt(4) > 0,
            random.nextInt(3) == 0);
    DispatchHarness harness = new DispatchHarness(config);
    List<Step> played = new ArrayList<>();
    Step[] all = Step.values();
    for (int i = 0; i < steps && harness.violated().isEmpty(); i++) {
      Step step = all[random.nextInt(all.length)];
      // Each would rule the rest of the walk, and short orders have them.
      boolean rare = step == Step.DESCRIPTOR_SHORTAGE || step == Step.FAIL_SYNCHRONOUSLY;
      if (harness.enabled(step) && (!rare || random.nextInt(200) == 0)) {
        harness.play(step);
        played.add(step);
      }
    }
    Set<Invariant> violated = harness.runToRest();
    if (violated.isEmpty()) {
      return null;
    }
    Invariant first = violated.iterator().next();
    return new Explorer.Counterexample(
        first,
        config,
        Explorer.shrink(played, order -> Explorer.play(config, order).contains(first)));
  }
}
