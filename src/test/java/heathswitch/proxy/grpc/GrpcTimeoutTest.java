package heathswitch.proxy.grpc;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import heathswitch.policy.api.Outcome;
import heathswitch.policy.grpc.Status;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The header of the deadline in all its units, and what statuses say of a server. */
class GrpcTimeoutTest {
  @ParameterizedTest
  @CsvSource({
    "1H,3600000000000",
    "2M,120000000000",
    "3S,3000000000",
    "4m,4000000",
    "5u,5000",
    "6n,6",
    "99999999n,99999999",
    "0S,0",
    "00000001m,1000000",
    "99999999H,9223372036854775807"
  })
  void readsAllSixUnits(String text, long nanos) {
    assertEquals(nanos, GrpcTimeout.parse(text));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {"", "S", "1", "1s", "-1S", "1.5S", "123456789S", "1SS", " 1S", "+1S", "1h"})
  void refusesWhatIsNone(String text) {
    assertEquals(-1, GrpcTimeout.parse(text));
  }

  /** Written and read again it never grows, and loses at most a part in a hundred thousand. */
  @Test
  void neverGrows() {
    SplittableRandom random = new SplittableRandom(1);
    for (int i = 0; i < 100_000; i++) {
      long nanos = random.nextLong() >>> random.nextInt(1, 63);
      String text = GrpcTimeout.format(nanos);
      long again = GrpcTimeout.parse(text);
      assertTrue(text.length() <= 9, text);
      assertTrue(
          again >= 0 && again <= nanos && nanos - again <= nanos / 100_000, nanos + " " + text);
    }
    assertEquals("0n", GrpcTimeout.format(-5));
  }

  @Test
  void readsStatuses() {
    assertEquals(Status.UNAUTHENTICATED, Status.parse("16"));
    for (String none : new String[] {null, "", "17", "-1", "x", "014", "1.0"}) {
      assertEquals(null, Status.parse(none));
    }
    assertEquals(Outcome.OK, Status.outcome(Status.NOT_FOUND, false));
    assertEquals(Outcome.ERROR, Status.outcome(Status.UNAVAILABLE, false));
    assertEquals(Outcome.REFUSED, Status.outcome(Status.UNAVAILABLE, true));
    assertEquals(Outcome.ERROR, Status.outcome(Status.INTERNAL, true));
    assertEquals(Outcome.ERROR, Status.outcome(null, true));
  }
}
