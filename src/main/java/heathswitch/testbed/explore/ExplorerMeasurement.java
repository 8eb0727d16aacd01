package heathswitch.testbed.explore;

import heathswitch.testbed.measure.Figures;
import heathswitch.testbed.measure.Measurement;
import heathswitch.testbed.mutants.Mutant;

/**
 * Explores all sequences of events in small configurations, and checks by mutation testing whether
 * injected faults are detected.
 */
public final class ExplorerMeasurement implements Measurement {
  private static final int MUTANT_DEPTH = 4;

  @Override
  public Figures run(boolean brief) throws Exception {
    int depth = brief ? 4 : 6;
    Figures.progress(
        "all sequences of "
            + depth
            + " events in "
            + Explorer.configs().size()
            + " configurations");
    long startNanos = System.nanoTime();
    Explorer explorer = new Explorer(depth, false).run();
    double seconds = (System.nanoTime() - startNanos) / 1e9;
    explorer.counterexamples().forEach(each -> Figures.progress(each.toString()));
    MutantRun mutants = new MutantRun();
    int detected = 0;
    for (Mutant mutant : Mutants.ALL) {
      int steps = mutants.shortestDetection(mutant, MUTANT_DEPTH);
      detected += steps > 0 ? 1 : 0;
      Figures.progress(
          (steps > 0 ? "detected by " + steps + " steps" : "NOT DETECTED") + ": " + mutant);
    }
    return new Figures()
        .add("depth", depth)
        .add("worlds", Explorer.configs().size())
        .add("states", explorer.states())
        .add("transitions", explorer.transitions())
        .add("violations", explorer.counterexamples().size())
        .add("mutants", Mutants.ALL.size())
        .add("mutants_found", detected)
        .rounded("states_per_s", explorer.states() / seconds);
  }
}
