package heathswitch.policy.core;

import static heathswitch.policy.core.BalancerHarness.MS;
import static heathswitch.policy.core.BalancerHarness.SECOND;
import static heathswitch.policy.core.BalancerHarness.requestClass;
import static heathswitch.policy.core.BalancerHarness.safeClass;
import static heathswitch.policy.core.BalancerHarness.settings;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import heathswitch.policy.api.Outcome;
import heathswitch.policy.api.RequestClass.Effect;
import heathswitch.policy.api.RequestClass.Group;
import org.junit.jupiter.api.Test;

/** Answers that have begun to arrive and then pause, which may be slow or lost. */
class StalledAnswerTest {
  private static BalancerHarness balancer(boolean hedge, Effect effect) {
    return new BalancerHarness(settings(0, hedge, false, requestClass("a", effect, Group.ALL)))
        .readyServers(3);
  }

  private static BalancerHarness.Sent sendAndStall(BalancerHarness harness, boolean mayBeLong) {
    harness.request(1, "a");
    BalancerHarness.Sent sent = harness.lastSent();
    harness.advance(20 * MS);
    harness.balancer.onAnswerStalled(harness.now, 1, sent.attempt(), mayBeLong);
    return sent;
  }

  private static void assertUnanswered(BalancerHarness harness) {
    assertTrue(harness.refused.isEmpty() && harness.failed.isEmpty());
  }

  @Test
  void anotherAttemptIsSentBesideAndTheFirstAnswerWins() {
    BalancerHarness harness = balancer(true, Effect.SAFE);
    BalancerHarness.Sent stalled = sendAndStall(harness, true);
    assertEquals(2, harness.sent.size());
    assertTrue(harness.cancelled.isEmpty(), "the stalled attempt goes on");
    harness.outcome(stalled, Outcome.OK, true);
    assertEquals("1/1", harness.cancelled.get(0));
  }

  @Test
  void eachStallSendsOneMoreAttemptUpToTheLimit() {
    BalancerHarness harness = balancer(true, Effect.SAFE);
    sendAndStall(harness, true);
    for (int attempt = 1; attempt < 4; attempt++) {
      harness.balancer.onAnswerStalled(harness.now, 1, attempt, true);
      harness.balancer.onAnswerStalled(harness.now, 1, attempt, true);
    }
    assertEquals(4, harness.sent.size());
    assertUnanswered(harness);
  }

  @Test
  void unsafeRequestWaitsForItsAnswer() {
    BalancerHarness harness = balancer(true, Effect.UNSAFE);
    BalancerHarness.Sent stalled = sendAndStall(harness, true);
    harness.advance(3 * SECOND);
    assertEquals(1, harness.sent.size());
    assertUnanswered(harness);
    harness.outcome(stalled, Outcome.TIMEOUT, false);
    assertEquals(1, harness.failed.size());
  }

  @Test
  void failureOfTheOtherAttemptIsNoAnswerWhileTheStalledOneIsInFlight() {
    BalancerHarness harness = balancer(true, Effect.SAFE);
    BalancerHarness.Sent stalled = sendAndStall(harness, true);
    for (int attempt = 1; attempt < 4; attempt++) {
      harness.outcome(harness.lastSent(), Outcome.REFUSED, false);
    }
    assertUnanswered(harness);
    harness.outcome(stalled, Outcome.ERROR, false);
    assertEquals(1, harness.refused.size());
  }

  @Test
  void withoutHedgesOnlyShortAnswersAreReplaced() {
    BalancerHarness waiting = balancer(false, Effect.SAFE);
    sendAndStall(waiting, true);
    assertEquals(1, waiting.sent.size());
    assertTrue(waiting.cancelled.isEmpty());
    BalancerHarness replacing = balancer(false, Effect.SAFE);
    BalancerHarness.Sent stalled = sendAndStall(replacing, false);
    assertEquals("1/0", replacing.cancelled.get(0));
    replacing.outcome(stalled, Outcome.CANCELLED, false);
    assertEquals(2, replacing.sent.size());
  }

  @Test
  void stalledAttemptOccupiesNoSlot() {
    BalancerHarness harness = new BalancerHarness(settings(0, safeClass("a"))).readyServers(1);
    harness.request(1, "a");
    long server = harness.lastSent().server();
    harness.balancer.onAnswerStalled(harness.now, 1, 0, true);
    int hedges = harness.sent.size() - 1;
    assertEquals(hedges, harness.balancer.load(harness.now, server)[0]);
    harness.balancer.onOutcome(harness.now, 1, 0, Outcome.OK, 20 * MS, true);
    assertEquals(hedges, harness.balancer.load(harness.now, server)[0]);
  }
}
