package heathswitch.proxy.runtime;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** A flood of one kind is cut off, others are not. */
class LogRateLimiterTest {
  @Test
  void eachKindHasItsOwnLimit() {
    LogRateLimiter limit = new LogRateLimiter();
    int passed = 0;
    for (int i = 0; i < 100; i++) {
      passed += limit.tryAcquire("flood", (kind, lines) -> {}) ? 1 : 0;
    }
    assertEquals(LogRateLimiter.LINES_PER_KIND, passed);
    assertTrue(limit.tryAcquire("another", (kind, lines) -> {}));
  }

  /** Kinds that somebody outside could make up would be kept without end. */
  @Test
  void kindsWithoutEndShareOneLimit() {
    LogRateLimiter limit = new LogRateLimiter();
    int passed = 0;
    for (int i = 0; i < 10_000; i++) {
      passed += limit.tryAcquire("kind " + i, (kind, lines) -> {}) ? 1 : 0;
    }
    assertTrue(passed < 300, "passed " + passed);
  }
}
