package heathswitch.policy.core;

import static heathswitch.policy.core.BalancerHarness.MS;
import static heathswitch.policy.core.BalancerHarness.SECOND;
import static org.junit.jupiter.api.Assertions.assertTrue;

import heathswitch.policy.api.ListUpdate;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Many balancers lose their watches at once while discovery is busy. Their repeated calls must not
 * keep its queue full, whatever a rejected call costs.
 */
class DiscoveryCallHerdTest {
  private static final long STEP = 5 * MS;
  private static final long TIMEOUT = 3 * SECOND;

  /** Discovery as one queue; a call that would not be answered in time is rejected. */
  private static final class DiscoveryQueue {
    private final long callNanos;
    private final double rejectionCost;
    private long busyUntil;
    private int calls;

    DiscoveryQueue(long callNanos, double rejectionCost, long busyUntil) {
      this.callNanos = callNanos;
      this.rejectionCost = rejectionCost;
      this.busyUntil = busyUntil;
    }

    /** When the call is answered; -1 if it is rejected. */
    long call(long now) {
      calls++;
      long end = Math.max(now, busyUntil) + callNanos;
      if (end - now > TIMEOUT) {
        busyUntil = Math.max(now, busyUntil) + (long) (rejectionCost * callNanos);
        return -1;
      }
      busyUntil = end;
      return end;
    }
  }

  /** A balancer that has just lost its watch. */
  private static final class Instance {
    private final BalancerHarness harness;
    private int calls;
    private long answerAt = Long.MAX_VALUE;
    private long answeredAt = -1;

    Instance(int number) {
      harness =
          new BalancerHarness(
              BalancerHarness.settings(0, true, true, BalancerHarness.safeClass("read")), number);
      harness.advance(7 * SECOND);
      harness.readyServers(3);
      harness.balancer.limitListAge(harness.now, 6 * SECOND);
      harness.balancer.onListConfirmed(harness.now);
      calls = harness.discoveryCalls;
      harness.balancer.onListUpdate(harness.now, ListUpdate.FAILED, List.of());
    }

    void step(DiscoveryQueue queue) {
      harness.advance(STEP);
      if (harness.discoveryCalls > calls) {
        calls = harness.discoveryCalls;
        answerAt = queue.call(harness.now);
        if (answerAt < 0) {
          answerAt = Long.MAX_VALUE;
          harness.balancer.onListUpdate(harness.now, ListUpdate.REJECTED, List.of());
        }
      }
      if (harness.now >= answerAt && answeredAt < 0) {
        answeredAt = harness.now;
        harness.balancer.onListUpdate(harness.now, ListUpdate.DELTA, List.of());
        harness.balancer.onListConfirmed(harness.now);
      }
    }
  }

  /**
   * All balancers are answered within a time limit.
   *
   * @param fleetMillis time in which discovery can answer one call of each balancer
   * @param rejectionCost cost of a rejected call as a share of an answered one
   * @param busyMillis work in the queue at the beginning
   */
  @ParameterizedTest
  @CsvSource({
    "5, 4000, 0.1, 7000, 20",
    "5, 4000, 0.25, 7000, 25",
    "5, 8000, 0.25, 7000, 40",
    "40, 4000, 0.25, 7000, 25",
    "40, 8000, 0.25, 7000, 40",
    "40, 4000, 1.0, 7000, 60",
  })
  void queueDrainsAndAllCallsAreAnswered(
      int instances, long fleetMillis, double rejectionCost, long busyMillis, long withinSeconds) {
    List<Instance> balancers = new ArrayList<>();
    for (int i = 0; i < instances; i++) {
      balancers.add(new Instance(i));
    }
    long startNanos = balancers.get(0).harness.now;
    DiscoveryQueue queue =
        new DiscoveryQueue(
            fleetMillis * MS / instances, rejectionCost, startNanos + busyMillis * MS);
    while (balancers.get(0).harness.now < startNanos + withinSeconds * SECOND) {
      balancers.forEach(instance -> instance.step(queue));
    }
    long waiting = balancers.stream().filter(instance -> instance.answeredAt < 0).count();
    assertTrue(waiting == 0, waiting + " not answered, " + queue.calls + " calls");
  }
}
