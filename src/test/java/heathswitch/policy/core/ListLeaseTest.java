package heathswitch.policy.core;

import static heathswitch.policy.core.BalancerHarness.MS;
import static heathswitch.policy.core.BalancerHarness.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import heathswitch.policy.api.Health;
import heathswitch.policy.api.ListUpdate;
import heathswitch.policy.api.Outcome;
import heathswitch.policy.api.Settings;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** A list that is not confirmed holds for a limited time, and is asked for until it is. */
class ListLeaseTest {
  private static final long TOLD = 6 * SECOND;
  private static final long DOWN_CALL = 3 * SECOND;

  /** From one request to the next, so that each of three servers serves within the grace. */
  private static final long EVERY = 200 * MS;

  private final Settings settings =
      BalancerHarness.settings(0, true, true, BalancerHarness.safe("read"));
  private BalancerHarness h;
  private final long holds =
      TOLD + settings.obligations().stopSendingWithinNanos() - ListLease.SEND_MARGIN_NANOS;
  private long requests;

  @BeforeEach
  void begin() {
    begin(settings);
  }

  /** A balancer whose list has just been confirmed. */
  private void begin(Settings of) {
    h = new BalancerHarness(of);
    h.balancer.limitListAge(h.now, TOLD);
    while (of.subscribes() && h.watches == 0) {
      h.advance(10 * MS);
    }
    h.readyServers(3);
    h.balancer.onListConfirmed(h.now);
  }

  private boolean sends() {
    int before = h.sent.size();
    h.request(++requests, "read");
    if (h.sent.size() == before) {
      return false;
    }
    h.now += MS;
    h.outcome(h.last(), Outcome.OK, true);
    return true;
  }

  private void fail(ListUpdate form) {
    h.balancer.onListUpdate(h.now, form, List.of());
  }

  /** Fails each call so long after it was made, until a time; the last one may end after it. */
  private void failCalls(ListUpdate form, long afterNanos, long untilNanos) {
    while (h.now < untilNanos) {
      int calls = h.watches;
      while (h.watches == calls && h.now < untilNanos) {
        h.advance(Math.min(10 * MS, untilNanos - h.now));
      }
      if (h.watches > calls) {
        h.advance(afterNanos);
        fail(form);
      }
    }
  }

  @Test
  void aListThatIsConfirmedHolds() {
    for (int i = 0; i < 30; i++) {
      h.advance(2 * SECOND);
      h.balancer.onListConfirmed(h.now);
    }
    h.advance(holds - MS);
    assertTrue(sends());
  }

  @Test
  void nothingIsSentOnceTheTimeIsOverThoughAllCallsWereTurnedAway() {
    long confirmed = h.now;
    fail(ListUpdate.FAILED);
    failCalls(ListUpdate.REJECTED, 20 * MS, confirmed + holds - 25 * MS);
    assertTrue(sends());
    failCalls(ListUpdate.REJECTED, 20 * MS, confirmed + holds);
    assertFalse(sends());
    failCalls(ListUpdate.REJECTED, 20 * MS, confirmed + holds + 20 * SECOND);
    assertFalse(sends());
  }

  /** What is turned away costs discovery, too: repeated at once it would keep the queue full. */
  @Test
  void callsThatAreTurnedAwayBecomeRarer() {
    fail(ListUpdate.FAILED);
    int before = h.watches;
    failCalls(ListUpdate.REJECTED, 20 * MS, h.now + 10 * SECOND);
    int calls = h.watches - before;
    assertTrue(calls >= 3 && calls <= 6, "calls in 10 s: " + calls);
    failCalls(ListUpdate.REJECTED, 20 * MS, h.now + 60 * SECOND);
    int later = h.watches - before - calls;
    assertTrue(later >= 6 && later <= 20, "calls in the minute after it: " + later);
  }

  @Test
  void requestsWaitAndAreSentWhenTheListIsConfirmed() {
    long confirmed = h.now;
    fail(ListUpdate.FAILED);
    failCalls(ListUpdate.REJECTED, 20 * MS, confirmed + holds);
    int before = h.sent.size();
    h.request(++requests, "read");
    h.advance(SECOND);
    assertEquals(List.of(), h.refused);
    h.balancer.onListUpdate(
        h.now, ListUpdate.DELTA, List.of(BalancerHarness.entry(1, Health.DRAINING, 0)));
    assertEquals(before, h.sent.size(), "news alone confirm nothing");
    h.balancer.onListConfirmed(h.now);
    assertEquals(before + 1, h.sent.size());
    assertTrue(h.last().server() != 1);
  }

  @Test
  void aRequestThatWaitsInVainIsRefusedInTime() {
    long confirmed = h.now;
    fail(ListUpdate.FAILED);
    failCalls(ListUpdate.REJECTED, 20 * MS, confirmed + holds);
    h.request(++requests, "read");
    h.advance(2 * SECOND);
    assertEquals(List.of(requests), h.refused);
  }

  /** An attempt that was decided before may not begin either. */
  @Test
  void whatWasChosenBeforeDoesNotBeginAfterwards() {
    long confirmed = h.now;
    fail(ListUpdate.FAILED);
    h.now = confirmed + holds - MS;
    h.request(++requests, "read");
    BalancerHarness.Sent attempt = h.last();
    assertTrue(h.balancer.mayBegin(h.now, attempt.request(), attempt.attempt()));
    assertFalse(h.balancer.mayBegin(h.now + MS, attempt.request(), attempt.attempt()));
  }

  /** Sends a request every so often and fails each call so long after it was made. */
  private int sentThrough(ListUpdate form, long afterNanos, long forNanos) {
    long until = h.now + forNanos;
    long calledNanos = -1;
    int calls = h.watches;
    int sent = 0;
    for (long next = h.now; h.now < until; h.advance(10 * MS)) {
      if (h.watches > calls) {
        calls = h.watches;
        calledNanos = h.now;
      }
      if (calledNanos >= 0 && h.now - calledNanos >= afterNanos) {
        fail(form);
        calledNanos = -1;
      }
      if (h.now >= next) {
        sent += sends() ? 1 : 0;
        next += EVERY;
      }
    }
    return sent;
  }

  /**
   * From here an outage of discovery, in which nothing is told, cannot be told from an address that
   * cannot be reached: servers that go on serving are used, and no others.
   */
  @ParameterizedTest
  @EnumSource(names = {"REJECTED", "FAILED"})
  void whileDiscoveryCannotBeReachedServersThatServeAreUsed(ListUpdate form) {
    begin(BalancerHarness.graceOf(settings, 2 * SECOND));
    fail(ListUpdate.FAILED);
    long lasts = 60 * SECOND;
    assertEquals(lasts / EVERY, sentThrough(form, DOWN_CALL, lasts));
  }

  @Test
  void soTheyAreWhereConnectionsAreRefused() {
    fail(ListUpdate.FAILED);
    long lasts = 60 * SECOND;
    assertEquals(lasts / EVERY, sentThrough(ListUpdate.FAILED, 0, lasts));
  }

  /** Nothing shows an outage where a watch has broken and the call after it is still out. */
  @Test
  void whileNoCallHasFailedNothingIsSentOnceTheTimeIsOver() {
    fail(ListUpdate.FAILED);
    sendUntil(h.now + holds - 10 * MS);
    h.advance(20 * MS);
    assertFalse(sends());
  }

  /** What a call that failed once showed of discovery grows old, too. */
  @Test
  void anOutageThatNoFurtherCallShowsIsTakenForOver() {
    fail(ListUpdate.FAILED);
    int calls = h.watches;
    while (h.watches == calls) {
      h.advance(10 * MS);
    }
    long called = h.now;
    h.advance(DOWN_CALL);
    fail(ListUpdate.REJECTED);
    sendUntil(called + holds - 10 * MS);
    h.advance(20 * MS);
    assertFalse(sends());
  }

  /** Sends a request every so often until a time; each is sent and served. */
  private void sendUntil(long untilNanos) {
    while (h.now + EVERY < untilNanos) {
      h.advance(EVERY);
      assertTrue(sends());
    }
    h.advance(untilNanos - h.now);
    assertTrue(sends());
  }

  /** However often calls fail, and however: it is no word of discovery that the list is current. */
  @ParameterizedTest
  @ValueSource(longs = {0, DOWN_CALL})
  void noFailedCallLengthensTheTimeOfAList(long afterNanos) {
    long confirmed = h.now;
    fail(ListUpdate.FAILED);
    failCalls(ListUpdate.FAILED, afterNanos, confirmed + holds);
    assertFalse(sends());
    failCalls(ListUpdate.FAILED, afterNanos, h.now + 30 * SECOND);
    assertFalse(sends());
  }

  /** A server that turns new work away may drain, and the grace lasts from its last service. */
  @Test
  void aServerThatNoLongerServesIsNotSentToPastTheGrace() {
    fail(ListUpdate.FAILED);
    long since = h.now;
    long grace = settings.obligations().stopSendingWithinNanos();
    long latest = since;
    int calls = h.watches;
    while (h.now < since + 40 * SECOND) {
      h.advance(EVERY / 4);
      if (h.watches > calls) {
        calls = h.watches;
        fail(ListUpdate.FAILED);
      }
      h.request(++requests, "read");
      BalancerHarness.Sent attempt = h.last();
      boolean drains = attempt.server() == 1 && h.now >= since + 10 * SECOND;
      if (drains) {
        latest = Math.max(latest, h.now);
      }
      h.now += MS;
      h.outcome(attempt, drains ? Outcome.REFUSED : Outcome.OK, !drains);
    }
    assertEquals(ListTrust.SERVING_ONLY.name(), trusted(), "to the end");
    assertTrue(latest <= since + 10 * SECOND + grace, "last sent there " + (latest - since));
  }

  /** How far the list is trusted, as the newest line of the log says. */
  private String trusted() {
    String line = h.logs.get(h.logs.size() - 1);
    return line.replaceAll(".*from now on ([A-Z_]+);.*", "$1");
  }

  @Test
  void withNoWatchAListHoldsNoLongerThanABalancerMayLeaveOffAsking() {
    Settings often = BalancerHarness.mustAskWithin(settings, 2 * SECOND);
    BalancerHarness harness = new BalancerHarness(often);
    harness.balancer.limitListAge(harness.now, TOLD);
    harness.readyServers(3);
    long ends =
        2 * SECOND + often.obligations().stopSendingWithinNanos() - ListLease.SEND_MARGIN_NANOS;
    harness.now += ends - MS;
    harness.request(1, "read");
    assertEquals(1, harness.sent.size());
    harness.now += MS;
    harness.request(2, "read");
    assertEquals(1, harness.sent.size());
  }

  /** Settings may let a balancer ask seldom; a change counts as told after 6 s all the same. */
  @Test
  void theFirstCallComesBeforeAChangeCanCountAsTold() {
    int late = 0;
    for (long seed = 0; seed < 20; seed++) {
      BalancerHarness harness =
          new BalancerHarness(BalancerHarness.mustAskWithin(settings, 60 * SECOND), seed);
      harness.balancer.limitListAge(harness.now, TOLD);
      harness.advance(TOLD);
      late += harness.watches == 0 ? 1 : 0;
    }
    assertEquals(0, late);
  }

  /** What an agent has counts as told whether or not a watch is open. */
  @Test
  void aPushedListHoldsForTheGraceOnceItsWatchHasBroken() {
    Settings pushed = BalancerHarness.settings(0, true, false, BalancerHarness.safe("read"));
    BalancerHarness harness = new BalancerHarness(pushed);
    harness.balancer.limitListAge(harness.now, TOLD);
    harness.readyServers(3);
    harness.balancer.onListConfirmed(harness.now);
    harness.advance(2 * SECOND);
    harness.balancer.onListUpdate(harness.now, ListUpdate.FAILED, List.of());
    harness.advance(
        pushed.obligations().stopSendingWithinNanos() - ListLease.SEND_MARGIN_NANOS - MS);
    harness.request(1, "read");
    assertEquals(1, harness.sent.size());
    harness.now += MS;
    harness.request(2, "read");
    assertEquals(1, harness.sent.size());
    assertEquals(0, harness.watches, "the host keeps the watch up");
    harness.balancer.onListConfirmed(harness.now);
    assertEquals(2, harness.sent.size());
  }

  /** A call that had its place and was not answered in time is no outage. */
  @Test
  void aLongWaitAmongCallsThatAreTurnedAwayCounts() {
    long confirmed = h.now;
    fail(ListUpdate.FAILED);
    failCalls(ListUpdate.REJECTED, 20 * MS, confirmed + 3 * SECOND);
    failCalls(ListUpdate.REJECTED, DOWN_CALL, h.now + SECOND);
    failCalls(ListUpdate.REJECTED, 20 * MS, confirmed + holds);
    assertFalse(sends());
  }

  /** Calls that fail on this machine, for want of a socket say, show nothing of discovery. */
  @Test
  void callsThatCannotBeMadeAreNoOutage() {
    long confirmed = h.now;
    fail(ListUpdate.FAILED);
    failCalls(ListUpdate.REJECTED, 20 * MS, confirmed + 2 * SECOND);
    failCalls(ListUpdate.NOT_SENT, MS, confirmed + holds);
    assertFalse(sends());
  }

  /** What had counted as told before discovery went away has been told. */
  @Test
  void anOutageDoesNotBringBackAListWhoseTimeWasOver() {
    long confirmed = h.now;
    fail(ListUpdate.FAILED);
    failCalls(ListUpdate.REJECTED, 20 * MS, confirmed + holds);
    assertFalse(sends());
    failCalls(ListUpdate.REJECTED, DOWN_CALL, h.now + 20 * SECOND);
    assertFalse(sends());
  }

  /** Nor one whose changes had counted as told, with only the grace left. */
  @Test
  void anOutageDoesNotLengthenTheGrace() {
    long confirmed = h.now;
    fail(ListUpdate.FAILED);
    failCalls(ListUpdate.REJECTED, 20 * MS, confirmed + TOLD);
    failCalls(ListUpdate.REJECTED, DOWN_CALL, confirmed + holds + 8 * SECOND);
    assertFalse(sends());
  }

  /** An operator's mark, or news of the watch before, is no answer to the call that is out. */
  @Test
  void changesThatNobodyAskedForAnswerNoCall() {
    long confirmed = h.now;
    fail(ListUpdate.FAILED);
    failCalls(ListUpdate.REJECTED, 20 * MS, confirmed + 3 * SECOND);
    int before = h.watches;
    while (h.watches == before) {
      h.advance(10 * MS);
    }
    h.balancer.onListUpdate(h.now, ListUpdate.UNSOLICITED_DELTA, List.of());
    h.advance(DOWN_CALL);
    fail(ListUpdate.REJECTED);
    failCalls(ListUpdate.REJECTED, DOWN_CALL, confirmed + holds);
    assertFalse(sends());
  }

  /** It is still missing, and the next call comes when it is due. */
  @Test
  void changesThatNobodyAskedForAreNoSubscription() {
    fail(ListUpdate.FAILED);
    int before = h.watches;
    while (h.watches == before) {
      h.advance(10 * MS);
    }
    h.balancer.onListUpdate(h.now, ListUpdate.UNSOLICITED_DELTA, List.of());
    h.advance(60 * SECOND);
    assertTrue(h.watches > before + 1);
  }

  /** The head of an answer has come: discovery runs, whatever became of the rest. */
  @Test
  void anAnswerThatBreaksOffIsNoOutage() {
    long confirmed = h.now;
    fail(ListUpdate.FAILED);
    failCalls(ListUpdate.TRUNCATED, 500 * MS, confirmed + holds);
    assertFalse(sends());
  }

  /** Its agent learns nothing while it is silent; one that is not there may have been told. */
  @Test
  void aPushedListHoldsWhileItsAgentIsSilentAndNotWhileNobodyListens() {
    Settings pushed = BalancerHarness.settings(0, true, false, BalancerHarness.safe("read"));
    begin(pushed);
    for (int i = 0; i < 30; i++) {
      h.advance(2 * SECOND);
      fail(ListUpdate.SILENT);
      assertTrue(sends());
    }
    fail(ListUpdate.FAILED);
    h.advance(pushed.obligations().stopSendingWithinNanos() - ListLease.SEND_MARGIN_NANOS);
    assertFalse(sends());
    fail(ListUpdate.SILENT); // It may have been told before it fell silent.
    assertFalse(sends());
  }

  @Test
  void aMoveIsFollowedByOneCallSoon() {
    int before = h.watches;
    h.balancer.onDiscoveryMoved(h.now);
    h.advance(DiscoveryBackoff.MAX_MOVE_NANOS);
    assertEquals(before + 1, h.watches);
  }

  /** What has changed before it counts as told 4 s after a new configuration. */
  @Test
  void aListHoldsForFourSecondsAndTheGraceAfterAMove() {
    long moved = h.now;
    long grace = settings.obligations().stopSendingWithinNanos();
    long ends = moved + ListLease.MOVE_DELIVERY_NANOS + grace - ListLease.SEND_MARGIN_NANOS;
    h.balancer.onDiscoveryMoved(moved);
    h.advance(SECOND);
    h.balancer.onDiscoveryMoved(h.now); // The second one gives no time back.
    h.advance(ends - MS - h.now);
    assertTrue(sends());
    h.advance(SECOND);
    assertFalse(sends());
    h.balancer.onListConfirmed(h.now);
    assertTrue(sends());
  }

  /** Each call at an address that is left again at once would be one for nothing. */
  @Test
  void aSeriesOfMovesIsFollowedByOneCallInTime() {
    int before = h.watches;
    long first = h.now;
    for (int i = 0; i < 4; i++) {
      h.balancer.onDiscoveryMoved(h.now);
      fail(ListUpdate.FAILED); // The watch at the address before ends.
      h.advance(400 * MS);
    }
    h.advance(first + DiscoveryBackoff.MAX_MOVE_NANOS - h.now);
    assertEquals(before + 1, h.watches);
  }

  @Test
  void whereNoLimitIsSetAListHolds() {
    BalancerHarness unlimited = new BalancerHarness(settings).readyServers(3);
    unlimited.balancer.onListUpdate(unlimited.now, ListUpdate.FAILED, List.of());
    unlimited.advance(100 * SECOND);
    unlimited.request(1, "read");
    assertEquals(1, unlimited.sent.size());
  }
}
