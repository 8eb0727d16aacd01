package heathswitch.policy.core;

import static heathswitch.policy.core.Harness.MS;
import static heathswitch.policy.core.Harness.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import heathswitch.policy.api.Health;
import heathswitch.policy.api.ListForm;
import heathswitch.policy.api.Outcome;
import heathswitch.policy.api.RequestClass;
import heathswitch.policy.api.Settings;
import heathswitch.policy.core.Harness.Sent;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What was decided a while ago may not begin any more; what was taken keeps its settings. */
class RareMomentsTest {
  private static RequestClass keyed() {
    return Harness.type("keyed", RequestClass.Effect.KEYED, RequestClass.Group.ALL);
  }

  private static boolean mayBegin(Harness harness, Sent attempt) {
    return harness.balancer.mayBegin(harness.now, attempt.request(), attempt.attempt());
  }

  @Test
  void aKeyedRepeatMayNotBeginWhenItsTimeIsOver() {
    Harness harness = new Harness(Harness.settings(0, keyed())).readyServers(2);
    harness.request(1, "keyed");
    harness.advance(keyed().windowNanos() - MS);
    harness.outcome(harness.sent.get(0), Outcome.RESET, false);
    Sent repeat = harness.last();
    assertEquals(1, repeat.attempt());
    assertTrue(mayBegin(harness, repeat));
    harness.now += MS; // Its connection comes up late.
    assertFalse(mayBegin(harness, repeat));
  }

  @Test
  void theFirstAttemptOfAKeyedRequestIsBoundByNoTime() {
    Harness harness = new Harness(Harness.settings(0, keyed())).readyServers(2);
    harness.request(1, "keyed");
    harness.now += keyed().windowNanos();
    assertTrue(mayBegin(harness, harness.last()));
  }

  @Test
  void nothingMayBeginAtAServerThatHasBeenToldToDrain() {
    Harness harness = new Harness(Harness.settings(0, Harness.safe("read"))).readyServers(1);
    harness.request(1, "read");
    assertTrue(mayBegin(harness, harness.last()));
    harness.balancer.onServers(
        harness.now, ListForm.CHANGES, List.of(Harness.entry(1, Health.DRAINING, 0)));
    assertFalse(mayBegin(harness, harness.last()));
  }

  @Test
  void nothingMayBeginAtAServerThatAWholeListLeavesOut() {
    Harness harness = new Harness(Harness.settings(0, Harness.safe("read"))).readyServers(1);
    harness.request(1, "read");
    harness.balancer.onServers(harness.now, ListForm.WHOLE, List.of(Harness.ready(2)));
    assertFalse(mayBegin(harness, harness.last()));
  }

  @Test
  void nothingMayBeginForARequestThatIsOver() {
    Harness harness = new Harness(Harness.settings(0, Harness.safe("read"))).readyServers(1);
    harness.request(1, "read");
    harness.balancer.onGone(harness.now, 1);
    assertFalse(mayBegin(harness, harness.last()));
  }

  /** Where a part of all connections comes up late, nobody would be left to send to. */
  @Test
  void aServerWhoseConnectionsFailAsOftenAsItsPeersStaysInService() {
    Harness harness = new Harness(Harness.settings(0, Harness.safe("read"))).readyServers(2);
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
  void aServerThatCannotBeReachedAtAllIsTakenOut() {
    Harness harness = new Harness(Harness.settings(0, Harness.safe("read"))).readyServers(3);
    int toDead = 0;
    for (int i = 0; i < 60; i++) {
      harness.request(i, "read");
      for (int sent = harness.sent.size() - 1; sent < harness.sent.size(); sent++) {
        Sent attempt = harness.sent.get(sent);
        boolean dead = attempt.server() == 1;
        toDead += dead ? 1 : 0;
        harness.advance(10 * MS);
        harness.outcome(attempt, dead ? Outcome.CONNECT_FAILED : Outcome.OK, !dead);
      }
    }
    assertEquals(List.of(), harness.refused);
    assertTrue(toDead < 6, "calls to a server that is not there: " + toDead);
  }

  /** Or each failure would add a call to those of all balancers, and drown discovery with them. */
  @Test
  void aFailedCallIsFollowedByOneCallAtATime() {
    Harness harness = new Harness(Harness.settings(0, true, true, Harness.safe("read")));
    long endsNanos = 0;
    int calls = 0;
    long calledNanos = 0;
    for (int step = 0; step < 1200; step++) {
      harness.advance(50 * MS);
      if (harness.watches > calls) {
        assertEquals(calls + 1, harness.watches, "a call while another is out");
        assertEquals(0, endsNanos, "a call while another is out");
        calls = harness.watches;
        calledNanos = harness.now;
        endsNanos =
            harness.now + 3 * SECOND; // Discovery lets it wait for so long, and then fails it.
      } else if (endsNanos > 0 && harness.now >= endsNanos) {
        harness.balancer.onServers(harness.now, ListForm.BROKEN, List.of());
        endsNanos = 0;
      }
      assertTrue(harness.now - calledNanos < 7 * SECOND || calls == 0, "a gap between two calls");
    }
    assertTrue(calls > 10, "calls " + calls);
  }

  /** What was safe to repeat when it was taken stays so, and what comes later is not. */
  @Test
  void aRequestKeepsTheSettingsThatItWasTakenUnder() {
    Harness harness = new Harness(Harness.settings(0, Harness.safe("read"))).readyServers(3);
    harness.request(1, "read");
    RequestClass unsafe = Harness.type("read", RequestClass.Effect.UNSAFE, RequestClass.Group.ALL);
    Settings later = Harness.settings(0, Harness.safe("other"), unsafe);
    harness.balancer.reload(later);
    harness.request(2, "read");
    Sent before = harness.sent.get(0);
    Sent after = harness.sent.get(1);

    harness.now += 10 * MS;
    harness.outcome(before, Outcome.RESET, false);
    assertEquals(3, harness.sent.size(), "repeated, as it could be when it was taken");
    assertEquals(1, harness.last().request());
    harness.outcome(after, Outcome.RESET, false);
    assertEquals(3, harness.sent.size());
    assertEquals(List.of(2L), harness.failed);
  }

  /** Between two attempts, and under fewer attempts than it was promised. */
  @Test
  void limitsOfAttemptsAreThoseOfItsOwnSettings() {
    Settings first = Harness.settings(0, Harness.safe("read"));
    Harness harness = new Harness(first).readyServers(4);
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
            first.overShareWorth(),
            first.worthByWork(),
            first.tier(),
            first.instance(),
            first.instances(),
            first.zone(),
            first.mustAsk(),
            one,
            first.obligations()));
    harness.outcome(harness.sent.get(0), Outcome.REFUSED, false);
    assertEquals(2, harness.sent.size());
    harness.request(2, "read");
    harness.outcome(harness.last(), Outcome.REFUSED, false);
    assertEquals(List.of(2L), harness.refused);
    harness.advance(4 * SECOND);
  }
}
