package heathswitch.proxy.runtime;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** A flood of one kind is cut off, others are not. */
class LineLimitTest {
  @Test
  void eachKindHasItsOwnLimit() {
    LineLimit limit = new LineLimit();
    int passed = 0;
    for (int i = 0; i < 100; i++) {
      passed += limit.passes("flood", (kind, lines) -> {}) ? 1 : 0;
    }
    assertEquals(LineLimit.LINES_PER_KIND, passed);
    assertTrue(limit.passes("another", (kind, lines) -> {}));
  }

  /** Kinds that somebody outside could make up would be kept without end. */
  @Test
  void kindsWithoutEndShareOneLimit() {
    LineLimit limit = new LineLimit();
    int passed = 0;
    for (int i = 0; i < 10_000; i++) {
      passed += limit.passes("kind " + i, (kind, lines) -> {}) ? 1 : 0;
    }
    assertTrue(passed < 300, "passed " + passed);
  }
}
