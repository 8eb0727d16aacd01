package heathswitch.policy.grpc;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class BufferingModeTest {
  private static final long MOST = 1000;

  @ParameterizedTest
  @CsvSource({
    "AUTO,0,0,false", "AUTO,1,1000,false", "AUTO,1,1001,true", "AUTO,2,10,true",
    "UNARY,1,5000,false", "UNARY,7,5000,false", "STREAM,0,0,true", "STREAM,1,1,true"
  })
  void itGoesOnAsSoonAsItShowsThatItIsAStream(
      BufferingMode mode, long messages, long bytes, boolean on) {
    assertEquals(on, mode.shouldForward(messages, bytes, MOST));
  }

  @ParameterizedTest
  @CsvSource({"AUTO", "STREAM"})
  void whatHasNotEndedInTimeGoesOn(BufferingMode mode) {
    assertTrue(mode.forwardsAfterTimeout());
    assertFalse(BufferingMode.UNARY.forwardsAfterTimeout());
  }
}
