package heathswitch.testbed.mutants;

import java.io.IOException;
import java.lang.reflect.Method;
import java.util.List;

/**
 * Checks whether schedules detect mutants. The class that runs the schedules has a static method
 * {@code boolean detectsFault(long schedules, int depth)}, which is called in the class loader of
 * the mutant.
 */
public final class MutantTrials {
  private final MutantLoader loader;
  private final String detector;

  /**
   * Creates trials for mutants of classes in some packages.
   *
   * @param reloadedPrefixes prefixes of the names of classes that are loaded again for each mutant
   * @param detector the class that runs the schedules; one of these
   */
  public MutantTrials(List<String> reloadedPrefixes, Class<?> detector) {
    loader = MutantLoader.forThisProgram(reloadedPrefixes);
    this.detector = detector.getName();
  }

  /**
   * The mutants that are not detected. Most are detected by few schedules; some need a rare
   * sequence of events.
   */
  public List<Mutant> undetected(List<Mutant> mutants) {
    return mutants.parallelStream()
        .filter(
            mutant ->
                !isDetected(mutant, 1000, 1)
                    && !isDetected(mutant, 4000, 2)
                    && !isDetected(mutant, 20_000, 1))
        .toList();
  }

  /**
   * Whether the mutant is detected.
   *
   * @param schedules number of random schedules to run
   * @param depth number of events of which all orders are tried, for checkers that do so; others
   *     multiply the schedules by it
   */
  public boolean isDetected(Mutant mutant, long schedules, int depth) {
    try {
      Class<?> type = loader.load(mutant, detector);
      Method method = type.getDeclaredMethod("detectsFault", long.class, int.class);
      method.setAccessible(true); // A different loader means a different package.
      return (boolean) method.invoke(null, schedules, depth);
    } catch (IOException | ReflectiveOperationException e) {
      throw new IllegalStateException("cannot test the mutant: " + mutant, e);
    }
  }
}
