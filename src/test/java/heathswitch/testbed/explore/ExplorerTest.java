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

/** The real dispatcher and module in every order of events, and faults put into copies of them. */
@Timeout(400)
class ExplorerTest {
  @Test
  void everyOrderOfFourEventsKeepsTheProperties() {
    Explorer explorer = new Explorer(4, false).run();
    assertEquals(List.of(), explorer.counterexamples());
    assertTrue(explorer.states() > 100_000, "played " + explorer.states());
  }

  @Test
  void longWalksKeepThem() {
    for (long seed = 1; seed <= 300; seed++) {
      assertNull(RandomWalk.walk(seed, 400), "seed " + seed);
    }
  }

  @Test
  void everyFaultIsFound() throws Exception {
    MutantRun run = new MutantRun();
    List<String> unseen = new ArrayList<>();
    for (Mutant mutant : Mutants.ALL) {
      if (run.shortestDetection(mutant, 4) < 0) {
        unseen.add(mutant.toString());
      }
    }
    assertEquals(List.of(), unseen);
  }

  /** A test that was printed by the explorer has this form. */
  @Test
  void anOrderCanBePasted() {
    assertEquals(
        Set.of(),
        Explorer.play(
            new DispatchHarness.Config(
                Effect.UNSAFE, Effect.SAFE, RequestProtocol.HTTP1, 2, 0, true, false),
            List.of(Step.REQUEST_A, Step.RESET, Step.REQUEST_B, Step.DEADLINE)));
  }

  /** Where nothing may be called off, the copy that loses may be answered well, too. */
  @Test
  void oneRequestIsToldAsServedOnce() {
    DispatchHarness.Config setup =
        new DispatchHarness.Config(
            Effect.SAFE, Effect.SAFE, RequestProtocol.HTTP1, 2, 0, true, true);
    List<Step> order = List.of(Step.RELOAD, Step.REQUEST_B, Step.TIMER, Step.OK_NEWEST, Step.OK);
    assertEquals(Set.of(), Explorer.play(setup, order));
  }

  /** What is not needed for the fault is left out of what is printed. */
  @Test
  void anOrderIsMadeAsShortAsItCanBe() {
    List<Step> order =
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
            order,
            steps -> {
              int ask = steps.indexOf(Step.REQUEST_A);
              return ask >= 0 && steps.indexOf(Step.RESET) > ask;
            }));
  }
}
