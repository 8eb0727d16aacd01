package heathswitch.policy.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import heathswitch.policy.api.Outcome;
import org.junit.jupiter.api.Test;

/** Answers that go on as they come, at the pace of whoever reads them. */
class StreamingAnswerTest {
  private final BalancerHarness harness =
      new BalancerHarness(BalancerHarness.settings(0, BalancerHarness.safe("a"))).readyServers(1);
  private long id;

  private BalancerHarness.Sent sent() {
    int before = harness.sent.size();
    harness.request(id++, "a");
    assertEquals(before + 1, harness.sent.size(), "sent at once");
    return harness.last();
  }

  private BalancerHarness.Sent begun() {
    BalancerHarness.Sent sent = sent();
    harness.advance(10 * BalancerHarness.MS);
    harness.balancer.onAnswerBegun(harness.now, sent.request(), 0, 10 * BalancerHarness.MS);
    return sent;
  }

  @Test
  void aCutServerHasRoomBesideThem() {
    begun(); // Nobody reads it.
    BalancerHarness.Sent turnedAway = sent();
    harness.outcome(turnedAway, Outcome.REFUSED, true);
    harness.advance(2 * Server.EJECTION_NANOS);
    for (int i = 0; i < 40; i++) {
      BalancerHarness.Sent next = sent();
      harness.advance(10 * BalancerHarness.MS);
      harness.outcome(next, Outcome.OK, true);
    }
  }

  @Test
  void oneThatBeginsInGoodTimeOpensACutWindow() {
    harness.outcome(sent(), Outcome.REFUSED, true);
    harness.advance(2 * Server.EJECTION_NANOS);
    for (int i = 0; i < 10; i++) { // None of them ends.
      begun();
    }
  }

  /** They take turns: all that read slowly have their answers of the one server. */
  @Test
  void aSlowReaderIsNoSlowServer() {
    harness.readyServers(2);
    for (int i = 0; i < 40; i++) {
      BalancerHarness.Sent slow = begun();
      harness.advance((slow.server() == 1 ? 300 : 3) * BalancerHarness.MS);
      harness.outcome(slow, Outcome.OK, true);
    }
    assertTrue(
        harness.balancer.load(harness.now, 1)[1] >= DelayWindow.INITIAL, "the window was cut");
  }

  @Test
  void itsServerIsNotSilent() {
    begun();
    harness.advance(3600 * BalancerHarness.SECOND);
    String figures = harness.balancer.summary(harness.now);
    assertTrue(figures.contains("silent 0"), figures);
  }

  @Test
  void oneThatBreaksOffIsAnError() {
    harness.readyServers(4);
    for (int i = 0; i < 12; i++) {
      BalancerHarness.Sent broken = begun();
      harness.advance(10 * BalancerHarness.MS);
      harness.outcome(broken, Outcome.RESET, true);
    }
    String figures = harness.balancer.summary(harness.now);
    assertTrue(!figures.contains("errors 0.00"), figures);
  }
}
