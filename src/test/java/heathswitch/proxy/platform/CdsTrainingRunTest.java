package heathswitch.proxy.platform;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A rehearsal that fails would fail the build, with no word of which exchange it was. */
@Timeout(60)
class CdsTrainingRunTest {
  @Test
  void playsItsExchangesToTheEnd() {
    assertDoesNotThrow(CdsTrainingRun::run);
  }
}
