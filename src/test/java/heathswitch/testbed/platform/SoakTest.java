package heathswitch.testbed.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Runs the soak test for a few seeds, two at a time. {@code heathswitch measure soak} runs more.
 */
@Timeout(180)
class SoakTest {
  private static final long FIRST_SEED = 101;
  private static final int ROUNDS = 2;
  private static final int PARALLEL_RUNS = 2;

  private static SoakRun.Result run(long seed) {
    try {
      return SoakRun.run(seed);
    } catch (Exception e) {
      throw new AssertionError("seed " + seed, e);
    }
  }

  @Test
  void noRuleIsViolatedUnderRandomFaults() throws Exception {
    for (int round = 0; round < ROUNDS; round++) {
      long first = FIRST_SEED + (long) round * PARALLEL_RUNS;
      List<CompletableFuture<SoakRun.Result>> runs =
          LongStream.range(first, first + PARALLEL_RUNS)
              .mapToObj(seed -> CompletableFuture.supplyAsync(() -> run(seed)))
              .toList();
      for (CompletableFuture<SoakRun.Result> each : runs) {
        SoakRun.Result result = each.get(120, TimeUnit.SECONDS);
        assertEquals(List.of(), result.violations(), () -> result.seed() + ": " + result.faults());
        assertTrue(result.counts().served() > 0, "no request was served");
      }
    }
  }
}
