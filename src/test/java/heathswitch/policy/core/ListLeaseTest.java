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

/** A list that is not confirmed is valid for a limited time; discovery is called until it is. */
class ListLeaseTest {
  private static final long DELIVERY = 6 * SECOND;

  /** Time after which a call fails that discovery has held. */
  private static final long HELD_CALL = 3 * SECOND;

  /** Time between requests, short enough for each of three servers to serve within the grace. */
  private static final long REQUEST_INTERVAL = 200 * MS;

  private final Settings settings =
      BalancerHarness.settings(0, true, true, BalancerHarness.safeClass("read"));
  private BalancerHarness harness;
  private final long validNanos =
      DELIVERY + settings.obligations().stopSendingWithinNanos() - ListLease.SEND_MARGIN_NANOS;
  private long requests;

  @BeforeEach
  void start() {
    start(settings);
  }

  /** Creates a balancer whose list has just been confirmed. */
  private void start(Settings balancerSettings) {
    harness = new BalancerHarness(balancerSettings);
    harness.balancer.limitListAge(harness.now, DELIVERY);
    while (balancerSettings.subscribes() && harness.discoveryCalls == 0) {
      harness.advance(10 * MS);
    }
    harness.readyServers(3);
    harness.balancer.onListConfirmed(harness.now);
  }

  private boolean isSent() {
    int before = harness.sent.size();
    harness.request(++requests, "read");
    if (harness.sent.size() == before) {
      return false;
    }
    harness.now += MS;
    harness.outcome(harness.lastSent(), Outcome.OK, true);
    return true;
  }

  private void failDiscovery(ListUpdate failure) {
    harness.balancer.onListUpdate(harness.now, failure, List.of());
  }

  /** Fails each call the given time after it was made; the last one may end after the limit. */
  private void failCalls(ListUpdate failure, long afterNanos, long untilNanos) {
    while (harness.now < untilNanos) {
      int calls = harness.discoveryCalls;
      while (harness.discoveryCalls == calls && harness.now < untilNanos) {
        harness.advance(Math.min(10 * MS, untilNanos - harness.now));
      }
      if (harness.discoveryCalls > calls) {
        harness.advance(afterNanos);
        failDiscovery(failure);
      }
    }
  }

  @Test
  void confirmedListStaysValid() {
    for (int i = 0; i < 30; i++) {
      harness.advance(2 * SECOND);
      harness.balancer.onListConfirmed(harness.now);
    }
    harness.advance(validNanos - MS);
    assertTrue(isSent());
  }

  @Test
  void sendsNothingAfterExpiryWhenAllCallsAreRejected() {
    long confirmedNanos = harness.now;
    failDiscovery(ListUpdate.FAILED);
    failCalls(ListUpdate.REJECTED, 20 * MS, confirmedNanos + validNanos - 25 * MS);
    assertTrue(isSent());
    failCalls(ListUpdate.REJECTED, 20 * MS, confirmedNanos + validNanos);
    assertFalse(isSent());
    failCalls(ListUpdate.REJECTED, 20 * MS, confirmedNanos + validNanos + 20 * SECOND);
    assertFalse(isSent());
  }

  /** A rejected call costs discovery work too; calls repeated at once would keep its queue full. */
  @Test
  void backsOffAfterRejectedCalls() {
    failDiscovery(ListUpdate.FAILED);
    int before = harness.discoveryCalls;
    failCalls(ListUpdate.REJECTED, 20 * MS, harness.now + 10 * SECOND);
    int calls = harness.discoveryCalls - before;
    assertTrue(calls >= 3 && calls <= 6, "calls in 10 s: " + calls);
    failCalls(ListUpdate.REJECTED, 20 * MS, harness.now + 60 * SECOND);
    int later = harness.discoveryCalls - before - calls;
    assertTrue(later >= 6 && later <= 20, "calls in the minute after it: " + later);
  }

  @Test
  void queuedRequestsAreSentWhenTheListIsConfirmed() {
    long confirmedNanos = harness.now;
    failDiscovery(ListUpdate.FAILED);
    failCalls(ListUpdate.REJECTED, 20 * MS, confirmedNanos + validNanos);
    int before = harness.sent.size();
    harness.request(++requests, "read");
    harness.advance(SECOND);
    assertEquals(List.of(), harness.refused);
    harness.balancer.onListUpdate(
        harness.now, ListUpdate.DELTA, List.of(BalancerHarness.entry(1, Health.DRAINING, 0)));
    assertEquals(before, harness.sent.size(), "a delta does not confirm the list");
    harness.balancer.onListConfirmed(harness.now);
    assertEquals(before + 1, harness.sent.size());
    assertTrue(harness.lastSent().server() != 1);
  }

  @Test
  void queuedRequestIsRefusedBeforeItsDeadline() {
    long confirmedNanos = harness.now;
    failDiscovery(ListUpdate.FAILED);
    failCalls(ListUpdate.REJECTED, 20 * MS, confirmedNanos + validNanos);
    harness.request(++requests, "read");
    harness.advance(2 * SECOND);
    assertEquals(List.of(requests), harness.refused);
  }

  /** An attempt that was chosen while the list was valid may not begin after it has expired. */
  @Test
  void chosenAttemptMayNotBeginAfterExpiry() {
    long confirmedNanos = harness.now;
    failDiscovery(ListUpdate.FAILED);
    harness.now = confirmedNanos + validNanos - MS;
    harness.request(++requests, "read");
    BalancerHarness.Sent attempt = harness.lastSent();
    assertTrue(harness.balancer.mayBegin(harness.now, attempt.request(), attempt.attempt()));
    assertFalse(harness.balancer.mayBegin(harness.now + MS, attempt.request(), attempt.attempt()));
  }

  /** Sends requests at the interval and fails each call the given time after it was made. */
  private int countSent(ListUpdate failure, long afterNanos, long forNanos) {
    long untilNanos = harness.now + forNanos;
    long callNanos = -1;
    int calls = harness.discoveryCalls;
    int sent = 0;
    for (long nextNanos = harness.now; harness.now < untilNanos; harness.advance(10 * MS)) {
      if (harness.discoveryCalls > calls) {
        calls = harness.discoveryCalls;
        callNanos = harness.now;
      }
      if (callNanos >= 0 && harness.now - callNanos >= afterNanos) {
        failDiscovery(failure);
        callNanos = -1;
      }
      if (harness.now >= nextNanos) {
        sent += isSent() ? 1 : 0;
        nextNanos += REQUEST_INTERVAL;
      }
    }
    return sent;
  }

  /**
   * A balancer cannot distinguish an outage of discovery, in which no change is delivered, from an
   * unreachable address. It uses servers that keep serving, and no others.
   */
  @ParameterizedTest
  @EnumSource(names = {"REJECTED", "FAILED"})
  void usesServingServersWhileDiscoveryIsUnreachable(ListUpdate failure) {
    start(BalancerHarness.withGrace(settings, 2 * SECOND));
    failDiscovery(ListUpdate.FAILED);
    long durationNanos = 60 * SECOND;
    assertEquals(durationNanos / REQUEST_INTERVAL, countSent(failure, HELD_CALL, durationNanos));
  }

  @Test
  void usesServingServersWhileConnectionsAreRefused() {
    failDiscovery(ListUpdate.FAILED);
    long durationNanos = 60 * SECOND;
    assertEquals(durationNanos / REQUEST_INTERVAL, countSent(ListUpdate.FAILED, 0, durationNanos));
  }

  /** A broken watch with the next call still in flight is no sign of an outage. */
  @Test
  void sendsNothingAfterExpiryWhenNoCallHasFailed() {
    failDiscovery(ListUpdate.FAILED);
    sendUntil(harness.now + validNanos - 10 * MS);
    harness.advance(20 * MS);
    assertFalse(isSent());
  }

  /** The sign of an outage in one failed call loses its validity with time. */
  @Test
  void outageEndsWhenNoFurtherCallShowsIt() {
    failDiscovery(ListUpdate.FAILED);
    int calls = harness.discoveryCalls;
    while (harness.discoveryCalls == calls) {
      harness.advance(10 * MS);
    }
    long calledNanos = harness.now;
    harness.advance(HELD_CALL);
    failDiscovery(ListUpdate.REJECTED);
    sendUntil(calledNanos + validNanos - 10 * MS);
    harness.advance(20 * MS);
    assertFalse(isSent());
  }

  /** Sends requests at the interval until the given time; each is served. */
  private void sendUntil(long untilNanos) {
    while (harness.now + REQUEST_INTERVAL < untilNanos) {
      harness.advance(REQUEST_INTERVAL);
      assertTrue(isSent());
    }
    harness.advance(untilNanos - harness.now);
    assertTrue(isSent());
  }

  /** Failed calls do not confirm the list, however many there are and however they fail. */
  @ParameterizedTest
  @ValueSource(longs = {0, HELD_CALL})
  void failedCallsDoNotExtendTheLease(long afterNanos) {
    long confirmedNanos = harness.now;
    failDiscovery(ListUpdate.FAILED);
    failCalls(ListUpdate.FAILED, afterNanos, confirmedNanos + validNanos);
    assertFalse(isSent());
    failCalls(ListUpdate.FAILED, afterNanos, harness.now + 30 * SECOND);
    assertFalse(isSent());
  }

  /** A server that refuses requests may be draining; its grace runs from its last success. */
  @Test
  void refusingServerGetsNothingAfterTheGracePeriod() {
    failDiscovery(ListUpdate.FAILED);
    long sinceNanos = harness.now;
    long graceNanos = settings.obligations().stopSendingWithinNanos();
    long latestNanos = sinceNanos;
    int calls = harness.discoveryCalls;
    while (harness.now < sinceNanos + 40 * SECOND) {
      harness.advance(REQUEST_INTERVAL / 4);
      if (harness.discoveryCalls > calls) {
        calls = harness.discoveryCalls;
        failDiscovery(ListUpdate.FAILED);
      }
      harness.request(++requests, "read");
      BalancerHarness.Sent attempt = harness.lastSent();
      boolean drains = attempt.server() == 1 && harness.now >= sinceNanos + 10 * SECOND;
      if (drains) {
        latestNanos = Math.max(latestNanos, harness.now);
      }
      harness.now += MS;
      harness.outcome(attempt, drains ? Outcome.REFUSED : Outcome.OK, !drains);
    }
    assertEquals(ListTrust.SERVING_ONLY.name(), loggedTrust(), "at the end");
    assertTrue(
        latestNanos <= sinceNanos + 10 * SECOND + graceNanos,
        "last sent there " + (latestNanos - sinceNanos));
  }

  /** The trust in the list, from the newest log line. */
  private String loggedTrust() {
    String line = harness.logs.get(harness.logs.size() - 1);
    return line.replaceAll(".*from now on ([A-Z_]+);.*", "$1");
  }

  @Test
  void listWithoutWatchExpiresAfterTheSubscribeLimit() {
    Settings frequent = BalancerHarness.withSubscribeLimit(settings, 2 * SECOND);
    BalancerHarness harness = new BalancerHarness(frequent);
    harness.balancer.limitListAge(harness.now, DELIVERY);
    harness.readyServers(3);
    long endNanos =
        2 * SECOND + frequent.obligations().stopSendingWithinNanos() - ListLease.SEND_MARGIN_NANOS;
    harness.now += endNanos - MS;
    harness.request(1, "read");
    assertEquals(1, harness.sent.size());
    harness.now += MS;
    harness.request(2, "read");
    assertEquals(1, harness.sent.size());
  }

  /** The subscribe limit may be long, but a change counts as delivered after 6 s all the same. */
  @Test
  void firstCallPrecedesDeliveryTime() {
    int late = 0;
    for (long seed = 0; seed < 20; seed++) {
      BalancerHarness harness =
          new BalancerHarness(BalancerHarness.withSubscribeLimit(settings, 60 * SECOND), seed);
      harness.balancer.limitListAge(harness.now, DELIVERY);
      harness.advance(DELIVERY);
      late += harness.discoveryCalls == 0 ? 1 : 0;
    }
    assertEquals(0, late);
  }

  /** Changes that an agent has count as delivered whether or not a watch is open. */
  @Test
  void pushedListExpiresAfterTheGracePeriodWhenItsWatchBreaks() {
    Settings pushed = BalancerHarness.settings(0, true, false, BalancerHarness.safeClass("read"));
    BalancerHarness harness = new BalancerHarness(pushed);
    harness.balancer.limitListAge(harness.now, DELIVERY);
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
    assertEquals(0, harness.discoveryCalls, "the host itself keeps the watch open");
    harness.balancer.onListConfirmed(harness.now);
    assertEquals(2, harness.sent.size());
  }

  /** A call that was queued and not answered in time is no sign of an outage. */
  @Test
  void heldCallAfterPromptRejectionsIsNoOutage() {
    long confirmedNanos = harness.now;
    failDiscovery(ListUpdate.FAILED);
    failCalls(ListUpdate.REJECTED, 20 * MS, confirmedNanos + 3 * SECOND);
    failCalls(ListUpdate.REJECTED, HELD_CALL, harness.now + SECOND);
    failCalls(ListUpdate.REJECTED, 20 * MS, confirmedNanos + validNanos);
    assertFalse(isSent());
  }

  /** Calls that fail on this machine, for lack of sockets say, show nothing about discovery. */
  @Test
  void localFailuresAreNoOutage() {
    long confirmedNanos = harness.now;
    failDiscovery(ListUpdate.FAILED);
    failCalls(ListUpdate.REJECTED, 20 * MS, confirmedNanos + 2 * SECOND);
    failCalls(ListUpdate.NOT_SENT, MS, confirmedNanos + validNanos);
    assertFalse(isSent());
  }

  /** Changes that counted as delivered before the outage still do. */
  @Test
  void outageDoesNotRevalidateAnExpiredList() {
    long confirmedNanos = harness.now;
    failDiscovery(ListUpdate.FAILED);
    failCalls(ListUpdate.REJECTED, 20 * MS, confirmedNanos + validNanos);
    assertFalse(isSent());
    failCalls(ListUpdate.REJECTED, HELD_CALL, harness.now + 20 * SECOND);
    assertFalse(isSent());
  }

  /** Changes already count as delivered; only the grace period is left when the outage begins. */
  @Test
  void outageDoesNotExtendTheGracePeriod() {
    long confirmedNanos = harness.now;
    failDiscovery(ListUpdate.FAILED);
    failCalls(ListUpdate.REJECTED, 20 * MS, confirmedNanos + DELIVERY);
    failCalls(ListUpdate.REJECTED, HELD_CALL, confirmedNanos + validNanos + 8 * SECOND);
    assertFalse(isSent());
  }

  /** A delta from an operator or an earlier watch does not answer the call in flight. */
  @Test
  void unsolicitedDeltaDoesNotAnswerTheCall() {
    long confirmedNanos = harness.now;
    failDiscovery(ListUpdate.FAILED);
    failCalls(ListUpdate.REJECTED, 20 * MS, confirmedNanos + 3 * SECOND);
    int before = harness.discoveryCalls;
    while (harness.discoveryCalls == before) {
      harness.advance(10 * MS);
    }
    harness.balancer.onListUpdate(harness.now, ListUpdate.UNSOLICITED_DELTA, List.of());
    harness.advance(HELD_CALL);
    failDiscovery(ListUpdate.REJECTED);
    failCalls(ListUpdate.REJECTED, HELD_CALL, confirmedNanos + validNanos);
    assertFalse(isSent());
  }

  /** The subscription is still missing, and the next call is made when it is due. */
  @Test
  void unsolicitedDeltaIsNoSubscription() {
    failDiscovery(ListUpdate.FAILED);
    int before = harness.discoveryCalls;
    while (harness.discoveryCalls == before) {
      harness.advance(10 * MS);
    }
    harness.balancer.onListUpdate(harness.now, ListUpdate.UNSOLICITED_DELTA, List.of());
    harness.advance(60 * SECOND);
    assertTrue(harness.discoveryCalls > before + 1);
  }

  /** The head of an answer has arrived, so discovery is running. */
  @Test
  void truncatedAnswerIsNoOutage() {
    long confirmedNanos = harness.now;
    failDiscovery(ListUpdate.FAILED);
    failCalls(ListUpdate.TRUNCATED, 500 * MS, confirmedNanos + validNanos);
    assertFalse(isSent());
  }

  /** A silent agent gets no changes. While no watch is open, the agent may have got one. */
  @Test
  void pushedListStaysValidWhileAgentIsSilentButNotWithoutWatch() {
    Settings pushed = BalancerHarness.settings(0, true, false, BalancerHarness.safeClass("read"));
    start(pushed);
    for (int i = 0; i < 30; i++) {
      harness.advance(2 * SECOND);
      failDiscovery(ListUpdate.SILENT);
      assertTrue(isSent());
    }
    failDiscovery(ListUpdate.FAILED);
    harness.advance(pushed.obligations().stopSendingWithinNanos() - ListLease.SEND_MARGIN_NANOS);
    assertFalse(isSent());
    failDiscovery(ListUpdate.SILENT); // It may have got a change before it became silent.
    assertFalse(isSent());
  }

  @Test
  void callsOnceSoonAfterAddressChange() {
    int before = harness.discoveryCalls;
    harness.balancer.onDiscoveryMoved(harness.now);
    harness.advance(DiscoveryBackoff.MAX_MOVE_NANOS);
    assertEquals(before + 1, harness.discoveryCalls);
  }

  /** Changes made before a new configuration count as delivered 4 s after it. */
  @Test
  void listExpiresFourSecondsAndTheGracePeriodAfterAddressChange() {
    long movedNanos = harness.now;
    long graceNanos = settings.obligations().stopSendingWithinNanos();
    long endNanos =
        movedNanos + ListLease.MOVE_DELIVERY_NANOS + graceNanos - ListLease.SEND_MARGIN_NANOS;
    harness.balancer.onDiscoveryMoved(movedNanos);
    harness.advance(SECOND);
    harness.balancer.onDiscoveryMoved(
        harness.now); // A second change of address does not extend the time.
    harness.advance(endNanos - MS - harness.now);
    assertTrue(isSent());
    harness.advance(SECOND);
    assertFalse(isSent());
    harness.balancer.onListConfirmed(harness.now);
    assertTrue(isSent());
  }

  /** Calls at addresses that are replaced at once would be wasted. */
  @Test
  void callsOnceAfterSeriesOfAddressChanges() {
    int before = harness.discoveryCalls;
    long first = harness.now;
    for (int i = 0; i < 4; i++) {
      harness.balancer.onDiscoveryMoved(harness.now);
      failDiscovery(ListUpdate.FAILED); // The watch at the previous address ends.
      harness.advance(400 * MS);
    }
    harness.advance(first + DiscoveryBackoff.MAX_MOVE_NANOS - harness.now);
    assertEquals(before + 1, harness.discoveryCalls);
  }

  @Test
  void listStaysValidWithoutLimit() {
    BalancerHarness unlimited = new BalancerHarness(settings).readyServers(3);
    unlimited.balancer.onListUpdate(unlimited.now, ListUpdate.FAILED, List.of());
    unlimited.advance(100 * SECOND);
    unlimited.request(1, "read");
    assertEquals(1, unlimited.sent.size());
  }
}
