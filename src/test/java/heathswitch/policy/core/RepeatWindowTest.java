package heathswitch.policy.core;

import static heathswitch.policy.core.BalancerHarness.MS;
import static heathswitch.policy.core.BalancerHarness.requestClass;
import static heathswitch.policy.core.BalancerHarness.settings;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import heathswitch.policy.api.Outcome;
import heathswitch.policy.api.RequestClass;
import heathswitch.policy.api.RequestClass.Effect;
import heathswitch.policy.api.RequestClass.Group;
import heathswitch.policy.api.RequestProtocol;
import heathswitch.policy.core.BalancerHarness.Sent;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Attempts of a keyed request that are written, or come whole, in another order than they were
 * decided on.
 */
class RepeatWindowTest {
  private static final long HEDGE_DELAY_NANOS = 1500 * MS;
  private static final RequestClass KEYED = requestClass("key", Effect.KEYED, Group.ALL);
  private static final long WINDOW_NANOS = KEYED.dedupWindowNanos();

  private final BalancerHarness harness =
      new BalancerHarness(settings(0, true, false, KEYED, BalancerHarness.safeClass("read")))
          .readyServers(3);

  private Sent request(String className) {
    harness.balancer.onRequest(
        harness.now, 1, className, null, 10_000 * MS, false, RequestProtocol.HTTP1);
    return harness.lastSent();
  }

  private Sent hedge() {
    harness.advance(HEDGE_DELAY_NANOS);
    assertEquals(2, harness.sent.size(), "hedged");
    return harness.lastSent();
  }

  private boolean mayBegin(Sent attempt) {
    return harness.balancer.mayBegin(harness.now, attempt.request(), attempt.attempt());
  }

  private void begin(Sent attempt) {
    assertTrue(mayBegin(attempt));
    harness.balancer.onBegun(harness.now, attempt.request(), attempt.attempt());
  }

  private void write(Sent attempt) {
    harness.balancer.onWritten(harness.now, attempt.request(), attempt.attempt());
  }

  // Guards against a first attempt whose connection comes up late, after its hedge has run.
  @Test
  void lateFirstAttemptMayNotBeginAfterTheWindowOfItsHedge() {
    Sent first = request("key");
    Sent hedge = hedge();
    begin(hedge);
    write(hedge);
    harness.advance(WINDOW_NANOS - MS);
    assertTrue(mayBegin(first));
    harness.advance(MS);
    assertFalse(mayBegin(first));
  }

  // Guards against the same when the hedge has ended, as far as its server may have run it.
  @Test
  void endedHedgeBindsTheFirstAttemptIfItMayHaveRun() {
    Sent first = request("key");
    Sent hedge = hedge();
    begin(hedge);
    write(hedge);
    harness.outcome(hedge, Outcome.RESET, false);
    harness.advance(WINDOW_NANOS);
    assertFalse(mayBegin(first));
  }

  @Test
  void hedgeThatNeverRanDoesNotBindTheFirstAttempt() {
    Sent first = request("key");
    Sent hedge = hedge();
    begin(hedge);
    harness.outcome(hedge, Outcome.CONNECT_FAILED, false);
    harness.advance(WINDOW_NANOS);
    assertTrue(mayBegin(first));
  }

  @Test
  void hedgeThatHasNotBegunDoesNotBindTheFirstAttempt() {
    Sent first = request("key");
    hedge();
    harness.advance(WINDOW_NANOS);
    assertTrue(mayBegin(first));
  }

  // Guards against a repeat in another group when the first attempt is the late one.
  @Test
  void lateFirstAttemptMayNotBeginInAnotherGroup() {
    RequestClass inCell = requestClass("cell", Effect.KEYED, Group.CELL);
    Request request =
        new Request(
            1,
            new ActiveSettings(settings(0, inCell), null),
            "cell",
            RequestProtocol.HTTP1,
            0,
            10_000 * MS);
    Request.Attempt first = new Request.Attempt(request, serverInCell(1), 0, 0, 0);
    Request.Attempt second = new Request.Attempt(request, serverInCell(2), 1, 0, 0);
    request.add(first);
    request.add(second);
    assertTrue(request.mayBegin(first, MS));
    second.begun = true;
    assertFalse(request.mayBegin(first, MS));
  }

  private static Server serverInCell(long cell) {
    Server server = new Server(cell);
    server.cell = cell;
    server.protocols = RequestProtocol.HTTP1.protocolBit();
    return server;
  }

  // Guards against an attempt that its server reads slowly and that comes whole after the window.
  @Test
  void firstAttemptThatIsNotWrittenInTheWindowOfItsHedgeIsCancelled() {
    Sent first = request("key");
    begin(first);
    Sent hedge = hedge();
    begin(hedge);
    write(hedge);
    harness.advance(WINDOW_NANOS - 2 * MS);
    assertEquals(List.of(), harness.cancelled);
    harness.advance(2 * MS);
    assertEquals(List.of("1/0"), harness.cancelled);
  }

  @Test
  void repeatThatIsNotWrittenInTheWindowIsCancelled() {
    Sent first = request("key");
    begin(first);
    write(first);
    harness.advance(WINDOW_NANOS / 2);
    harness.outcome(first, Outcome.RESET, false);
    Sent retry = harness.lastSent();
    assertEquals(1, retry.attempt());
    begin(retry);
    harness.advance(WINDOW_NANOS / 2);
    assertEquals(List.of("1/1"), harness.cancelled);
  }

  @Test
  void writtenAttemptsAreKeptAfterTheWindow() {
    Sent first = request("key");
    begin(first);
    write(first);
    Sent hedge = hedge();
    begin(hedge);
    write(hedge);
    harness.advance(2 * WINDOW_NANOS);
    assertEquals(List.of(), harness.cancelled);
  }

  @Test
  void slowlyWrittenAttemptsAreKeptWhileNoneIsWhole() {
    Sent first = request("key");
    begin(first);
    Sent hedge = hedge();
    begin(hedge);
    harness.advance(2 * WINDOW_NANOS);
    assertEquals(List.of(), harness.cancelled);
  }

  @Test
  void attemptsOfSafeRequestsAreNotBound() {
    Sent first = request("read");
    Sent hedge = hedge();
    begin(hedge);
    write(hedge);
    harness.advance(2 * WINDOW_NANOS);
    assertTrue(mayBegin(first));
    begin(first);
    harness.advance(2 * WINDOW_NANOS);
    assertEquals(List.of(), harness.cancelled);
  }
}
