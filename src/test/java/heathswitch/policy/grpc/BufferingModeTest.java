package heathswitch.policy.grpc;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** When a call or an answer that may be a stream is forwarded. */
class BufferingModeTest {
  private static final long MAX_BYTES = 1000;

  @ParameterizedTest
  @CsvSource({
    "AUTO,0,0,false", "AUTO,1,1000,false", "AUTO,1,1001,true", "AUTO,2,10,true",
    "UNARY,1,5000,false", "UNARY,7,5000,false", "STREAM,0,0,true", "STREAM,1,1,true"
  })
  void forwardsAsSoonAsTheTrafficShowsAStream(
      BufferingMode mode, long messages, long bytes, boolean expected) {
    assertEquals(expected, mode.shouldForward(messages, bytes, MAX_BYTES));
  }

  @ParameterizedTest
  @CsvSource({"AUTO", "STREAM"})
  void forwardsAfterTheTimeoutUnlessUnary(BufferingMode mode) {
    assertTrue(mode.forwardsAfterTimeout());
    assertFalse(BufferingMode.UNARY.forwardsAfterTimeout());
  }
}
