package heathswitch.policy.core;

import static heathswitch.policy.core.BalancerHarness.MS;
import static heathswitch.policy.core.BalancerHarness.SECOND;
import static org.junit.jupiter.api.Assertions.assertTrue;

import heathswitch.policy.api.Health;
import heathswitch.policy.api.ListUpdate;
import heathswitch.policy.api.Outcome;
import heathswitch.policy.api.ServerEntry;
import heathswitch.policy.api.Settings;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Thirty balancers that exchange no messages must together stay within the budget of a server that
 * has just started: in no period of the length in the settings may they send it more than the N
 * calls of the budget, plus 2 x root of N + 2 as an allowance for chance.
 */
class ColdServerBudgetTest {
  private static final int BALANCERS = 30;
  private static final int SERVERS = 12;
  private static final long COLD_SERVER = SERVERS;

  /** Calls per second that a warm server can serve. */
  private static final double SERVER_RATE = 8;

  /** Mean duration of a call at a warm server. */
  private static final long CALL_NANOS = 250 * MS;

  private static final long STEP_NANOS = 5 * MS;
  private static final long WARM_UP_SECONDS = 20;

  private record Completion(
      long dueNanos, BalancerHarness balancer, BalancerHarness.Sent attempt) {}

  private final SplittableRandom random;
  private final List<BalancerHarness> balancers = new ArrayList<>();
  private final PriorityQueue<Completion> completions =
      new PriorityQueue<>((one, other) -> Long.compare(one.dueNanos(), other.dueNanos()));
  private final ArrayDeque<Long> coldCallTimes = new ArrayDeque<>();
  private final Settings settings = BalancerHarness.settings(1, BalancerHarness.safeClass("read"));
  private final int[] followed = new int[BALANCERS];
  private long nextId = 1;
  private long startedNanos;

  ColdServerBudgetTest() {
    random = new SplittableRandom(11);
  }

  /** Normal load, overload, a burst of half as much again, and client retries on top of it. */
  @ParameterizedTest
  @CsvSource({"0.6, 1, 1", "0.6, 1, 2", "1.2, 1, 3", "1.4, 1.5, 4", "1.4, 2.5, 5"})
  void balancersTogetherStayWithinTheBudget(double load, double burst, long seed) {
    for (int i = 0; i < BALANCERS; i++) {
      BalancerHarness harness = new BalancerHarness(settings, seed * 1000 + i);
      List<ServerEntry> warm = new ArrayList<>();
      for (long id = 1; id < SERVERS; id++) {
        warm.add(BalancerHarness.ready(id));
      }
      harness.balancer.onListUpdate(harness.now, ListUpdate.FULL, warm);
      balancers.add(harness);
    }
    run(5 * SECOND, load);
    startedNanos = balancers.get(0).now;
    for (BalancerHarness harness : balancers) {
      harness.balancer.onListUpdate(
          harness.now,
          ListUpdate.DELTA,
          List.of(BalancerHarness.entry(COLD_SERVER, Health.READY, startedNanos)));
    }
    run(2 * SECOND, load);
    run((WARM_UP_SECONDS - 4) * SECOND, load * burst);
    assertTrue(!coldCallTimes.isEmpty() || load < 1, "the cold server gets calls to warm up");
  }

  private void run(long nanos, double load) {
    double perStep = load * SERVER_RATE * SERVERS * STEP_NANOS / SECOND;
    long until = balancers.get(0).now + nanos;
    while (balancers.get(0).now < until) {
      long now = balancers.get(0).now + STEP_NANOS;
      balancers.forEach(harness -> harness.advance(STEP_NANOS));
      while (!completions.isEmpty() && completions.peek().dueNanos() <= now) {
        Completion completion = completions.poll();
        completion.balancer().outcome(completion.attempt(), Outcome.OK, true);
      }
      int arrivals = (int) perStep + (random.nextDouble() < perStep % 1 ? 1 : 0);
      for (int i = 0; i < arrivals; i++) {
        // Unequal on purpose: some balancers get several times the load of others.
        int index = (int) (BALANCERS * random.nextDouble() * random.nextDouble());
        balancers.get(index).request(nextId++, "read");
      }
      for (int i = 0; i < BALANCERS; i++) {
        trackSent(i, now);
      }
    }
  }

  private void trackSent(int index, long now) {
    BalancerHarness harness = balancers.get(index);
    for (; followed[index] < harness.sent.size(); followed[index]++) {
      BalancerHarness.Sent attempt = harness.sent.get(followed[index]);
      long took = (long) (CALL_NANOS * (0.5 + random.nextDouble()));
      if (attempt.server() == COLD_SERVER) {
        took = (long) (took / warmUpShare(now));
        coldCallTimes.add(now);
        assertWithinBudget(now);
      }
      completions.add(new Completion(now + took, harness, attempt));
    }
  }

  private double warmUpShare(long now) {
    double start = settings.obligations().startCapacity();
    double age = (now - startedNanos) / (double) settings.obligations().warmUpNanos();
    return start + (1 - start) * Math.min(1, age);
  }

  private void assertWithinBudget(long now) {
    long windowNanos = settings.obligations().coldBudgetWindowNanos();
    while (coldCallTimes.peek() <= now - windowNanos) {
      coldCallTimes.poll();
    }
    double budget =
        settings.obligations().coldBudgetMultiple()
            * warmUpShare(now)
            * SERVER_RATE
            * windowNanos
            / SECOND;
    assertTrue(
        coldCallTimes.size() <= budget + 2 * Math.sqrt(budget) + 2,
        coldCallTimes.size() + " calls, budget " + budget);
  }
}
