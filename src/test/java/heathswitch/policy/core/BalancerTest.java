package heathswitch.policy.core;

import static heathswitch.policy.core.BalancerHarness.MS;
import static heathswitch.policy.core.BalancerHarness.SECOND;
import static heathswitch.policy.core.BalancerHarness.entry;
import static heathswitch.policy.core.BalancerHarness.ready;
import static heathswitch.policy.core.BalancerHarness.safe;
import static heathswitch.policy.core.BalancerHarness.settings;
import static heathswitch.policy.core.BalancerHarness.type;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import heathswitch.policy.api.Health;
import heathswitch.policy.api.ListUpdate;
import heathswitch.policy.api.Outcome;
import heathswitch.policy.api.RequestClass.Effect;
import heathswitch.policy.api.RequestClass.Group;
import heathswitch.policy.api.RequestProtocol;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class BalancerTest {
  @Test
  void refusesAtOnceAtTheTopWhenNoServerIsKnown() {
    BalancerHarness h = new BalancerHarness(settings(0, safe("read")));
    h.request(1, "read");
    assertEquals(List.of(1L), h.refused);
  }

  @Test
  void waitsShortlyAtDeeperTiersAndThenRefuses() {
    BalancerHarness h = new BalancerHarness(settings(1, safe("read")));
    h.request(1, "read");
    assertTrue(h.refused.isEmpty());
    h.advance(4 * SECOND);
    assertEquals(List.of(1L), h.refused);
  }

  @Test
  void aWaitingCallDueSoonerThanTheFirstIsAnsweredInItsTime() {
    BalancerHarness h = new BalancerHarness(settings(1, safe("read")));
    h.request(1, "read");
    h.balancer.onRequest(h.now, 2, "read", null, 100 * MS, false, RequestProtocol.HTTP1);
    h.advance(100 * MS);
    assertEquals(List.of(2L), h.refused);
  }

  @Test
  void aCallThatComesWithNoTimeLeftIsAnsweredAtOnceAtEveryTier() {
    for (int tier = 0; tier < 3; tier++) {
      BalancerHarness h = new BalancerHarness(settings(tier, safe("read"))).readyServers(3);
      h.balancer.onRequest(h.now, 1, "read", null, 0, false, RequestProtocol.HTTP1);
      assertEquals(List.of(1L), h.refused);
      assertTrue(h.sent.isEmpty());
    }
  }

  @Test
  void aWaitingCallIsSentWhenRoomAppears() {
    BalancerHarness h = new BalancerHarness(settings(1, safe("read")));
    h.request(1, "read");
    h.readyServers(1);
    assertEquals(1, h.sent.size());
    h.advance(3 * SECOND);
    assertTrue(h.refused.isEmpty());
  }

  @Test
  void capsCallsInFlightByTheWindow() {
    BalancerHarness h = new BalancerHarness(settings(0, safe("read"))).readyServers(1);
    for (int i = 1; i <= 40; i++) {
      h.request(i, "read");
    }
    assertEquals((int) DelayWindow.INITIAL, h.sent.size());
    assertEquals(40 - (int) DelayWindow.INITIAL, h.refused.size());
  }

  @Test
  void aTimerThatTheClockRoundedDownStillEndsTheWait() {
    BalancerHarness h = new BalancerHarness(settings(1, safe("read")));
    h.request(1, "read");
    BalancerHarness.Timer timer = h.timers.get(0);
    h.timers.clear();
    h.now = timer.dueNanos() - 300; // The bench's clock counts in microseconds.
    h.balancer.onTimer(h.now, timer.token());
    h.advance(4 * SECOND);
    assertEquals(List.of(1L), h.refused);
  }

  @Test
  void spreadsByFewestOwnCalls() {
    BalancerHarness h = new BalancerHarness(settings(0, safe("read"))).readyServers(4);
    for (int i = 1; i <= 20; i++) {
      h.request(i, "read");
    }
    Set<Long> met = new HashSet<>();
    h.sent.forEach(sent -> met.add(sent.server()));
    assertEquals(4, met.size());
  }

  @Test
  void neverSendsToADrainingOrMissingServer() {
    BalancerHarness h =
        new BalancerHarness(settings(0, safe("read")))
            .servers(ready(1), entry(2, Health.DRAINING, 0), ready(3));
    h.balancer.onListUpdate(h.now, ListUpdate.DELTA, List.of(entry(3, Health.GONE, 0)));
    for (int i = 1; i <= 4; i++) {
      h.request(i, "read");
    }
    assertTrue(h.sent.stream().allMatch(sent -> sent.server() == 1));
    h.servers(ready(4));
    h.request(9, "read");
    assertEquals(4, h.last().server());
  }

  @Test
  void unsafeRequestThatMayHaveRunIsFailedAndNeverResent() {
    for (Outcome outcome : List.of(Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET)) {
      BalancerHarness h =
          new BalancerHarness(settings(0, type("pay", Effect.UNSAFE, Group.ALL))).readyServers(3);
      h.request(1, "pay");
      h.advance(SECOND);
      h.outcome(h.last(), outcome, false);
      h.advance(3 * SECOND);
      assertEquals(1, h.sent.size());
      assertEquals(List.of(1L), h.failed);
      assertTrue(h.refused.isEmpty());
    }
  }

  @Test
  void unsafeRequestThatProvablyNeverRanIsTriedElsewhere() {
    BalancerHarness h =
        new BalancerHarness(settings(0, type("pay", Effect.UNSAFE, Group.ALL))).readyServers(3);
    h.request(1, "pay");
    long first = h.last().server();
    h.outcome(h.last(), Outcome.REFUSED, false);
    assertEquals(2, h.sent.size());
    assertNotEquals(first, h.last().server());
  }

  @Test
  void keyedRequestIsResentOnlyInsideItsCellAndWindow() {
    BalancerHarness h =
        new BalancerHarness(settings(0, false, false, type("key", Effect.KEYED, Group.CELL)))
            .readyServers(6);
    h.request(1, "key");
    BalancerHarness.Sent first = h.last();
    h.advance(50 * MS);
    h.outcome(first, Outcome.ERROR, false);
    assertEquals(2, h.sent.size());
    assertEquals(first.server() % 2, h.last().server() % 2);
    h.advance(2500 * MS);
    h.outcome(h.last(), Outcome.ERROR, false);
    assertEquals(2, h.sent.size());
    assertEquals(List.of(1L), h.failed);
  }

  @Test
  void theFirstSendThatMayHaveRunBindsEvenWhenALaterOneEndsBeforeIt() {
    BalancerHarness h =
        new BalancerHarness(settings(0, type("key", Effect.KEYED, Group.CELL))).readyServers(6);
    h.request(1, "key");
    BalancerHarness.Sent first = h.last();
    h.advance(1500 * MS); // overdue: a second copy goes out
    BalancerHarness.Sent second = h.last();
    assertEquals(2, h.sent.size());
    h.outcome(second, Outcome.ERROR, false);
    h.advance(700 * MS); // the window runs from the first send and has passed
    h.outcome(first, Outcome.ERROR, false);
    assertEquals(2, h.sent.size());
  }

  @Test
  void overdueSafeCallGetsASecondCopyAndTheLoserIsCalledOff() {
    BalancerHarness h = new BalancerHarness(settings(0, safe("read"))).readyServers(3);
    h.request(1, "read");
    BalancerHarness.Sent first = h.last();
    h.advance(1600 * MS);
    assertEquals(2, h.sent.size());
    assertNotEquals(first.server(), h.last().server());
    h.outcome(h.last(), Outcome.OK, true);
    assertEquals(List.of("1/0"), h.cancelled);
  }

  @Test
  void overdueUnsafeCallGetsNoSecondCopy() {
    BalancerHarness h =
        new BalancerHarness(settings(0, type("pay", Effect.UNSAFE, Group.ALL))).readyServers(3);
    h.request(1, "pay");
    h.advance(3 * SECOND);
    assertEquals(1, h.sent.size());
  }

  @Test
  void noSecondCopyWhereTheSettingsForbidIt() {
    BalancerHarness h =
        new BalancerHarness(settings(0, false, false, safe("read"))).readyServers(3);
    h.request(1, "read");
    h.advance(3 * SECOND);
    assertEquals(1, h.sent.size());
  }

  @Test
  void aSilentServerGetsNothingMoreBeforeItsTimeOut() {
    BalancerHarness h =
        new BalancerHarness(settings(0, type("pay", Effect.UNSAFE, Group.ALL))).readyServers(2);
    h.request(1, "pay");
    long silent = h.last().server();
    for (int i = 2; i < 40; i++) {
      h.advance(100 * MS);
      h.request(i, "pay");
      BalancerHarness.Sent sent = h.last();
      if (h.now - 100 * SECOND > 1500 * MS) {
        assertNotEquals(silent, sent.server());
      }
      if (sent.server() != silent) {
        h.advance(50 * MS);
        h.outcome(sent, Outcome.OK, true);
      }
    }
  }

  @Test
  void aServerThatAloneFailsIsPutToRest() {
    BalancerHarness h =
        new BalancerHarness(settings(0, type("pay", Effect.UNSAFE, Group.ALL))).readyServers(4);
    int toFaulty = 0;
    for (int i = 1; i <= 80; i++) {
      h.request(i, "pay");
      h.advance(5 * MS);
      boolean faulty = h.last().server() == 1;
      toFaulty += faulty && i > 40 ? 1 : 0;
      h.outcome(h.last(), faulty ? Outcome.ERROR : Outcome.OK, !faulty);
    }
    assertTrue(toFaulty <= 2, "of 40: " + toFaulty);
  }

  @Test
  void errorsOfTheTierBelowThatStrikeAllServersCloseNone() {
    BalancerHarness h =
        new BalancerHarness(settings(0, type("pay", Effect.UNSAFE, Group.ALL))).readyServers(4);
    for (int i = 1; i <= 200; i++) {
      h.request(i, "pay");
      h.advance(20 * MS);
      h.outcome(h.last(), i % 4 == 0 ? Outcome.ERROR : Outcome.OK, i % 4 != 0);
    }
    assertTrue(h.refused.isEmpty());
  }

  @Test
  void aColdServerGetsLessThanItsShareAtItsStart() {
    BalancerHarness h = new BalancerHarness(settings(0, safe("read")));
    h.servers(ready(1), ready(2), ready(3), entry(4, Health.READY, h.now));
    for (int i = 1; i <= 400; i++) {
      h.request(i, "read");
      h.advance(5 * MS);
      h.outcome(h.last(), Outcome.OK, true);
    }
    // 200 calls a second for two seconds: its fair share would be 100 calls; at most about a
    // fifth of its capacity is up in that time.
    long cold = h.sent.stream().filter(sent -> sent.server() == 4).count();
    assertTrue(cold >= 5 && cold <= 25, "cold server got " + cold);
  }

  @Test
  void allServersColdAtOnceAreBudgetedToo() {
    BalancerHarness h = new BalancerHarness(settings(0, safe("read")));
    h.servers(entry(1, Health.READY, h.now), entry(2, Health.READY, h.now));
    for (int i = 1; i <= 200; i++) {
      int before = h.sent.size();
      h.request(i, "read");
      h.advance(5 * MS);
      if (h.sent.size() > before) {
        h.outcome(h.last(), Outcome.OK, true);
      }
    }
    assertTrue(h.sent.size() < 60, "sent " + h.sent.size());
  }

  @Test
  void asksForTheListInsideTheLimitAndAgainAfterAFailure() {
    BalancerHarness h = new BalancerHarness(settings(0, true, true, safe("read")));
    h.advance(7 * SECOND);
    assertEquals(1, h.watches);
    h.balancer.onListUpdate(h.now, ListUpdate.FAILED, List.of());
    h.advance(2 * SECOND);
    assertEquals(2, h.watches);
    h.balancer.onListUpdate(h.now, ListUpdate.DELTA, List.of(ready(1)));
    h.advance(60 * SECOND);
    assertEquals(2, h.watches);
  }

  @Test
  void aListServiceThatNeverAnswersIsAskedAgainInsideTheLimit() {
    BalancerHarness h = new BalancerHarness(settings(0, true, true, safe("read")));
    h.advance(60 * SECOND);
    assertTrue(h.watches >= 6, "asked " + h.watches);
  }

  @Test
  void legalOdditiesAreTolerated() {
    BalancerHarness h = new BalancerHarness(settings(0, safe("read"))).readyServers(2);
    h.request(1, "read");
    BalancerHarness.Sent sent = h.last();
    h.balancer.onClientGone(h.now, 1);
    h.balancer.onClientGone(h.now, 1);
    h.outcome(sent, Outcome.CANCELLED, true);
    h.outcome(sent, Outcome.OK, true);
    h.balancer.onOutcome(h.now, 77, 0, Outcome.UNKNOWN, 5, true);
    h.balancer.onTimer(h.now, 12345);
    h.request(2, "no such class");
    assertEquals(2, h.sent.size());
    assertFalse(h.cancelled.isEmpty());
  }

  @Test
  void nothingIsSentAfterAFinalAnswer() {
    BalancerHarness h = new BalancerHarness(settings(0, safe("read"))).readyServers(3);
    h.request(1, "read");
    BalancerHarness.Sent first = h.last();
    h.advance(3900 * MS);
    h.sent.subList(1, h.sent.size()).clear();
    h.balancer.onClientGone(h.now, 1);
    h.outcome(first, Outcome.ERROR, true);
    h.advance(10 * SECOND);
    assertEquals(1, h.sent.size());
  }

  @Test
  void sameEventsAndSeedGiveTheSameActions() {
    List<List<BalancerHarness.Sent>> runs = new java.util.ArrayList<>();
    for (int run = 0; run < 2; run++) {
      BalancerHarness h = new BalancerHarness(settings(0, safe("read")), 7).readyServers(30);
      for (int i = 1; i <= 100; i++) {
        h.request(i, "read");
        h.advance(10 * MS);
        h.outcome(h.last(), Outcome.OK, true);
      }
      runs.add(h.sent);
    }
    assertEquals(runs.get(0), runs.get(1));
  }

  @Test
  void aNearServerLeadsByFewCallsOnly() {
    BalancerHarness h = new BalancerHarness(settings(0, type("pay", Effect.UNSAFE, Group.ALL)));
    h.servers(
        ready(1),
        new heathswitch.policy.api.ServerEntry(2, "b", "kind", 0, Health.READY, 1, 0),
        new heathswitch.policy.api.ServerEntry(3, "b", "kind", 0, Health.READY, 1, 0));
    long[] calls = new long[4];
    for (int i = 1; i <= 8; i++) {
      h.request(i, "pay");
      calls[(int) h.last().server()]++;
      long fewest = Math.min(calls[2], calls[3]);
      assertTrue(
          calls[1] <= fewest + Balancer.FAR_HANDICAP_CALLS + 1, calls[1] + " against " + fewest);
    }
    assertTrue(calls[1] > calls[2] && calls[2] + calls[3] > 0, "near first, then far");
    assertTrue(h.refused.isEmpty());
  }

  @Test
  void aFlightThatFailsTogetherRestsItsServerOnce() {
    BalancerHarness h =
        new BalancerHarness(settings(0, type("pay", Effect.UNSAFE, Group.ALL))).readyServers(2);
    for (int i = 1; i <= 8; i++) {
      h.request(i, "pay");
    }
    h.advance(10 * MS);
    for (BalancerHarness.Sent sent : List.copyOf(h.sent)) {
      h.outcome(sent, sent.server() == 1 ? Outcome.CONNECT_FAILED : Outcome.OK, true);
    }
    h.advance(800 * MS); // Past the longest first rest, before the shortest third one.
    int before = h.sent.size();
    for (int i = 9; i <= 12; i++) {
      h.request(i, "pay");
    }
    assertTrue(
        h.sent.subList(before, h.sent.size()).stream().anyMatch(sent -> sent.server() == 1),
        "in service again");
  }
}
