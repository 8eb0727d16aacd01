package heathswitch.testbed.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A few seeds of the soak, two at a time; the long run is {@code heathswitch measure soak}. */
@Timeout(180)
class SoakTest {
  private static final long FIRST_SEED = 101;
  private static final int ROUNDS = 2;
  private static final int SIDE_BY_SIDE = 2;

  private static Soak.Result play(long seed) {
    try {
      return Soak.play(seed);
    } catch (Exception e) {
      throw new AssertionError("seed " + seed, e);
    }
  }

  @Test
  void noRuleIsBrokenUnderDrawnFaults() throws Exception {
    for (int round = 0; round < ROUNDS; round++) {
      long first = FIRST_SEED + (long) round * SIDE_BY_SIDE;
      List<CompletableFuture<Soak.Result>> side =
          LongStream.range(first, first + SIDE_BY_SIDE)
              .mapToObj(seed -> CompletableFuture.supplyAsync(() -> play(seed)))
              .toList();
      for (CompletableFuture<Soak.Result> each : side) {
        Soak.Result result = each.get(120, TimeUnit.SECONDS);
        assertEquals(List.of(), result.breaks(), () -> result.seed() + ": " + result.faults());
        assertTrue(result.counts().served() > 0, "some were served");
      }
    }
  }
}
