package heathswitch.testbed.mutants;

import java.io.IOException;
import java.lang.reflect.Method;
import java.util.List;

/**
 * Whether schedules find the faults that are put into copies. A class of the rig says so by a
 * static method {@code boolean shows(long schedules, int depth)}, which is called in the loader of
 * the copy.
 */
public final class Trials {
  private final Copies copies;
  private final String shows;

  /**
   * Trials of faults in some packages.
   *
   * @param again what has to meet the copy, by how names of classes begin
   * @param shows the class that says whether a fault shows; among them
   */
  public Trials(List<String> again, Class<?> shows) {
    copies = Copies.ofThisProgram(again);
    this.shows = shows.getName();
  }

  /** Those that nothing shows; some take a rare run of events, most show at once. */
  public List<Mutant> unseen(List<Mutant> mutants) {
    return mutants.parallelStream()
        .filter(
            mutant ->
                !found(mutant, 1000, 1) && !found(mutant, 4000, 2) && !found(mutant, 20_000, 1))
        .toList();
  }

  /** Whether so many schedules, or the orders of so many events, show the fault. */
  public boolean found(Mutant mutant, long schedules, int depth) {
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
