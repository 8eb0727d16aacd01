package heathswitch.testbed.subsetting;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import heathswitch.testbed.mutants.Mutant;
import heathswitch.testbed.mutants.MutantTrials;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Fleets that share servers, under many schedules in virtual time. */
class SubsetExplorerTest {
  @Test
  void nothingIsBrokenAndAllComesToRest() {
    SubsetExplorer.Played played = SubsetExplorer.random(1, 300);
    assertNull(played.finding(), () -> String.valueOf(played.finding()));
    assertTrue(played.spreadWorst() < 1.1, "spread " + played.spreadWorst());
  }

  /** Schedules that were found to break something, among many thousands. */
  @Test
  void whatWasFoundOnceHolds() {
    for (long seed : new long[] {1209}) {
      assertNull(SubsetExplorer.play(seed).finding(), () -> "seed " + seed);
    }
  }

  /** The checker itself: faults put into copies are found, a copy without one is not. */
  @Test
  void everyFaultIsFound() {
    MutantTrials trials = SubsetMutants.trials();
    assertEquals(List.of(), trials.undetected(SubsetMutants.ALL));
    Mutant none =
        new Mutant(
            "heathswitch.policy.subsetting.SubsetPlan",
            "int wanted = users(rule);",
            "int wanted = (users(rule));");
    assertFalse(trials.isDetected(none, 100, 1));
  }
}
