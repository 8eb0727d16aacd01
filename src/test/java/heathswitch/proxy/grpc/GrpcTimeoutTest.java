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

/** Tests the header {@code grpc-timeout}, and the mapping of gRPC statuses to outcomes. */
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
  void parsesAllSixUnits(String text, long nanos) {
    assertEquals(nanos, GrpcTimeout.parse(text));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {"", "S", "1", "1s", "-1S", "1.5S", "123456789S", "1SS", " 1S", "+1S", "1h"})
  void parseRejectsMalformedTimeouts(String text) {
    assertEquals(-1, GrpcTimeout.parse(text));
  }

  /** Formatting rounds down, and loses at most a hundred-thousandth of the timeout. */
  @Test
  void formattedTimeoutNeverGrows() {
    SplittableRandom random = new SplittableRandom(1);
    for (int i = 0; i < 100_000; i++) {
      long nanos = random.nextLong() >>> random.nextInt(1, 63);
      String text = GrpcTimeout.format(nanos);
      long parsed = GrpcTimeout.parse(text);
      assertTrue(text.length() <= 9, text);
      assertTrue(
          parsed >= 0 && parsed <= nanos && nanos - parsed <= nanos / 100_000, nanos + " " + text);
    }
    assertEquals("0n", GrpcTimeout.format(-5));
  }

  @Test
  void statusCodesMapToOutcomes() {
    assertEquals(Status.UNAUTHENTICATED, Status.parse("16"));
    for (String malformed : new String[] {null, "", "17", "-1", "x", "014", "1.0"}) {
      assertEquals(null, Status.parse(malformed));
    }
    assertEquals(Outcome.OK, Status.outcome(Status.NOT_FOUND, false));
    assertEquals(Outcome.ERROR, Status.outcome(Status.UNAVAILABLE, false));
    assertEquals(Outcome.REFUSED, Status.outcome(Status.UNAVAILABLE, true));
    assertEquals(Outcome.ERROR, Status.outcome(Status.INTERNAL, true));
    assertEquals(Outcome.ERROR, Status.outcome(null, true));
  }
}
