package heathswitch.policy.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import heathswitch.policy.api.Outcome;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** 200 calls in flight to one server fail together, as the streams of one connection do. */
class SimultaneousFailuresTest {
  /** Sends as many calls to one server at once, after enough answers to grow its window. */
  private static List<BalancerHarness.Sent> openFlight(BalancerHarness harness, int size) {
    harness.readyServers(1);
    long id = 0;
    while (true) {
      int before = harness.sent.size();
      for (int i = 0; i < size; i++) {
        harness.request(id++, "a");
      }
      List<BalancerHarness.Sent> attempts =
          new ArrayList<>(harness.sent.subList(before, harness.sent.size()));
      if (attempts.size() == size) {
        return attempts;
      }
      harness.advance(10 * BalancerHarness.MS);
      attempts.forEach(sent -> harness.outcome(sent, Outcome.OK, true));
      assertTrue(id < 100_000, "the window does not grow");
    }
  }

  /** One ejection lasts half a second; 200 of them would keep the server out for eight seconds. */
  @ParameterizedTest
  @EnumSource(
      value = Outcome.class,
      names = {"REFUSED", "CONNECT_FAILED"})
  void ejectsServerOnceWhenAFlightFails(Outcome outcome) {
    BalancerHarness harness =
        new BalancerHarness(BalancerHarness.settings(0, BalancerHarness.safeClass("a")));
    List<BalancerHarness.Sent> flight = openFlight(harness, 200);
    harness.advance(10 * BalancerHarness.MS);
    int before = harness.sent.size();
    int refused = harness.refused.size();
    flight.forEach(sent -> harness.outcome(sent, outcome, false));
    int retried = harness.sent.size() - before;
    assertTrue(retried <= 1, "retried " + retried);
    assertTrue(harness.refused.size() >= refused + 200 - 2 * retried - 1, "refused at once");
    harness.advance(10 * BalancerHarness.MS);
    for (int i = before; i < before + retried; i++) {
      harness.outcome(harness.sent.get(i), Outcome.OK, true);
    }
    harness.advance(Server.EJECTION_NANOS * 3 / 2 + BalancerHarness.MS);
    int sentBefore = harness.sent.size();
    harness.request(1_000_000, "a");
    assertEquals(sentBefore + 1, harness.sent.size());
  }

  @Test
  void retriesFailedFlightOnServersWithRoom() {
    BalancerHarness harness =
        new BalancerHarness(BalancerHarness.settings(0, BalancerHarness.safeClass("a")));
    List<BalancerHarness.Sent> flight = openFlight(harness, 200);
    harness.readyServers(8);
    harness.advance(10 * BalancerHarness.MS);
    int before = harness.sent.size();
    int refused = harness.refused.size();
    flight.forEach(sent -> harness.outcome(sent, Outcome.REFUSED, false));
    assertEquals(200, harness.sent.size() - before);
    assertEquals(refused, harness.refused.size());
    assertTrue(harness.sent.subList(before, before + 200).stream().allMatch(s -> s.server() != 1));
  }
}
