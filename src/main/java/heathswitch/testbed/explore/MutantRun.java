package heathswitch.testbed.explore;

import heathswitch.testbed.mutants.Mutant;
import heathswitch.testbed.mutants.MutantLoader;
import java.lang.reflect.Method;
import java.util.List;

/** Explores the worlds with a fault put into a copy of a class. */
final class MutantRun {
  private final MutantLoader copies =
      MutantLoader.forThisProgram(
          List.of(
              "heathswitch.policy.",
              "heathswitch.proxy.dispatch.",
              "heathswitch.proxy.spi.",
              "heathswitch.testbed.explore."));

  /** Steps of the shortest order that shows the fault, or -1 if none of so many steps does. */
  int shortestDetection(Mutant mutant, int depth) throws Exception {
    for (int steps = 1; steps <= depth; steps++) {
      Class<?> type = copies.load(mutant, MutantRun.class.getName());
      Method shows = type.getDeclaredMethod("shows", int.class);
      shows.setAccessible(true); // Another loader makes it another package.
      if ((boolean) shows.invoke(null, steps)) {
        return steps;
      }
    }
    return -1;
  }

  /** Called in the loader of the copy. */
  static boolean violatesInvariant(int depth) {
    return !new Explorer(depth, true).run().counterexamples().isEmpty();
  }
}
