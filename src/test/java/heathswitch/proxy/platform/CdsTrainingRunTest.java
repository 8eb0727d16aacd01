package heathswitch.proxy.platform;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Runs the exchanges as a test: a failed training run fails the build without naming the exchange.
 */
@Timeout(60)
class CdsTrainingRunTest {
  @Test
  void completesAllExchanges() {
    assertDoesNotThrow(CdsTrainingRun::run);
  }
}
