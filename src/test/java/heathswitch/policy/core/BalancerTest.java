package heathswitch.policy.core;

import static heathswitch.policy.core.BalancerHarness.MS;
import static heathswitch.policy.core.BalancerHarness.SECOND;
import static heathswitch.policy.core.BalancerHarness.entry;
import static heathswitch.policy.core.BalancerHarness.ready;
import static heathswitch.policy.core.BalancerHarness.requestClass;
import static heathswitch.policy.core.BalancerHarness.safeClass;
import static heathswitch.policy.core.BalancerHarness.settings;
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

/** Decisions of a balancer for single requests. */
class BalancerTest {
  @Test
  void refusesAtOnceAtTierZeroWhenNoServerIsKnown() {
    BalancerHarness harness = new BalancerHarness(settings(0, safeClass("read")));
    harness.request(1, "read");
    assertEquals(List.of(1L), harness.refused);
  }

  @Test
  void queuesBrieflyAtDeeperTiersAndThenRefuses() {
    BalancerHarness harness = new BalancerHarness(settings(1, safeClass("read")));
    harness.request(1, "read");
    assertTrue(harness.refused.isEmpty());
    harness.advance(4 * SECOND);
    assertEquals(List.of(1L), harness.refused);
  }

  @Test
  void queuedRequestWithEarlierDeadlineIsAnsweredInTime() {
    BalancerHarness harness = new BalancerHarness(settings(1, safeClass("read")));
    harness.request(1, "read");
    harness.balancer.onRequest(
        harness.now, 2, "read", null, 100 * MS, false, RequestProtocol.HTTP1);
    harness.advance(100 * MS);
    assertEquals(List.of(2L), harness.refused);
  }

  @Test
  void requestWithNoTimeLeftIsRefusedAtOnceAtEveryTier() {
    for (int tier = 0; tier < 3; tier++) {
      BalancerHarness harness =
          new BalancerHarness(settings(tier, safeClass("read"))).readyServers(3);
      harness.balancer.onRequest(harness.now, 1, "read", null, 0, false, RequestProtocol.HTTP1);
      assertEquals(List.of(1L), harness.refused);
      assertTrue(harness.sent.isEmpty());
    }
  }

  @Test
  void queuedRequestIsSentWhenServerAppears() {
    BalancerHarness harness = new BalancerHarness(settings(1, safeClass("read")));
    harness.request(1, "read");
    harness.readyServers(1);
    assertEquals(1, harness.sent.size());
    harness.advance(3 * SECOND);
    assertTrue(harness.refused.isEmpty());
  }

  @Test
  void limitsCallsInFlightByTheWindow() {
    BalancerHarness harness = new BalancerHarness(settings(0, safeClass("read"))).readyServers(1);
    for (int i = 1; i <= 40; i++) {
      harness.request(i, "read");
    }
    assertEquals((int) DelayWindow.INITIAL, harness.sent.size());
    assertEquals(40 - (int) DelayWindow.INITIAL, harness.refused.size());
  }

  @Test
  void timerThatFiresSlightlyEarlyStillExpiresQueuedRequest() {
    BalancerHarness harness = new BalancerHarness(settings(1, safeClass("read")));
    harness.request(1, "read");
    BalancerHarness.Timer timer = harness.timers.get(0);
    harness.timers.clear();
    harness.now = timer.dueNanos() - 300; // As on a host whose clock counts in microseconds.
    harness.balancer.onTimer(harness.now, timer.token());
    harness.advance(4 * SECOND);
    assertEquals(List.of(1L), harness.refused);
  }

  @Test
  void spreadsRequestsOverServers() {
    BalancerHarness harness = new BalancerHarness(settings(0, safeClass("read"))).readyServers(4);
    for (int i = 1; i <= 20; i++) {
      harness.request(i, "read");
    }
    Set<Long> usedServers = new HashSet<>();
    harness.sent.forEach(sent -> usedServers.add(sent.server()));
    assertEquals(4, usedServers.size());
  }

  @Test
  void doesNotSendToDrainingOrRemovedServer() {
    BalancerHarness harness =
        new BalancerHarness(settings(0, safeClass("read")))
            .servers(ready(1), entry(2, Health.DRAINING, 0), ready(3));
    harness.balancer.onListUpdate(harness.now, ListUpdate.DELTA, List.of(entry(3, Health.GONE, 0)));
    for (int i = 1; i <= 4; i++) {
      harness.request(i, "read");
    }
    assertTrue(harness.sent.stream().allMatch(sent -> sent.server() == 1));
    harness.servers(ready(4));
    harness.request(9, "read");
    assertEquals(4, harness.lastSent().server());
  }

  @Test
  void unsafeRequestThatMayHaveRunFailsWithoutRetry() {
    for (Outcome outcome : List.of(Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET)) {
      BalancerHarness harness =
          new BalancerHarness(settings(0, requestClass("pay", Effect.UNSAFE, Group.ALL)))
              .readyServers(3);
      harness.request(1, "pay");
      harness.advance(SECOND);
      harness.outcome(harness.lastSent(), outcome, false);
      harness.advance(3 * SECOND);
      assertEquals(1, harness.sent.size());
      assertEquals(List.of(1L), harness.failed);
      assertTrue(harness.refused.isEmpty());
    }
  }

  @Test
  void unsafeRequestThatDidNotRunIsRetriedElsewhere() {
    BalancerHarness harness =
        new BalancerHarness(settings(0, requestClass("pay", Effect.UNSAFE, Group.ALL)))
            .readyServers(3);
    harness.request(1, "pay");
    long first = harness.lastSent().server();
    harness.outcome(harness.lastSent(), Outcome.REFUSED, false);
    assertEquals(2, harness.sent.size());
    assertNotEquals(first, harness.lastSent().server());
  }

  @Test
  void keyedRequestIsRetriedOnlyWithinItsCellAndWindow() {
    BalancerHarness harness =
        new BalancerHarness(
                settings(0, false, false, requestClass("key", Effect.KEYED, Group.CELL)))
            .readyServers(6);
    harness.request(1, "key");
    BalancerHarness.Sent first = harness.lastSent();
    harness.advance(50 * MS);
    harness.outcome(first, Outcome.ERROR, false);
    assertEquals(2, harness.sent.size());
    assertEquals(first.server() % 2, harness.lastSent().server() % 2);
    harness.advance(2500 * MS);
    harness.outcome(harness.lastSent(), Outcome.ERROR, false);
    assertEquals(2, harness.sent.size());
    assertEquals(List.of(1L), harness.failed);
  }

  @Test
  void earliestAttemptBindsEvenWhenALaterOneEndsFirst() {
    BalancerHarness harness =
        new BalancerHarness(settings(0, requestClass("key", Effect.KEYED, Group.CELL)))
            .readyServers(6);
    harness.request(1, "key");
    BalancerHarness.Sent first = harness.lastSent();
    harness.advance(1500 * MS); // Overdue: the request is hedged.
    BalancerHarness.Sent second = harness.lastSent();
    assertEquals(2, harness.sent.size());
    harness.outcome(second, Outcome.ERROR, false);
    harness.advance(
        700 * MS); // The deduplication window has run from the first attempt and is over.
    harness.outcome(first, Outcome.ERROR, false);
    assertEquals(2, harness.sent.size());
  }

  @Test
  void overdueSafeRequestIsHedgedAndTheLoserIsCancelled() {
    BalancerHarness harness = new BalancerHarness(settings(0, safeClass("read"))).readyServers(3);
    harness.request(1, "read");
    BalancerHarness.Sent first = harness.lastSent();
    harness.advance(1600 * MS);
    assertEquals(2, harness.sent.size());
    assertNotEquals(first.server(), harness.lastSent().server());
    harness.outcome(harness.lastSent(), Outcome.OK, true);
    assertEquals(List.of("1/0"), harness.cancelled);
  }

  @Test
  void overdueUnsafeRequestIsNotHedged() {
    BalancerHarness harness =
        new BalancerHarness(settings(0, requestClass("pay", Effect.UNSAFE, Group.ALL)))
            .readyServers(3);
    harness.request(1, "pay");
    harness.advance(3 * SECOND);
    assertEquals(1, harness.sent.size());
  }

  @Test
  void doesNotHedgeWhenSettingsForbidIt() {
    BalancerHarness harness =
        new BalancerHarness(settings(0, false, false, safeClass("read"))).readyServers(3);
    harness.request(1, "read");
    harness.advance(3 * SECOND);
    assertEquals(1, harness.sent.size());
  }

  @Test
  void unresponsiveServerGetsNoRequestsBeforeTheTimeout() {
    BalancerHarness harness =
        new BalancerHarness(settings(0, requestClass("pay", Effect.UNSAFE, Group.ALL)))
            .readyServers(2);
    harness.request(1, "pay");
    long silent = harness.lastSent().server();
    for (int i = 2; i < 40; i++) {
      harness.advance(100 * MS);
      harness.request(i, "pay");
      BalancerHarness.Sent sent = harness.lastSent();
      if (harness.now - 100 * SECOND > 1500 * MS) {
        assertNotEquals(silent, sent.server());
      }
      if (sent.server() != silent) {
        harness.advance(50 * MS);
        harness.outcome(sent, Outcome.OK, true);
      }
    }
  }

  @Test
  void ejectsServerThatAloneFails() {
    BalancerHarness harness =
        new BalancerHarness(settings(0, requestClass("pay", Effect.UNSAFE, Group.ALL)))
            .readyServers(4);
    int toFaulty = 0;
    for (int i = 1; i <= 80; i++) {
      harness.request(i, "pay");
      harness.advance(5 * MS);
      boolean faulty = harness.lastSent().server() == 1;
      toFaulty += faulty && i > 40 ? 1 : 0;
      harness.outcome(harness.lastSent(), faulty ? Outcome.ERROR : Outcome.OK, !faulty);
    }
    assertTrue(toFaulty <= 2, "of 40: " + toFaulty);
  }

  @Test
  void doesNotEjectServersForErrorsCommonToAll() {
    BalancerHarness harness =
        new BalancerHarness(settings(0, requestClass("pay", Effect.UNSAFE, Group.ALL)))
            .readyServers(4);
    for (int i = 1; i <= 200; i++) {
      harness.request(i, "pay");
      harness.advance(20 * MS);
      harness.outcome(harness.lastSent(), i % 4 == 0 ? Outcome.ERROR : Outcome.OK, i % 4 != 0);
    }
    assertTrue(harness.refused.isEmpty());
  }

  @Test
  void coldServerGetsLessThanItsShare() {
    BalancerHarness harness = new BalancerHarness(settings(0, safeClass("read")));
    harness.servers(ready(1), ready(2), ready(3), entry(4, Health.READY, harness.now));
    for (int i = 1; i <= 400; i++) {
      harness.request(i, "read");
      harness.advance(5 * MS);
      harness.outcome(harness.lastSent(), Outcome.OK, true);
    }
    // 200 calls per second for two seconds: its fair share would be 100 calls, but it has at most
    // about a fifth of its capacity in that time.
    long cold = harness.sent.stream().filter(sent -> sent.server() == 4).count();
    assertTrue(cold >= 5 && cold <= 25, "cold server got " + cold);
  }

  @Test
  void budgetAppliesWhenAllServersAreCold() {
    BalancerHarness harness = new BalancerHarness(settings(0, safeClass("read")));
    harness.servers(entry(1, Health.READY, harness.now), entry(2, Health.READY, harness.now));
    for (int i = 1; i <= 200; i++) {
      int before = harness.sent.size();
      harness.request(i, "read");
      harness.advance(5 * MS);
      if (harness.sent.size() > before) {
        harness.outcome(harness.lastSent(), Outcome.OK, true);
      }
    }
    assertTrue(harness.sent.size() < 60, "sent " + harness.sent.size());
  }

  @Test
  void callsDiscoveryWithinTheLimitAndAgainAfterFailure() {
    BalancerHarness harness = new BalancerHarness(settings(0, true, true, safeClass("read")));
    harness.advance(7 * SECOND);
    assertEquals(1, harness.discoveryCalls);
    harness.balancer.onListUpdate(harness.now, ListUpdate.FAILED, List.of());
    harness.advance(2 * SECOND);
    assertEquals(2, harness.discoveryCalls);
    harness.balancer.onListUpdate(harness.now, ListUpdate.DELTA, List.of(ready(1)));
    harness.advance(60 * SECOND);
    assertEquals(2, harness.discoveryCalls);
  }

  @Test
  void repeatsCallsWithinTheLimitWhenDiscoveryNeverAnswers() {
    BalancerHarness harness = new BalancerHarness(settings(0, true, true, safeClass("read")));
    harness.advance(60 * SECOND);
    assertTrue(harness.discoveryCalls >= 6, "calls " + harness.discoveryCalls);
  }

  @Test
  void toleratesUnusualButValidEvents() {
    BalancerHarness harness = new BalancerHarness(settings(0, safeClass("read"))).readyServers(2);
    harness.request(1, "read");
    BalancerHarness.Sent sent = harness.lastSent();
    harness.balancer.onClientGone(harness.now, 1);
    harness.balancer.onClientGone(harness.now, 1);
    harness.outcome(sent, Outcome.CANCELLED, true);
    harness.outcome(sent, Outcome.OK, true);
    harness.balancer.onOutcome(harness.now, 77, 0, Outcome.UNKNOWN, 5, true);
    harness.balancer.onTimer(harness.now, 12345);
    harness.request(2, "no such class");
    assertEquals(2, harness.sent.size());
    assertFalse(harness.cancelled.isEmpty());
  }

  @Test
  void sendsNothingAfterTheFinalAnswer() {
    BalancerHarness harness = new BalancerHarness(settings(0, safeClass("read"))).readyServers(3);
    harness.request(1, "read");
    BalancerHarness.Sent first = harness.lastSent();
    harness.advance(3900 * MS);
    harness.sent.subList(1, harness.sent.size()).clear();
    harness.balancer.onClientGone(harness.now, 1);
    harness.outcome(first, Outcome.ERROR, true);
    harness.advance(10 * SECOND);
    assertEquals(1, harness.sent.size());
  }

  @Test
  void sameEventsAndSeedProduceTheSameActions() {
    List<List<BalancerHarness.Sent>> runs = new java.util.ArrayList<>();
    for (int run = 0; run < 2; run++) {
      BalancerHarness harness =
          new BalancerHarness(settings(0, safeClass("read")), 7).readyServers(30);
      for (int i = 1; i <= 100; i++) {
        harness.request(i, "read");
        harness.advance(10 * MS);
        harness.outcome(harness.lastSent(), Outcome.OK, true);
      }
      runs.add(harness.sent);
    }
    assertEquals(runs.get(0), runs.get(1));
  }

  @Test
  void prefersNearServerByFewCallsOnly() {
    BalancerHarness harness =
        new BalancerHarness(settings(0, requestClass("pay", Effect.UNSAFE, Group.ALL)));
    harness.servers(
        ready(1),
        new heathswitch.policy.api.ServerEntry(2, "b", "kind", 0, Health.READY, 1, 0),
        new heathswitch.policy.api.ServerEntry(3, "b", "kind", 0, Health.READY, 1, 0));
    long[] calls = new long[4];
    for (int i = 1; i <= 8; i++) {
      harness.request(i, "pay");
      calls[(int) harness.lastSent().server()]++;
      long fewest = Math.min(calls[2], calls[3]);
      assertTrue(
          calls[1] <= fewest + Balancer.FAR_HANDICAP_CALLS + 1, calls[1] + " against " + fewest);
    }
    assertTrue(calls[1] > calls[2] && calls[2] + calls[3] > 0, "near first, then far");
    assertTrue(harness.refused.isEmpty());
  }

  @Test
  void flightThatFailsTogetherEjectsItsServerOnce() {
    BalancerHarness harness =
        new BalancerHarness(settings(0, requestClass("pay", Effect.UNSAFE, Group.ALL)))
            .readyServers(2);
    for (int i = 1; i <= 8; i++) {
      harness.request(i, "pay");
    }
    harness.advance(10 * MS);
    for (BalancerHarness.Sent sent : List.copyOf(harness.sent)) {
      harness.outcome(sent, sent.server() == 1 ? Outcome.CONNECT_FAILED : Outcome.OK, true);
    }
    harness.advance(800 * MS); // Longer than any first ejection, shorter than any third one.
    int before = harness.sent.size();
    for (int i = 9; i <= 12; i++) {
      harness.request(i, "pay");
    }
    assertTrue(
        harness.sent.subList(before, harness.sent.size()).stream()
            .anyMatch(sent -> sent.server() == 1),
        "in service again");
  }
}
