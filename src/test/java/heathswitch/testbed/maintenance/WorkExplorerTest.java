package heathswitch.testbed.maintenance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import heathswitch.testbed.mutants.Mutant;
import heathswitch.testbed.mutants.MutantTrials;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What is settled of work orders, under schedules of faults and every order of a few events. */
class WorkExplorerTest {
  @Test
  void noScheduleOfFaultsBreaksAProperty() {
    WorkExplorer.Result played = WorkExplorer.randomSchedules(1, 3000, 200);
    assertNull(played.violation(), () -> WorkExplorer.shorten(played.violation()).toString());
    assertTrue(played.schedules() >= 3000);
  }

  @Test
  void noOrderOfThreeEventsBreaksAProperty() {
    WorkExplorer.Result played = WorkExplorer.eventSequences(3);
    assertNull(played.violation(), () -> WorkExplorer.shorten(played.violation()).toString());
    assertTrue(played.schedules() > 10_000);
  }

  /** The checker itself: faults put into copies are found, a copy without one is not. */
  @Test
  void everyFaultIsFound() {
    MutantTrials mutants = WorkMutants.trials();
    assertEquals(List.of(), mutants.undetected(WorkMutants.ALL));
    Mutant none =
        new Mutant(
            "heathswitch.policy.maintenance.Order",
            "private int waiting;",
            "private int waiting ;");
    assertFalse(mutants.isDetected(none, 1000, 2));
  }
}
