package heathswitch.testbed.maintenance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import heathswitch.testbed.mutants.Mutant;
import heathswitch.testbed.mutants.MutantTrials;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * The invariants of maintenance orders hold under random schedules of faults and under every
 * sequence of a few events.
 */
class WorkExplorerTest {
  @Test
  void randomFaultSchedulesViolateNoInvariant() {
    WorkExplorer.Result result = WorkExplorer.randomSchedules(1, 3000, 200);
    assertNull(result.violation(), () -> WorkExplorer.shorten(result.violation()).toString());
    assertTrue(result.schedules() >= 3000);
  }

  @Test
  void sequencesOfThreeEventsViolateNoInvariant() {
    WorkExplorer.Result result = WorkExplorer.eventSequences(3);
    assertNull(result.violation(), () -> WorkExplorer.shorten(result.violation()).toString());
    assertTrue(result.schedules() > 10_000);
  }

  /**
   * Checks the explorer itself: it detects every mutant, and reports nothing for a copy without a
   * fault.
   */
  @Test
  void explorerDetectsEveryMutant() {
    MutantTrials mutants = WorkMutants.trials();
    assertEquals(List.of(), mutants.undetected(WorkMutants.ALL));
    Mutant equivalent =
        new Mutant(
            "heathswitch.policy.maintenance.Order",
            "private int waiting;",
            "private int waiting ;");
    assertFalse(mutants.isDetected(equivalent, 1000, 2));
  }
}
