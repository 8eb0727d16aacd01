package heathswitch.testbed.explore;

import heathswitch.policy.api.RequestClass.Effect;
import heathswitch.policy.api.RequestProtocol;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

/** Long random orders in larger worlds, each told by its seed alone. */
public final class Walks {
  private static final Effect[] EFFECTS = Effect.values();
  private static final RequestProtocol[] FORMS = RequestProtocol.values();

  private Walks() {}

  /** Walks so many steps, comes to rest, and returns the first broken property's order or null. */
  public static Explorer.Finding walk(long seed, int steps) {
    SplittableRandom random = new SplittableRandom(seed);
    World.Setup setup =
        new World.Setup(
            EFFECTS[random.nextInt(EFFECTS.length)],
            EFFECTS[random.nextInt(EFFECTS.length)],
            FORMS[random.nextInt(FORMS.length)],
            3 + random.nextInt(7),
            random.nextInt(2),
            random.nextInt(4) > 0,
            random.nextInt(3) == 0);
    World world = new World(setup);
    List<Step> played = new ArrayList<>();
    Step[] all = Step.values();
    for (int i = 0; i < steps && world.broken().isEmpty(); i++) {
      Step step = all[random.nextInt(all.length)];
      // Each would rule the rest of the walk, and short orders have them.
      boolean rare = step == Step.SHORTAGE || step == Step.FAILS_AT_ONCE;
      if (world.enabled(step) && (!rare || random.nextInt(200) == 0)) {
        world.play(step);
        played.add(step);
      }
    }
    Set<Property> broken = world.rest();
    if (broken.isEmpty()) {
      return null;
    }
    Property first = broken.iterator().next();
    return new Explorer.Finding(
        first,
        setup,
        Explorer.shrink(played, order -> Explorer.play(setup, order).contains(first)));
  }
}
