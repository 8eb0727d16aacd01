package heathswitch.policy.core;

import static heathswitch.policy.core.BalancerHarness.MS;
import static heathswitch.policy.core.BalancerHarness.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import heathswitch.policy.api.Health;
import heathswitch.policy.api.ListUpdate;
import heathswitch.policy.api.Outcome;
import heathswitch.policy.api.RequestClass;
import heathswitch.policy.api.Settings;
import heathswitch.policy.core.BalancerHarness.Sent;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Decisions that events overtake: an attempt that may no longer begin, failures that affect all
 * servers alike, and settings that change while a request is in progress.
 */
class StaleDecisionTest {
  private static RequestClass keyed() {
    return BalancerHarness.requestClass("keyed", RequestClass.Effect.KEYED, RequestClass.Group.ALL);
  }

  private static boolean mayBegin(BalancerHarness harness, Sent attempt) {
    return harness.balancer.mayBegin(harness.now, attempt.request(), attempt.attempt());
  }

  @Test
  void keyedRetryMayNotBeginAfterTheDedupWindow() {
    BalancerHarness harness =
        new BalancerHarness(BalancerHarness.settings(0, keyed())).readyServers(2);
    harness.request(1, "keyed");
    harness.advance(keyed().dedupWindowNanos() - MS);
    harness.outcome(harness.sent.get(0), Outcome.RESET, false);
    Sent retry = harness.lastSent();
    assertEquals(1, retry.attempt());
    assertTrue(mayBegin(harness, retry));
    harness.now += MS; // The connection opens late.
    assertFalse(mayBegin(harness, retry));
  }

  @Test
  void firstAttemptOfKeyedRequestMayBeginAtAnyTime() {
    BalancerHarness harness =
        new BalancerHarness(BalancerHarness.settings(0, keyed())).readyServers(2);
    harness.request(1, "keyed");
    harness.now += keyed().dedupWindowNanos();
    assertTrue(mayBegin(harness, harness.lastSent()));
  }

  @Test
  void attemptMayNotBeginAtDrainingServer() {
    BalancerHarness harness =
        new BalancerHarness(BalancerHarness.settings(0, BalancerHarness.safeClass("read")))
            .readyServers(1);
    harness.request(1, "read");
    assertTrue(mayBegin(harness, harness.lastSent()));
    harness.balancer.onListUpdate(
        harness.now, ListUpdate.DELTA, List.of(BalancerHarness.entry(1, Health.DRAINING, 0)));
    assertFalse(mayBegin(harness, harness.lastSent()));
  }

  @Test
  void attemptMayNotBeginAtServerMissingFromFullList() {
    BalancerHarness harness =
        new BalancerHarness(BalancerHarness.settings(0, BalancerHarness.safeClass("read")))
            .readyServers(1);
    harness.request(1, "read");
    harness.balancer.onListUpdate(harness.now, ListUpdate.FULL, List.of(BalancerHarness.ready(2)));
    assertFalse(mayBegin(harness, harness.lastSent()));
  }

  @Test
  void attemptMayNotBeginForFinishedRequest() {
    BalancerHarness harness =
        new BalancerHarness(BalancerHarness.settings(0, BalancerHarness.safeClass("read")))
            .readyServers(1);
    harness.request(1, "read");
    harness.balancer.onClientGone(harness.now, 1);
    assertFalse(mayBegin(harness, harness.lastSent()));
  }

  /** If some connections to every server are late, ejecting for it would leave no server. */
  @Test
  void keepsServersWhoseConnectionsFailAsOftenAsTheFleet() {
    BalancerHarness harness =
        new BalancerHarness(BalancerHarness.settings(0, BalancerHarness.safeClass("read")))
            .readyServers(2);
    int attempts = 0;
    int next = 0;
    for (int round = 0; round < 40; round++) {
      for (int call = 0; call < 8; call++) {
        harness.request(8 * round + call, "read");
      }
      harness.advance(50 * MS);
      for (; next < harness.sent.size(); next++) {
        boolean late = ++attempts % 3 == 0;
        harness.outcome(harness.sent.get(next), late ? Outcome.CONNECT_FAILED : Outcome.OK, !late);
      }
    }
    assertEquals(List.of(), harness.refused);
  }

  @Test
  void ejectsUnreachableServer() {
    BalancerHarness harness =
        new BalancerHarness(BalancerHarness.settings(0, BalancerHarness.safeClass("read")))
            .readyServers(3);
    int sentToDead = 0;
    for (int i = 0; i < 60; i++) {
      harness.request(i, "read");
      for (int sent = harness.sent.size() - 1; sent < harness.sent.size(); sent++) {
        Sent attempt = harness.sent.get(sent);
        boolean dead = attempt.server() == 1;
        sentToDead += dead ? 1 : 0;
        harness.advance(10 * MS);
        harness.outcome(attempt, dead ? Outcome.CONNECT_FAILED : Outcome.OK, !dead);
      }
    }
    assertEquals(List.of(), harness.refused);
    assertTrue(sentToDead < 6, "calls to the unreachable server: " + sentToDead);
  }

  /** If each failure added a call, the calls of all balancers would overload discovery. */
  @Test
  void failedDiscoveryCallsAreRepeatedOneAtATime() {
    BalancerHarness harness =
        new BalancerHarness(
            BalancerHarness.settings(0, true, true, BalancerHarness.safeClass("read")));
    long endsNanos = 0;
    int calls = 0;
    long calledNanos = 0;
    for (int step = 0; step < 1200; step++) {
      harness.advance(50 * MS);
      if (harness.discoveryCalls > calls) {
        assertEquals(calls + 1, harness.discoveryCalls, "a call while another is in flight");
        assertEquals(0, endsNanos, "a call while another is in flight");
        calls = harness.discoveryCalls;
        calledNanos = harness.now;
        endsNanos =
            harness.now + 3 * SECOND; // Discovery holds the call this long and then rejects it.
      } else if (endsNanos > 0 && harness.now >= endsNanos) {
        harness.balancer.onListUpdate(harness.now, ListUpdate.FAILED, List.of());
        endsNanos = 0;
      }
      assertTrue(harness.now - calledNanos < 7 * SECOND || calls == 0, "too long without a call");
    }
    assertTrue(calls > 10, "calls " + calls);
  }

  /** A class becomes unsafe in a reload; the earlier request may still be repeated. */
  @Test
  void requestKeepsTheSettingsAtItsArrival() {
    BalancerHarness harness =
        new BalancerHarness(BalancerHarness.settings(0, BalancerHarness.safeClass("read")))
            .readyServers(3);
    harness.request(1, "read");
    RequestClass unsafe =
        BalancerHarness.requestClass("read", RequestClass.Effect.UNSAFE, RequestClass.Group.ALL);
    Settings later = BalancerHarness.settings(0, BalancerHarness.safeClass("other"), unsafe);
    harness.balancer.reload(later);
    harness.request(2, "read");
    Sent before = harness.sent.get(0);
    Sent after = harness.sent.get(1);

    harness.now += 10 * MS;
    harness.outcome(before, Outcome.RESET, false);
    assertEquals(3, harness.sent.size(), "retried under the settings at its arrival");
    assertEquals(1, harness.lastSent().request());
    harness.outcome(after, Outcome.RESET, false);
    assertEquals(3, harness.sent.size());
    assertEquals(List.of(2L), harness.failed);
  }

  /** The reload comes between two attempts and allows fewer of them. */
  @Test
  void requestKeepsItsAttemptLimitAfterReload() {
    Settings first = BalancerHarness.settings(0, BalancerHarness.safeClass("read"));
    BalancerHarness harness = new BalancerHarness(first).readyServers(4);
    harness.request(1, "read");
    Settings.Limits limits = first.limits();
    Settings.Limits one =
        new Settings.Limits(
            1,
            false,
            limits.mayCancel(),
            limits.keepAliveNanos(),
            limits.dialTimeoutNanos(),
            limits.maxRetryAfterNanos());
    harness.balancer.reload(
        new Settings(
            first.classes(),
            first.tenants(),
            first.overQuotaFactor(),
            first.worthByWork(),
            first.tier(),
            first.instance(),
            first.instances(),
            first.zone(),
            first.subscribes(),
            one,
            first.obligations()));
    harness.outcome(harness.sent.get(0), Outcome.REFUSED, false);
    assertEquals(2, harness.sent.size());
    harness.request(2, "read");
    harness.outcome(harness.lastSent(), Outcome.REFUSED, false);
    assertEquals(List.of(2L), harness.refused);
    harness.advance(4 * SECOND);
  }
}
