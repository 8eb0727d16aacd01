package heathswitch.testbed.subsetting;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import heathswitch.testbed.mutants.Mutant;
import heathswitch.testbed.mutants.MutantTrials;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Runs simulated fleets under many random schedules of faults, in virtual time. */
class SubsetExplorerTest {
  @Test
  void schedulesYieldNoViolationAndSettleEvenly() {
    SubsetExplorer.Result result = SubsetExplorer.runSchedules(1, 300);
    assertNull(result.finding(), () -> String.valueOf(result.finding()));
    assertTrue(result.worstSpread() < 1.1, "spread " + result.worstSpread());
  }

  /** Seeds that once yielded a violation, found among many thousands. */
  @Test
  void seedsOfFormerFindingsYieldNoViolation() {
    for (long seed : new long[] {1209}) {
      assertNull(SubsetExplorer.runSchedule(seed).finding(), () -> "seed " + seed);
    }
  }

  /** Checks the checker: every mutant is detected, and a change without effect is not. */
  @Test
  void everyMutantIsDetected() {
    MutantTrials trials = SubsetMutants.trials();
    assertEquals(List.of(), trials.undetected(SubsetMutants.ALL));
    Mutant equivalent =
        new Mutant(
            "heathswitch.policy.subsetting.SubsetPlan",
            "int usersPerServer = usersPerServer(sizing);",
            "int usersPerServer = (usersPerServer(sizing));");
    assertFalse(trials.isDetected(equivalent, 100, 1));
  }
}
