package heathswitch.proxy.runtime;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Lines of one kind are rate-limited without affecting other kinds. */
class LogRateLimiterTest {
  @Test
  void limitsEachKindSeparately() {
    LogRateLimiter limit = new LogRateLimiter();
    int passed = 0;
    for (int i = 0; i < 100; i++) {
      passed += limit.tryAcquire("flood", (kind, lines) -> {}) ? 1 : 0;
    }
    assertEquals(LogRateLimiter.LINES_PER_KIND, passed);
    assertTrue(limit.tryAcquire("another", (kind, lines) -> {}));
  }

  /** Without a bound, kinds derived from external input would use unlimited memory. */
  @Test
  void limitsNumberOfKinds() {
    LogRateLimiter limit = new LogRateLimiter();
    int passed = 0;
    for (int i = 0; i < 10_000; i++) {
      passed += limit.tryAcquire("kind " + i, (kind, lines) -> {}) ? 1 : 0;
    }
    assertTrue(passed < 300, "passed " + passed);
  }
}
