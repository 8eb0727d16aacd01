package heathswitch.policy.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import heathswitch.policy.api.Health;
import heathswitch.policy.api.Outcome;
import heathswitch.policy.api.ServerEntry;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Servers get calls by weight, also while they are cold. */
class WeightTest {
  private static final int CALLS = 7000;

  private static ServerEntry entry(long id, double weight, long startedNanos) {
    return new ServerEntry(id, "a", "kind", 0, Health.READY, weight, startedNanos);
  }

  /** Calls by server, with the given number in flight that are answered in order. */
  private static Map<Long, Integer> sharesOf(BalancerHarness harness, int inFlight) {
    ArrayDeque<BalancerHarness.Sent> attempts = new ArrayDeque<>();
    Map<Long, Integer> shares = new HashMap<>();
    for (int i = 0; i < CALLS; i++) {
      harness.advance(10 * BalancerHarness.MS);
      harness.request(i, "a");
      attempts.add(harness.lastSent());
      shares.merge(harness.lastSent().server(), 1, Integer::sum);
      harness.advance(10 * BalancerHarness.MS);
      if (attempts.size() > inFlight) {
        harness.outcome(attempts.poll(), Outcome.OK, true);
      }
    }
    return shares;
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 1, 3})
  void sharesFollowWeightsUnderLightLoad(int inFlight) {
    BalancerHarness harness =
        new BalancerHarness(BalancerHarness.settings(0, BalancerHarness.safeClass("a")));
    harness.servers(entry(1, 1, 0), entry(2, 2, 0), entry(3, 4, 0));
    Map<Long, Integer> shares = sharesOf(harness, inFlight);
    for (long id = 1; id <= 3; id++) {
      double expected = CALLS * (1 << (id - 1)) / 7.0;
      assertEquals(expected, shares.get(id), 0.05 * expected, "server " + id);
    }
  }

  @Test
  void lightServerDoesNotSkewEqualServers() {
    BalancerHarness harness =
        new BalancerHarness(BalancerHarness.settings(0, BalancerHarness.safeClass("a")));
    harness.servers(entry(1, 0.1, 0), entry(2, 1, 0), entry(3, 1, 0));
    Map<Long, Integer> shares = sharesOf(harness, 0);
    assertEquals(shares.get(2L), shares.get(3L), 2);
    assertEquals(CALLS / 21.0, shares.get(1L), 0.05 * CALLS / 21);
  }

  @Test
  void callsInFlightFollowWeights() {
    BalancerHarness harness =
        new BalancerHarness(BalancerHarness.settings(0, BalancerHarness.safeClass("a")));
    harness.servers(entry(1, 1, 0), entry(2, 4, 0));
    Map<Long, Integer> held = new HashMap<>();
    for (int i = 0; i < 25; i++) {
      harness.request(i, "a");
      held.merge(harness.lastSent().server(), 1, Integer::sum);
    }
    assertEquals(20, held.get(2L), 2);
  }

  @Test
  void invalidWeightsCountAsOne() {
    BalancerHarness harness =
        new BalancerHarness(BalancerHarness.settings(0, BalancerHarness.safeClass("a")));
    harness.servers(
        entry(1, Double.NaN, 0),
        entry(2, -4, 0),
        entry(3, 0, 0),
        entry(4, Double.POSITIVE_INFINITY, 0));
    Map<Long, Integer> shares = sharesOf(harness, 0);
    for (long id = 1; id <= 4; id++) {
      assertEquals(CALLS / 4.0, shares.get(id), 1);
    }
  }

  /** The budget of a cold server is scaled by its weight. */
  @Test
  void coldServerWithLowWeightGetsFewerCalls() {
    int[] early = new int[2];
    for (int light = 0; light < 2; light++) {
      BalancerHarness harness =
          new BalancerHarness(BalancerHarness.settings(0, BalancerHarness.safeClass("a")));
      harness.servers(entry(1, 1, 0), entry(2, 1, 0), entry(3, light == 0 ? 1 : 0.25, harness.now));
      for (int i = 0; i < 1000; i++) {
        harness.advance(10 * BalancerHarness.MS);
        harness.request(i, "a");
        early[light] += harness.lastSent().server() == 3 ? 1 : 0;
        harness.advance(10 * BalancerHarness.MS);
        harness.outcome(harness.lastSent(), Outcome.OK, true);
      }
    }
    assertTrue(early[1] > 0 && early[1] < early[0] / 3, early[1] + " against " + early[0]);
  }
}
