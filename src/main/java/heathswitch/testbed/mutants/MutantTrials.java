package heathswitch.testbed.mutants;

import java.io.IOException;
import java.lang.reflect.Method;
import java.util.List;

/**
 * Whether schedules find the faults that are put into copies. A class of the rig says so by a
 * static method {@code boolean shows(long schedules, int depth)}, which is called in the loader of
 * the copy.
 */
public final class MutantTrials {
  private final MutantLoader copies;
  private final String shows;

  /**
   * MutantTrials of faults in some packages.
   *
   * @param again what has to meet the copy, by how names of classes begin
   * @param shows the class that says whether a fault shows; among them
   */
  public MutantTrials(List<String> again, Class<?> shows) {
    copies = MutantLoader.forThisProgram(again);
    this.shows = shows.getName();
  }

  /** Those that nothing shows; some take a rare run of events, most show at once. */
  public List<Mutant> undetected(List<Mutant> mutants) {
    return mutants.parallelStream()
        .filter(
            mutant ->
                !isDetected(mutant, 1000, 1)
                    && !isDetected(mutant, 4000, 2)
                    && !isDetected(mutant, 20_000, 1))
        .toList();
  }

  /** Whether so many schedules, or the orders of so many events, show the fault. */
  public boolean isDetected(Mutant mutant, long schedules, int depth) {
    try {
      Class<?> type = copies.load(mutant, shows);
      Method asked = type.getDeclaredMethod("shows", long.class, int.class);
      asked.setAccessible(true); // Another loader makes it another package.
      return (boolean) asked.invoke(null, schedules, depth);
    } catch (IOException | ReflectiveOperationException e) {
      throw new IllegalStateException("cannot be tried: " + mutant, e);
    }
  }
}
