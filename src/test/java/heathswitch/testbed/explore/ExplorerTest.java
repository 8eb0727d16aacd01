package heathswitch.testbed.explore;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import heathswitch.policy.api.RequestClass.Effect;
import heathswitch.policy.api.RequestProtocol;
import heathswitch.testbed.mutants.Mutant;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Model-checks the real dispatcher and decision module, and verifies by mutation testing that the
 * checks detect injected faults.
 */
@Timeout(400)
class ExplorerTest {
  @Test
  void holdsInvariantsForAllSequencesOfFourEvents() {
    Explorer explorer = new Explorer(4, false).run();
    assertEquals(List.of(), explorer.counterexamples());
    assertTrue(explorer.states() > 100_000, "played " + explorer.states());
  }

  @Test
  void holdsInvariantsForLongRandomWalks() {
    for (long seed = 1; seed <= 300; seed++) {
      assertNull(RandomWalk.walk(seed, 400), "seed " + seed);
    }
  }

  @Test
  void detectsEveryInjectedFault() throws Exception {
    MutantRun run = new MutantRun();
    List<String> undetected = new ArrayList<>();
    for (Mutant mutant : Mutants.ALL) {
      if (run.shortestDetection(mutant, 4) < 0) {
        undetected.add(mutant.toString());
      }
    }
    assertEquals(List.of(), undetected);
  }

  /** The explorer prints counterexamples as tests of this form. */
  @Test
  void playsPastedSequence() {
    assertEquals(
        Set.of(),
        Explorer.play(
            new DispatchHarness.Config(
                Effect.UNSAFE, Effect.SAFE, RequestProtocol.HTTP1, 2, 0, true, false),
            List.of(Step.REQUEST_A, Step.RESET, Step.REQUEST_B, Step.DEADLINE)));
  }

  /**
   * If attempts may not be cancelled, the slower of two hedged attempts may also succeed. The
   * overflow router must still be told of one local answer only.
   */
  @Test
  void reportsHedgedRequestAsServedOnce() {
    DispatchHarness.Config config =
        new DispatchHarness.Config(
            Effect.SAFE, Effect.SAFE, RequestProtocol.HTTP1, 2, 0, true, true);
    List<Step> path = List.of(Step.RELOAD, Step.REQUEST_B, Step.TIMER, Step.OK_NEWEST, Step.OK);
    assertEquals(Set.of(), Explorer.play(config, path));
  }

  @Test
  void shrinksSequenceToNecessarySteps() {
    List<Step> path =
        List.of(
            Step.TIMER,
            Step.REQUEST_A,
            Step.OK,
            Step.REQUEST_B,
            Step.RESET,
            Step.DISCONNECT_B,
            Step.TIMER);
    assertEquals(
        List.of(Step.REQUEST_A, Step.RESET),
        Explorer.shrink(
            path,
            steps -> {
              int request = steps.indexOf(Step.REQUEST_A);
              return request >= 0 && steps.indexOf(Step.RESET) > request;
            }));
  }
}
