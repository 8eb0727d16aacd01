package meadowtrack.core;

import static meadowtrack.core.Harness.MS;
import static meadowtrack.core.Harness.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import meadowtrack.api.Health;
import meadowtrack.api.ListForm;
import meadowtrack.api.Outcome;
import meadowtrack.api.Settings;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A list that is not confirmed holds for a limited time, and is asked for until it is. */
class ListLeaseTest {
  private static final long TOLD = 6 * SECOND;
  private static final long DOWN_CALL = 3 * SECOND;

  private final Settings settings = Harness.settings(0, true, true, Harness.safe("read"));
  private final Harness h = new Harness(settings);
  private final long holds =
      TOLD + settings.obligations().stopSendingWithinNanos() - ListLease.MARGIN_NANOS;
  private long requests;

  @BeforeEach
  void confirm() {
    h.balancer.limitListAge(h.now, TOLD);
    while (h.watches == 0) {
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

  private void fail(ListForm form) {
    h.balancer.onServers(h.now, form, List.of());
  }

  /** Fails each call so long after it was made, until a time; the last one may end after it. */
  private void failCalls(ListForm form, long afterNanos, long untilNanos) {
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
    fail(ListForm.BROKEN);
    failCalls(ListForm.TURNED_AWAY, 20 * MS, confirmed + holds - 25 * MS);
    assertTrue(sends());
    failCalls(ListForm.TURNED_AWAY, 20 * MS, confirmed + holds);
    assertFalse(sends());
    failCalls(ListForm.TURNED_AWAY, 20 * MS, confirmed + holds + 20 * SECOND);
    assertFalse(sends());
  }

  /** What is turned away costs discovery, too: repeated at once it would keep the queue full. */
  @Test
  void callsThatAreTurnedAwayBecomeRarer() {
    fail(ListForm.BROKEN);
    int before = h.watches;
    failCalls(ListForm.TURNED_AWAY, 20 * MS, h.now + 10 * SECOND);
    int calls = h.watches - before;
    assertTrue(calls >= 3 && calls <= 6, "calls in 10 s: " + calls);
    failCalls(ListForm.TURNED_AWAY, 20 * MS, h.now + 60 * SECOND);
    int later = h.watches - before - calls;
    assertTrue(later >= 6 && later <= 20, "calls in the minute after it: " + later);
  }

  @Test
  void requestsWaitAndAreSentWhenTheListIsConfirmed() {
    long confirmed = h.now;
    fail(ListForm.BROKEN);
    failCalls(ListForm.TURNED_AWAY, 20 * MS, confirmed + holds);
    int before = h.sent.size();
    h.request(++requests, "read");
    h.advance(SECOND);
    assertEquals(List.of(), h.refused);
    h.balancer.onServers(h.now, ListForm.CHANGES, List.of(Harness.entry(1, Health.DRAINING, 0)));
    assertEquals(before, h.sent.size(), "news alone confirm nothing");
    h.balancer.onListConfirmed(h.now);
    assertEquals(before + 1, h.sent.size());
    assertTrue(h.last().server() != 1);
  }

  @Test
  void aRequestThatWaitsInVainIsRefusedInTime() {
    long confirmed = h.now;
    fail(ListForm.BROKEN);
    failCalls(ListForm.TURNED_AWAY, 20 * MS, confirmed + holds);
    h.request(++requests, "read");
    h.advance(2 * SECOND);
    assertEquals(List.of(requests), h.refused);
  }

  /** An attempt that was decided before may not begin either. */
  @Test
  void whatWasChosenBeforeDoesNotBeginAfterwards() {
    long confirmed = h.now;
    fail(ListForm.BROKEN);
    h.now = confirmed + holds - MS;
    h.request(++requests, "read");
    Harness.Sent attempt = h.last();
    assertTrue(h.balancer.mayBegin(h.now, attempt.request(), attempt.attempt()));
    assertFalse(h.balancer.mayBegin(h.now + MS, attempt.request(), attempt.attempt()));
  }

  /** Nothing is told in an outage, and the list then known is better than none. */
  @Test
  void anOutageDoesNotCount() {
    fail(ListForm.BROKEN);
    for (int i = 0; i < 10; i++) {
      failCalls(ListForm.TURNED_AWAY, DOWN_CALL, h.now + 6 * SECOND);
      assertTrue(sends(), "after " + 6 * (i + 1) + " s");
    }
  }

  @Test
  void neitherDoesOneInWhichConnectionsAreRefused() {
    fail(ListForm.BROKEN);
    for (int i = 0; i < 10; i++) {
      failCalls(ListForm.BROKEN, MS, h.now + 6 * SECOND);
      assertTrue(sends(), "after " + 6 * (i + 1) + " s");
    }
  }

  /** A call that had its place and was not answered in time is no outage. */
  @Test
  void aLongWaitAmongCallsThatAreTurnedAwayCounts() {
    long confirmed = h.now;
    fail(ListForm.BROKEN);
    failCalls(ListForm.TURNED_AWAY, 20 * MS, confirmed + 3 * SECOND);
    failCalls(ListForm.TURNED_AWAY, DOWN_CALL, h.now + SECOND);
    failCalls(ListForm.TURNED_AWAY, 20 * MS, confirmed + holds);
    assertFalse(sends());
  }

  /** Calls that fail on this machine, for want of a socket say, show nothing of discovery. */
  @Test
  void callsThatCannotBeMadeAreNoOutage() {
    long confirmed = h.now;
    fail(ListForm.BROKEN);
    failCalls(ListForm.TURNED_AWAY, 20 * MS, confirmed + 2 * SECOND);
    failCalls(ListForm.NOT_MADE, MS, confirmed + holds);
    assertFalse(sends());
  }

  /** What had counted as told before discovery went away has been told. */
  @Test
  void anOutageDoesNotBringBackAListWhoseTimeWasOver() {
    long confirmed = h.now;
    fail(ListForm.BROKEN);
    failCalls(ListForm.TURNED_AWAY, 20 * MS, confirmed + holds);
    assertFalse(sends());
    failCalls(ListForm.TURNED_AWAY, DOWN_CALL, h.now + 20 * SECOND);
    assertFalse(sends());
  }

  /** Nor one whose changes had counted as told, with only the grace left. */
  @Test
  void anOutageDoesNotLengthenTheGrace() {
    long confirmed = h.now;
    fail(ListForm.BROKEN);
    failCalls(ListForm.TURNED_AWAY, 20 * MS, confirmed + TOLD);
    failCalls(ListForm.TURNED_AWAY, DOWN_CALL, confirmed + holds + 8 * SECOND);
    assertFalse(sends());
  }

  /** An operator's mark, or news of the watch before, is no answer to the call that is out. */
  @Test
  void changesThatNobodyAskedForAnswerNoCall() {
    long confirmed = h.now;
    fail(ListForm.BROKEN);
    failCalls(ListForm.TURNED_AWAY, 20 * MS, confirmed + 3 * SECOND);
    int before = h.watches;
    while (h.watches == before) {
      h.advance(10 * MS);
    }
    h.balancer.onServers(h.now, ListForm.UNASKED, List.of());
    h.advance(DOWN_CALL);
    fail(ListForm.TURNED_AWAY);
    failCalls(ListForm.TURNED_AWAY, DOWN_CALL, confirmed + holds);
    assertFalse(sends());
  }

  /** It is still missing, and the next call comes when it is due. */
  @Test
  void changesThatNobodyAskedForAreNoSubscription() {
    fail(ListForm.BROKEN);
    int before = h.watches;
    while (h.watches == before) {
      h.advance(10 * MS);
    }
    h.balancer.onServers(h.now, ListForm.UNASKED, List.of());
    h.advance(60 * SECOND);
    assertTrue(h.watches > before + 1);
  }

  /** The head of an answer has come: discovery runs, whatever became of the rest. */
  @Test
  void anAnswerThatBreaksOffIsNoOutage() {
    long confirmed = h.now;
    fail(ListForm.BROKEN);
    failCalls(ListForm.CUT_SHORT, 500 * MS, confirmed + holds);
    assertFalse(sends());
  }

  @Test
  void aMoveIsFollowedByOneCallSoon() {
    int before = h.watches;
    h.balancer.onDiscoveryMoved(h.now);
    h.advance(ListCalls.MOST_SETTLE_NANOS);
    assertEquals(before + 1, h.watches);
    h.advance(4 * SECOND);
    assertTrue(sends(), "the list of before holds for its time");
  }

  /** Each call at an address that is left again at once would be one for nothing. */
  @Test
  void aSeriesOfMovesIsFollowedByOneCallInTime() {
    int before = h.watches;
    long first = h.now;
    for (int i = 0; i < 4; i++) {
      h.balancer.onDiscoveryMoved(h.now);
      fail(ListForm.BROKEN); // The watch at the address before ends.
      h.advance(400 * MS);
    }
    h.advance(first + ListCalls.MOST_SETTLE_NANOS - h.now);
    assertEquals(before + 1, h.watches);
  }

  @Test
  void whereNoLimitIsSetAListHolds() {
    Harness unlimited = new Harness(settings).readyServers(3);
    unlimited.balancer.onServers(unlimited.now, ListForm.BROKEN, List.of());
    unlimited.advance(100 * SECOND);
    unlimited.request(1, "read");
    assertEquals(1, unlimited.sent.size());
  }
}
