package heathswitch.policy.core;

import static heathswitch.policy.core.BalancerHarness.MS;
import static heathswitch.policy.core.BalancerHarness.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import heathswitch.policy.api.RequestProtocol;
import java.util.ArrayDeque;
import org.junit.jupiter.api.Test;

/** Growth and cuts of the entry window. */
class EntryWindowTest {
  private final EntryWindow window = new EntryWindow();
  private final ArrayDeque<Request> inFlight = new ArrayDeque<>();

  private void start(long now) {
    Request request = request(now);
    window.onStart(now, request);
    inFlight.add(request);
  }

  private static Request request(long now) {
    ActiveSettings rules =
        new ActiveSettings(BalancerHarness.settings(0, BalancerHarness.safeClass("read")), null);
    return new Request(1, rules, "read", RequestProtocol.HTTP1, now, 4 * SECOND);
  }

  private void end(long now) {
    window.onEnd(now, inFlight.poll(), true);
  }

  /** Keeps the given number of requests in flight, each of which takes the given time. */
  private void runSteadyLoad(long fromNanos, long untilNanos, int concurrency, long tookNanos) {
    long step = tookNanos / concurrency;
    for (long now = fromNanos; now < untilNanos; now += step) {
      start(now);
      if (inFlight.size() > concurrency) {
        end(now);
      }
    }
  }

  @Test
  void doesNotCutWhenDelaysAreShort() {
    runSteadyLoad(0, 10 * SECOND, 10, 200 * MS);
    assertTrue(window.window >= EntryWindow.INITIAL);
  }

  @Test
  void cutsBelowInFlightWhenDelaysExceedTheAim() {
    runSteadyLoad(0, 5 * SECOND, 20, 1500 * MS);
    assertTrue(window.window < 20, "window " + window.window);
    assertTrue(window.window >= EntryWindow.MIN);
  }

  /** With one request in several seconds, the delay of a single request is all that is known. */
  @Test
  void doesNotCutWhenRareRequestsAreInTime() {
    for (long now = 0; now < 100 * SECOND; now += 3 * SECOND) {
      start(now);
      end(now + 700 * MS);
      assertEquals(EntryWindow.INITIAL, window.window);
    }
  }

  @Test
  void cutsWhenRareRequestsAreLate() {
    for (long now = 0; now < 30 * SECOND; now += 3 * SECOND) {
      start(now);
      end(now + 900 * MS);
    }
    assertTrue(window.window < EntryWindow.INITIAL);
  }

  /** There are no earlier measurements, and each request of the burst is fast. */
  @Test
  void doesNotCutOnBurstAfterPause() {
    for (long from = 0; from < 60 * SECOND; from += 20 * SECOND) {
      for (int i = 0; i < 40; i++) {
        start(from + i * MS);
      }
      while (!inFlight.isEmpty()) {
        end(from + (300 - inFlight.size()) * MS);
      }
    }
    assertTrue(window.window >= EntryWindow.INITIAL);
  }

  /** Delays grow to five times as long; the cut must come before slow requests have ended. */
  @Test
  void cutsBeforeSlowRequestsEnd() {
    runSteadyLoad(0, 4 * SECOND, 10, 200 * MS);
    double before = window.window;
    int arrivals = 0;
    long now = 4 * SECOND;
    for (; window.window >= before; now += 20 * MS) {
      assertTrue(
          now - inFlight.peek().arrivedNanos < 800 * MS,
          "the oldest request has taken 0.8 of its aim");
      start(now);
      if (++arrivals % 5 == 0) {
        end(now);
      }
    }
    assertTrue(now < 5 * SECOND, "cut at " + now);
  }

  /** Delays during congestion must not count against requests that arrive after it. */
  @Test
  void growsAsSoonAsDelaysAreShortAgain() {
    runSteadyLoad(0, 5 * SECOND, 20, 1500 * MS);
    while (!inFlight.isEmpty()) {
      end(5 * SECOND);
    }
    assertTrue(window.window < 20, "cut to " + window.window);
    runSteadyLoad(5 * SECOND, 7 * SECOND, 10, 200 * MS);
    assertTrue(window.window > 20, "grown to " + window.window);
  }

  @Test
  void cutsOncePerFlight() {
    for (int i = 0; i < 100; i++) {
      start(i);
    }
    double before = window.window;
    int cuts = 0;
    for (int i = 0; i < 99; i++) {
      end(2 * SECOND);
      cuts += window.window < before ? 1 : 0;
      before = Math.min(before, window.window);
    }
    assertEquals(1, cuts);
  }

  @Test
  void admitsHighestWorthWhereLowestIsRefused() {
    for (int i = 0; i < EntryWindow.INITIAL + 1; i++) {
      window.onStart(0, request(0));
    }
    assertTrue(window.hasRoom(1));
    assertFalse(window.hasRoom(0));
  }
}
