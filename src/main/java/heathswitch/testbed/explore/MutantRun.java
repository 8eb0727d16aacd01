package heathswitch.testbed.explore;

import heathswitch.testbed.mutants.Mutant;
import heathswitch.testbed.mutants.MutantLoader;
import java.lang.reflect.Method;
import java.util.List;

/** Runs the explorer on a copy of the program with a fault injected into one class. */
final class MutantRun {
  private final MutantLoader copies =
      MutantLoader.forThisProgram(
          List.of(
              "heathswitch.policy.",
              "heathswitch.proxy.dispatch.",
              "heathswitch.proxy.spi.",
              "heathswitch.testbed.explore."));

  /**
   * The length of the shortest sequence that detects the fault, or -1 if none up to the given depth
   * does.
   */
  int shortestDetection(Mutant mutant, int depth) throws Exception {
    for (int steps = 1; steps <= depth; steps++) {
      Class<?> type = copies.load(mutant, MutantRun.class.getName());
      Method violates = type.getDeclaredMethod("violatesInvariant", int.class);
      violates.setAccessible(true); // A different loader means a different package.
      if ((boolean) violates.invoke(null, steps)) {
        return steps;
      }
    }
    return -1;
  }

  /** Called by reflection in the class loader of the copy. */
  static boolean violatesInvariant(int depth) {
    return !new Explorer(depth, true).run().counterexamples().isEmpty();
  }
}
