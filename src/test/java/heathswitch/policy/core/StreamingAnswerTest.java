package heathswitch.policy.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import heathswitch.policy.api.Outcome;
import org.junit.jupiter.api.Test;

/** Answers that have begun and continue at the pace of the reading client. */
class StreamingAnswerTest {
  private final BalancerHarness harness =
      new BalancerHarness(BalancerHarness.settings(0, BalancerHarness.safeClass("a")))
          .readyServers(1);
  private long nextId;

  private BalancerHarness.Sent sendOne() {
    int before = harness.sent.size();
    harness.request(nextId++, "a");
    assertEquals(before + 1, harness.sent.size(), "sent at once");
    return harness.lastSent();
  }

  private BalancerHarness.Sent sendAndBeginAnswer() {
    BalancerHarness.Sent sent = sendOne();
    harness.advance(10 * BalancerHarness.MS);
    harness.balancer.onAnswerBegun(harness.now, sent.request(), 0, 10 * BalancerHarness.MS);
    return sent;
  }

  @Test
  void serverHasRoomAfterCutWhileAnswersStream() {
    sendAndBeginAnswer(); // Never ends: the client does not read.
    BalancerHarness.Sent refused = sendOne();
    harness.outcome(refused, Outcome.REFUSED, true);
    harness.advance(2 * Server.EJECTION_NANOS);
    for (int i = 0; i < 40; i++) {
      BalancerHarness.Sent next = sendOne();
      harness.advance(10 * BalancerHarness.MS);
      harness.outcome(next, Outcome.OK, true);
    }
  }

  @Test
  void promptAnswerBeginningsGrowTheWindowAfterCut() {
    harness.outcome(sendOne(), Outcome.REFUSED, true);
    harness.advance(2 * Server.EJECTION_NANOS);
    for (int i = 0; i < 10; i++) { // The answers do not end.
      sendAndBeginAnswer();
    }
  }

  /** Servers alternate, so all slowly read answers come from server 1. */
  @Test
  void slowClientDoesNotCutTheWindow() {
    harness.readyServers(2);
    for (int i = 0; i < 40; i++) {
      BalancerHarness.Sent slow = sendAndBeginAnswer();
      harness.advance((slow.server() == 1 ? 300 : 3) * BalancerHarness.MS);
      harness.outcome(slow, Outcome.OK, true);
    }
    assertTrue(
        harness.balancer.load(harness.now, 1)[1] >= DelayWindow.INITIAL, "the window was cut");
  }

  @Test
  void serverWithStreamingAnswerIsNotUnresponsive() {
    sendAndBeginAnswer();
    harness.advance(3600 * BalancerHarness.SECOND);
    String summary = harness.balancer.summary(harness.now);
    assertTrue(summary.contains("silent 0"), summary);
  }

  @Test
  void brokenAnswerCountsAsError() {
    harness.readyServers(4);
    for (int i = 0; i < 12; i++) {
      BalancerHarness.Sent broken = sendAndBeginAnswer();
      harness.advance(10 * BalancerHarness.MS);
      harness.outcome(broken, Outcome.RESET, true);
    }
    String summary = harness.balancer.summary(harness.now);
    assertTrue(!summary.contains("errors 0.00"), summary);
  }
}
