package heathswitch.testbed.explore;

import heathswitch.testbed.measure.Figures;
import heathswitch.testbed.measure.Measurement;
import heathswitch.testbed.mutants.Mutant;

/** Every order of events in small worlds, and whether faults that are put in are found. */
public final class ExplorerMeasurement implements Measurement {
  private static final int MUTANT_DEPTH = 4;

  @Override
  public Figures run(boolean brief) throws Exception {
    int depth = brief ? 4 : 6;
    Figures.progress(
        "every order of " + depth + " events in " + Explorer.configs().size() + " worlds");
    long since = System.nanoTime();
    Explorer explorer = new Explorer(depth, false).run();
    double seconds = (System.nanoTime() - since) / 1e9;
    explorer.counterexamples().forEach(finding -> Figures.progress(finding.toString()));
    MutantRun mutants = new MutantRun();
    int found = 0;
    for (Mutant mutant : Mutants.ALL) {
      int steps = mutants.shortestDetection(mutant, MUTANT_DEPTH);
      found += steps > 0 ? 1 : 0;
      Figures.progress((steps > 0 ? "found by " + steps : "NOT FOUND") + ": " + mutant);
    }
    return new Figures()
        .add("depth", depth)
        .add("worlds", Explorer.configs().size())
        .add("states", explorer.states())
        .add("transitions", explorer.transitions())
        .add("violations", explorer.counterexamples().size())
        .add("mutants", Mutants.ALL.size())
        .add("mutants_found", found)
        .rounded("states_per_s", explorer.states() / seconds);
  }
}
